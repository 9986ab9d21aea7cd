//! Runs one command.

use crate::client::Client;
use crate::options::{Command, Options, SettingsCommand};
use crate::{CtlError, causes, classes, reports, settings, trace};
use monoio::{LegacyDriver, RuntimeBuilder};
use std::path::Path;
use std::time::Duration;

/// Runs the command and prints its result.
///
/// # Errors
///
/// Returns the reason why the command failed; its [`status`](CtlError::status) is the exit code.
pub fn run(options: Options) -> Result<(), CtlError> {
    let no_runtime = |e: std::io::Error| CtlError::Output(format!("cannot start the runtime: {e}"));
    if let Command::Settings(SettingsCommand::Check { file }) = &options.command {
        return settings::check(file);
    }
    if let Command::Trace { id, logs } = &options.command {
        return trace::run(options.output, id, logs);
    }
    if let Command::Causes { window, logs } = &options.command {
        return causes::run(options.output, f64::from((*window).max(1)), logs);
    }
    let address = options.instance.ok_or(CtlError::NoInstance)?;
    let token = options.token_file.as_deref().map(read_token).transpose()?;
    let client = Client::new(address, token, Duration::from_secs(options.timeout));
    let mut runtime =
        RuntimeBuilder::<LegacyDriver>::new().enable_timer().build().map_err(no_runtime)?;
    runtime.block_on(run_on_instance(&client, options))
}

async fn run_on_instance(client: &Client, options: Options) -> Result<(), CtlError> {
    let format = options.output;
    match options.command {
        Command::Class(command) => classes::run(client, format, command).await,
        Command::Status => reports::status(client, format).await,
        Command::Audit { after } => reports::audit(client, format, after).await,
        Command::Trace { id, logs } => trace::run(format, &id, &logs),
        Command::Causes { window, logs } => causes::run(format, f64::from(window.max(1)), &logs),
        Command::Explain { id } => reports::explain(client, format, &id).await,
        Command::Settings(SettingsCommand::Check { file }) => settings::check(&file),
    }
}

fn read_token(file: &Path) -> Result<String, CtlError> {
    let error = |reason: String| CtlError::File { file: file.display().to_string(), reason };
    let text = std::fs::read_to_string(file).map_err(|e| error(e.to_string()))?;
    match text.lines().next().map(str::trim) {
        Some(token) if !token.is_empty() => Ok(token.to_owned()),
        _ => Err(error("the first line must be the operators' token".to_owned())),
    }
}
