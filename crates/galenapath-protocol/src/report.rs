//! The load report that a backend server attaches to its answers.

use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Load of a backend server at the time when it wrote the answer.
///
/// Text form: `in-flight=3;waiting=0;slots=6;leaving=0`, followed by `;pace=250` if the server
/// reports it. Unknown fields are skipped, so that servers can add fields.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Running requests. At most `slots`, unless the server reports wrong numbers.
    pub in_flight: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Requests that the server can run at the same time. Never zero in a parsed report.
    pub slots: u32,
    /// Whether the server is leaving and takes no new requests.
    pub leaving: bool,
    /// Slowdown: the time that work currently takes on the server's machine, in percent of the
    /// usual time. Zero if the server does not report it.
    pub pace: u32,
}

/// Error in a load report. The answer that contained the report is still valid.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ParseReportError {
    /// A field has no number, or a number out of range.
    #[error("load report field `{0}` is not a number in range")]
    BadNumber(String),
    /// `slots` is missing or zero.
    #[error("load report has no slots")]
    NoSlots,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "in-flight={};waiting={};slots={};leaving={}",
            self.in_flight,
            self.waiting,
            self.slots,
            u8::from(self.leaving)
        )?;
        if self.pace == 0 {
            return Ok(());
        }
        write!(f, ";pace={}", self.pace)
    }
}

impl FromStr for LoadReport {
    type Err = ParseReportError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut report = Self::default();
        for field in text.split(';') {
            let (name, value) = field.split_once('=').unwrap_or((field, ""));
            let number = || {
                value.trim().parse::<u32>().map_err(|_| ParseReportError::BadNumber(name.into()))
            };
            match name.trim() {
                "in-flight" => report.in_flight = number()?,
                "waiting" => report.waiting = number()?,
                "slots" => report.slots = number()?,
                "leaving" => report.leaving = number()? != 0,
                "pace" => report.pace = number()?,
                _ => {}
            }
        }
        if report.slots == 0 {
            return Err(ParseReportError::NoSlots);
        }
        Ok(report)
    }
}
