//! Quotas of workspaces, kept by all instances together.
//!
//! Load pattern: the callers of a workspace meet a few instances of many, others a moment later,
//! and one workspace suddenly sends many times its usual. With equal parts of the rate for all
//! instances, the few that its callers meet would refuse most of what the quota allows. With the
//! whole rate at each instance, a workspace would get many times its quota. One instance that
//! decides for all would add a round trip to each request and refuse everything while it restarts.
//!
//! Every instance therefore keeps an [account](QuotaLedger) of the whole quota and charges it with
//! what it grants itself and what others report. While plenty is left, which is nearly always,
//! reports go to two [owners](quota_owners) of the workspace, and only once an instance has granted
//! so much that the sum of what nobody has reported could matter. Once less than half of the burst
//! is left, everything is reported to all, and an instance grants only its share of what is left,
//! by demand.
//!
//! What this adds to the quota, for `n` instances that serve the workspace: while little is left,
//! one request of each that the others do not know of, since a request is granted wherever one
//! is left; a burst that begins between two reports, its excess during one report period and the
//! delay of a datagram. Both are charged afterwards, so they count once in a window and not once in
//! each period. An instance that others do not reach shrinks the rate to its part of the load that
//! it last knew. An instance that starts has a quarter of a second of the rate at first.
//!
//! Load pattern: a fleet without requests gets the callers of a workspace at all instances at once.
//! Until the others know that an instance serves callers, it grants as if it were alone. Its first
//! report therefore comes after the sum that it had reported before, so that all charge what it has
//! granted since.
//!
//! Load pattern: callers move to other instances at once, and their retries use up most of a burst.
//! All instances begin to report to all, each the sum of all that it has granted. Of that sum, what
//! went to the owners meanwhile has been refilled. Were it charged again, each instance would be
//! charged for minutes of granted requests and refuse everything for seconds.

mod account;
mod contention;
mod demand;
mod ledger;
mod own_usage;
mod owners;
mod peer_usage;

pub use ledger::{DueReports, QuotaDecision, QuotaLedger, UsageNote};
pub use owners::quota_owners;
