//! At-most-once execution of filings: keys, records, claims, hand-over and crash suspects.
//!
//! The crate has no clock, socket or thread: callers pass events, and the time as
//! [`Micros`](galenapath_protocol::Micros). The protocol is specified in `docs/SPEC-filings.md`.
//! The model tests check the same functions that the entry instance runs.

mod answer;
mod claim;
mod config;
mod fingerprint;
mod guards;
mod handed_over;
mod key;
mod record;
mod records;
mod successors;
mod suspects;
mod table;

pub use answer::Answer;
pub use claim::{ClaimId, ClaimResult};
pub use config::FilingConfig;
pub use fingerprint::Fingerprint;
pub use guards::Guards;
pub use handed_over::{HandOverEntry, HandOverOutcome};
pub use key::{FilingKey, KeyId, KeyKind, ParseKeyError};
pub use record::{AfterAttempt, AttemptEnd, FilingEnd, RecordGone, RecordId};
pub use successors::successors;
pub use suspects::{
    RecentAnswers, RunId, ServerRuns, SuspectConfig, SuspectReport, SuspectVerdict, Suspects,
};
pub use table::{FilingDecision, FilingTable};
