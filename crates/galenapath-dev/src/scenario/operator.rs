//! Runs of the operators' command-line tool `galenactl`.

use super::error::ScenarioError;
use super::process::POLL;
use super::programs::Programs;
use monoio::time::sleep;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Limit for one command to end.
const RUN_LIMIT: Duration = Duration::from_secs(30);

/// A running command, killed on drop.
pub struct Operator {
    child: Child,
    out: std::path::PathBuf,
}

/// Result of a command.
#[derive(Debug)]
pub struct OperatorExit {
    /// Exit code.
    pub code: i32,
    /// Standard output and standard error.
    pub output: String,
}

impl Operator {
    /// Starts `galenactl` with the arguments `words` against the instance at `addr`, with the token
    /// in the file `token` of `dir`.
    pub fn start(
        programs: &Programs,
        addr: SocketAddr,
        token: &str,
        words: &[String],
        dir: &Path,
        number: usize,
    ) -> Result<Self, ScenarioError> {
        let out = dir.join(format!("operator-{number}.out"));
        let file = File::create(&out).map_err(ScenarioError::io("operator"))?;
        let err = file.try_clone().map_err(ScenarioError::io("operator"))?;
        let child = Command::new(&programs.operator)
            .args(["--instance", &addr.to_string()])
            .arg("--token-file")
            .arg(dir.join(token))
            .args(words)
            .stdin(Stdio::null())
            .stdout(file)
            .stderr(err)
            .spawn()
            .map_err(ScenarioError::io("start galenactl"))?;
        Ok(Self { child, out })
    }

    /// Waits until the command ends.
    pub async fn wait(mut self) -> Result<OperatorExit, ScenarioError> {
        let began = Instant::now();
        loop {
            let status = self.child.try_wait().map_err(ScenarioError::io("galenactl"))?;
            if let Some(status) = status {
                let output = std::fs::read_to_string(&self.out).unwrap_or_default();
                return Ok(OperatorExit { code: status.code().unwrap_or(-1), output });
            }
            if began.elapsed() > RUN_LIMIT {
                return Err(ScenarioError::bad(format!(
                    "galenactl did not end within {RUN_LIMIT:?}"
                )));
            }
            sleep(POLL).await;
        }
    }
}

impl Drop for Operator {
    fn drop(&mut self) {
        // Both fail only if the command has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
