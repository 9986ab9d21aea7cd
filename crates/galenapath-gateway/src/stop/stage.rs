//! Progress of a planned stop.

/// Progress of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// No stop in progress.
    Serving,
    /// Omitted from address answers; callers that hold an older answer are still served.
    Leaving,
    /// Accepts no new connections.
    Closing,
}

impl Stage {
    /// Name in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Leaving => "leaving",
            Self::Closing => "closing",
        }
    }
}
