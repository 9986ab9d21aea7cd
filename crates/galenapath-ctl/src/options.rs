//! Command-line arguments of `galenactl`.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Exit codes, for the help text and for scripts.
const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  the instance cannot be reached, or its answer cannot be read
  2  wrong arguments, a field that cannot be accepted, or settings that cannot be used
  3  conflict: the class was changed meanwhile; check it and decide again
  4  the token was rejected
  5  not accepted, the store cannot be used now; run the command again later
  6  may have been accepted; run the command again with the --id and --base it printed
  7  no such class or request";

/// Operates galenapath through any of its entry instances.
#[derive(Parser)]
#[command(
    name = "galenactl",
    version,
    after_help = EXIT_CODES,
    after_long_help = EXIT_CODES
)]
pub struct Options {
    /// Operators' address of an entry instance, IP and port
    #[arg(long, global = true, value_name = "ADDR")]
    pub instance: Option<SocketAddr>,
    /// File whose first line is the operators' token; needed for changes
    #[arg(long, global = true, value_name = "FILE")]
    pub token_file: Option<PathBuf>,
    /// Output format
    #[arg(long, global = true, value_enum, default_value_t = OutputFormat::Table)]
    pub output: OutputFormat,
    /// Maximum time to wait for an answer, in seconds
    #[arg(long, global = true, value_name = "SECONDS", default_value_t = 15)]
    pub timeout: u64,
    /// The command
    #[command(subcommand)]
    pub command: Command,
}

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Table for people.
    Table,
    /// One JSON document, as the instance sent it.
    Json,
}

/// A command.
#[derive(Subcommand)]
pub enum Command {
    /// Create, list and change classes of work
    #[command(subcommand)]
    Class(ClassCommand),
    /// Show the state of an instance, its peers and the store
    #[command(after_help = "Example:\n  galenactl --instance 10.0.0.1:7003 status")]
    Status,
    /// List accepted changes: version, time, author, id, old and new target
    #[command(after_help = "Example:\n  galenactl --instance 10.0.0.1:7003 audit --after 40")]
    Audit {
        /// Only changes after this version
        #[arg(long, default_value_t = 0)]
        after: u64,
    },
    /// Explain what happened to one request and why
    #[command(after_help = "Example:\n  galenactl --instance 10.0.0.1:7003 explain \
                            4f1c0a9be2d37761-2a\n\nAsk the instance that served the request; the \
                            id is in the answer's galenapath-request-id header.")]
    Explain {
        /// Identifier of the request
        #[arg(value_name = "REQUEST-ID")]
        id: String,
    },
    /// Show from gateways' logs what happened to one request and why
    #[command(
        after_help = "Example:\n  galenactl trace e05ecc7ac7538d56 logs/*\n\nGive the logs of \
                            all instances: a caller may have retried at another one."
    )]
    Trace {
        /// Identifier that the caller gave the request
        #[arg(value_name = "REQUEST-ID")]
        id: String,
        /// Files with the instances' standard output
        #[arg(required = true, value_name = "FILE")]
        logs: Vec<PathBuf>,
    },
    /// Count in gateways' logs why requests were late, rejected or failed
    #[command(
        after_help = "Example:\n  galenactl causes logs/*\n\nGive the logs of all instances. \
                            Follow one request with `galenactl trace`."
    )]
    Causes {
        /// Length of the time windows by which requests are counted, in seconds
        #[arg(long, value_name = "SECONDS", default_value_t = 2)]
        window: u32,
        /// Files with the instances' standard output
        #[arg(required = true, value_name = "FILE")]
        logs: Vec<PathBuf>,
    },
    /// Work with settings files
    #[command(subcommand)]
    Settings(SettingsCommand),
}

/// A command on classes.
#[derive(Subcommand)]
pub enum ClassCommand {
    /// Create a class
    #[command(after_help = "Example:\n  galenactl --instance 10.0.0.1:7003 --token-file token \
                            class create timetable-lookup --service timetable --kind lookup \
                            --method GET --path / --latency-ms 50 --share 0.99")]
    Create(CreateClass),
    /// List the classes
    #[command(after_help = "Example:\n  galenactl --instance 10.0.0.1:7003 class list")]
    List,
    /// Change the target of a class
    #[command(after_help = "Example:\n  galenactl --instance 10.0.0.1:7003 --token-file token \
                            class set-target timetable-lookup --latency-ms 40 --share 0.995")]
    SetTarget(SetTarget),
    /// Remove a class
    #[command(after_help = "Example:\n  galenactl --instance 10.0.0.1:7003 --token-file token \
                            class remove timetable-lookup")]
    Remove(RemoveClass),
}

/// A command on settings files.
#[derive(Subcommand)]
pub enum SettingsCommand {
    /// Check a settings file of an entry instance
    #[command(after_help = "Example:\n  galenactl settings check entry-1.toml")]
    Check {
        /// The file
        file: PathBuf,
    },
}

/// Arguments of `class create`.
#[derive(Args)]
pub struct CreateClass {
    /// Name of the class
    pub name: String,
    /// Service whose requests belong to it
    #[arg(long)]
    pub service: String,
    /// What its requests do
    #[arg(long, value_enum)]
    pub kind: Kind,
    /// Path prefix of its requests
    #[arg(long, value_name = "PREFIX", default_value = "/")]
    pub path: String,
    /// HTTP method of its requests; may be repeated; all methods if omitted
    #[arg(long = "method", value_name = "METHOD")]
    pub methods: Vec<String>,
    /// Its target
    #[command(flatten)]
    pub target: TargetArgs,
    /// Identity of the change
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// Arguments of `class set-target`.
#[derive(Args)]
pub struct SetTarget {
    /// Name of the class
    pub name: String,
    /// The new target
    #[command(flatten)]
    pub target: TargetArgs,
    /// Identity of the change
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// Arguments of `class remove`.
#[derive(Args)]
pub struct RemoveClass {
    /// Name of the class
    pub name: String,
    /// Identity of the change
    #[command(flatten)]
    pub change: ChangeArgs,
}

/// Arguments of a latency target.
#[derive(Args)]
pub struct TargetArgs {
    /// Latency in milliseconds
    #[arg(long)]
    pub latency_ms: u32,
    /// Share of the requests that must meet it, between 0 and 1
    #[arg(long, default_value_t = 0.99)]
    pub share: f64,
}

/// Identity and author of a change.
#[derive(Args)]
pub struct ChangeArgs {
    /// Identifier of the change, only needed to retry one; random if omitted
    #[arg(long, requires = "base")]
    pub id: Option<String>,
    /// Revision of the class that the change is based on; the newest if omitted
    #[arg(long)]
    pub base: Option<u64>,
    /// Author for the audit trail; the user's login name if omitted
    #[arg(long)]
    pub author: Option<String>,
}

/// What the requests of a class do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Kind {
    /// Quick reads.
    Lookup,
    /// Requests that change records; each runs at most once.
    Filing,
    /// Large reads, streamed.
    Transfer,
}
