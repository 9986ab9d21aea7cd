//! Types shared by galenapath's processes: identifiers, time, verdicts and wire types.
//!
//! This crate depends on no other crate of the workspace. It has no clock, socket or thread.

mod collections;
mod header;
mod ident;
mod report;
mod store_position;
mod time;
mod verdict;
mod workspace;

pub use collections::{FastMap, FastSet};
pub use header::{
    ATTEMPT_HEADER, BACKEND_HEADER, DEADLINE_HEADER, HOPS_HEADER, IDEMPOTENCY_KEY_HEADER,
    REPORT_HEADER, REQUEST_ID_HEADER, VERDICT_HEADER, WORKSPACE_HEADER,
};
pub use ident::{BackendId, DomainId, Incarnation, InstanceId, ParseIdentError, hash64};
pub use report::{LoadReport, ParseReportError};
pub use store_position::StorePosition;
pub use time::Micros;
pub use verdict::Verdict;
pub use workspace::{Quota, WorkspaceId};
