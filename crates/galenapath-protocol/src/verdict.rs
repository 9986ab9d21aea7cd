//! Verdict on whether a request ran.

use std::fmt;

/// Whether a request ran on a backend server, as far as the instance knows.
///
/// Every answer and every error carries a verdict. Only the verdict decides whether the request may
/// be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// A backend server ran the request and its complete answer follows.
    Answered,
    /// No backend server can have run the request.
    NotRun,
    /// The request may have run; a filing must not be dispatched again.
    MayHaveRun,
}

impl Verdict {
    /// The text of the verdict header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
