//! The operators' configuration: classes of work, changes to them, and how changes are accepted.
//!
//! The configuration is a chain of accepted changes in the platform's store. One key holds the
//! [`Head`]: the newest version and the last change records. A change is accepted by one
//! compare-and-swap of the head, so its audit record is part of the same write. Nothing in this
//! crate does I/O.

mod acceptance;
mod chain;
mod change;
mod check;
mod class;
mod codec;
mod config;
mod convert;
mod head;
mod ident;
mod propose;
mod replica;
mod target;
pub mod wire;

#[allow(missing_docs, clippy::pedantic)]
#[rustfmt::skip]
mod generated;
#[allow(missing_docs, clippy::pedantic)]
#[rustfmt::skip]
mod generated_operators;

pub use acceptance::{Acceptance, Action, Event, HeadIndex, Outcome};
pub use chain::{Chain, FollowError};
pub use change::{Change, ChangeRecord, ChangeRequest};
pub use check::InvalidField;
pub use class::{Class, ClassKind};
pub use codec::{
    decode_head, decode_page, decode_snapshot, encode_head, encode_page, encode_snapshot,
};
pub use config::{ChainError, Config, LastChange};
pub use convert::{DecodeError, last_change_wire, last_change_wires};
pub use head::{AuditPage, HEAD_KEY, Head, TailLimits, page_containing, page_key, snapshot_key};
pub use ident::{ChangeId, Version};
pub use propose::{ChangeRejection, Compaction, MAX_SNAPSHOT_BYTES, Proposal, propose};
pub use replica::{ApplyOutcome, Replica};
pub use target::{Share, Target};
