//! Errors of `galenactl` and their exit codes.

use galenapath_config::wire::{ErrorCodeWire, ErrorWire, VerdictWire};
use std::net::SocketAddr;
use std::process::ExitCode;
use thiserror::Error;

/// Exit code of the program; documented in its help.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The instance cannot be reached, or its answer cannot be read.
    Failed = 1,
    /// Wrong arguments, fields or settings.
    Usage = 2,
    /// The class was changed meanwhile.
    Conflict = 3,
    /// The token was rejected.
    Unauthorized = 4,
    /// Not accepted; may be retried.
    Unavailable = 5,
    /// May have been accepted.
    Unknown = 6,
    /// No such class or request.
    NotFound = 7,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Why a command failed. The message also says what the operator can do.
#[derive(Debug, Error)]
pub enum CtlError {
    /// `--instance` is missing.
    #[error("no entry instance given: use --instance ADDR with its operators' address")]
    NoInstance,
    /// No connection could be established.
    #[error("cannot connect to {address}: {reason}; nothing was sent, try another instance")]
    Unreachable {
        /// The instance.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The connection broke, or no answer came in time.
    #[error("{address} did not answer: {reason}")]
    NoAnswer {
        /// The instance.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The answer cannot be read.
    #[error("the answer of {address} cannot be read: {reason}; is it an operators' address?")]
    BadAnswer {
        /// The instance.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The logs have no line about the request.
    #[error(
        "no log line about request {id}: it never arrived, or its line was left out under load \
         (galenapath_log_left_out_total counts the lines left out)"
    )]
    RequestNotLogged {
        /// The request.
        id: String,
    },
    /// The instance answered the call with an error.
    #[error("{}", .0.message)]
    ErrorAnswer(ErrorWire),
    /// A change may have been accepted.
    #[error(
        "{reason}; the change may have been accepted: run the same command with \
             --id {id} --base {base} to find out, through any instance"
    )]
    Unknown {
        /// What happened.
        reason: String,
        /// Identifier of the change.
        id: String,
        /// Revision of the class that it is based on.
        base: u64,
    },
    /// There is no such class.
    #[error("there is no class `{0}`; see `galenactl class list`")]
    NoSuchClass(String),
    /// A file cannot be read.
    #[error("{file}: {reason}")]
    File {
        /// The file.
        file: String,
        /// Why.
        reason: String,
    },
    /// The settings are not valid.
    #[error("{0}")]
    Settings(String),
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(String),
}

impl CtlError {
    /// The exit code.
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::Unreachable { .. }
            | Self::NoAnswer { .. }
            | Self::BadAnswer { .. }
            | Self::Output(_) => ExitStatus::Failed,
            Self::NoInstance | Self::File { .. } | Self::Settings(_) => ExitStatus::Usage,
            Self::NoSuchClass(_) | Self::RequestNotLogged { .. } => ExitStatus::NotFound,
            Self::Unknown { .. } => ExitStatus::Unknown,
            Self::ErrorAnswer(wire) => error_status(wire),
        }
    }

    /// Whether a change that failed with this error may have been accepted.
    pub(crate) fn may_have_run(&self) -> bool {
        match self {
            Self::NoAnswer { .. } | Self::BadAnswer { .. } => true,
            Self::ErrorAnswer(wire) => wire.verdict == VerdictWire::MayHaveRun,
            _ => false,
        }
    }
}

fn error_status(wire: &ErrorWire) -> ExitStatus {
    match wire.code {
        ErrorCodeWire::Invalid => ExitStatus::Usage,
        ErrorCodeWire::Unauthorized => ExitStatus::Unauthorized,
        ErrorCodeWire::NotFound => ExitStatus::NotFound,
        ErrorCodeWire::Conflict => ExitStatus::Conflict,
        ErrorCodeWire::Unavailable | ErrorCodeWire::StoreBehind => match wire.verdict {
            VerdictWire::NotRun => ExitStatus::Unavailable,
            VerdictWire::MayHaveRun => ExitStatus::Unknown,
        },
    }
}
