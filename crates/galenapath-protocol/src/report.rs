//! The load report that a backend server attaches to its answers.

use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Load of a backend server as it saw it when it wrote the answer.
///
/// Text form: `in-flight=3;waiting=0;slots=6;leaving=0`, and `;pace=250` where the server tells it.
/// Unknown fields are skipped, so that a server may say more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running, at most `slots` on an honest server.
    pub in_flight: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Requests the server can run at once; never zero.
    pub slots: u32,
    /// Whether the server is leaving and wants no new requests.
    pub leaving: bool,
    /// How long work takes on the server's machine at this moment, in percent of the usual; zero
    /// where the server does not tell.
    pub pace: u32,
}

/// A load report that cannot be read; the answer it came with is still good.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ParseReportError {
    /// A field has no number, or none in range.
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
