//! At-most-once execution of filings: keys, records, claims, hand-over and crash suspects.
//!
//! Pure and event-driven: no clock, no socket, no thread. Time comes in as
//! [`Micros`](galenapath_protocol::Micros). The protocol is specified in `docs/SPEC-filings.md`,
//! and the model tests explore the very functions that the entry instance runs.

mod adopted;
mod answer;
mod claim;
mod config;
mod fingerprint;
mod guards;
mod key;
mod record;
mod route;
mod store;
mod suspects;
mod table;

pub use adopted::{HandOverEntry, HandOverOutcome};
pub use answer::Answer;
pub use claim::{ClaimId, ClaimResult};
pub use config::FilingConfig;
pub use fingerprint::Fingerprint;
pub use guards::Guards;
pub use key::{FilingKey, KeyId, KeyKind, ParseKeyError};
pub use record::{AfterAttempt, AttemptEnd, FilingEnd, RecordGone, RecordId};
pub use route::successors;
pub use suspects::{SuspectConfig, SuspectReport, SuspectVerdict, Suspects};
pub use table::{FilingDecision, FilingTable};
