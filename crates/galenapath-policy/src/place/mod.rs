//! Placement on servers that slow down and recover within half a second.
//!
//! Load pattern: backend servers share their machines, and at any moment a quarter of them work
//! several times slower than usual, each for about half a second. A choice by requests in flight
//! alone learns of a slow period only from the answers that are late because of it, when the period
//! is over. Placement therefore decides first by the slowdown that servers report, on answers and
//! probes and through other instances; the weight of an observation falls with its age.
//!
//! - [`Placement`]: which server a request is sent to, or whether it has to wait.
//! - [`PlacementQueue`]: combines placement and queue.
//! - [`WaitQueue`]: which requests wait, in which order, and which are rejected.
//! - [`hedging`]: when a running request is sent to a second server.

mod choose;
mod config;
mod cost;
mod delisted;
mod estimate;
pub mod hedging;
mod observation;
mod pause;
mod placement;
mod placement_queue;
mod probe_schedule;
mod queue;
mod rate_limit;
mod selection;
mod server;
mod shortage;
mod stale_queries;
mod time_spent;
mod warming;

pub use config::PlaceConfig;
pub use observation::LoadObservation;
pub use placement::Placement;
pub use placement_queue::{
    Assignment, PlacementOutcome, PlacementQueue, PlacementRequest, QueueOutcome,
};
pub use queue::{QueueConfig, QueueEntry, QueueRejection, WaitQueue};
pub use rate_limit::RateLimit;
pub use selection::{Choice, PlacedServer, RequestCriteria, ServerSnapshot};
pub use shortage::Shortage;
pub use time_spent::time_spent;
pub use warming::WarmUp;
