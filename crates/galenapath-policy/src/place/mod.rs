//! Placement on servers that slow down and recover within half a second.
//!
//! Load pattern: backend servers share their machines, and at any moment a quarter of them work
//! several times slower than usual, each for about half a second. A choice by requests in flight
//! alone learns of a slow spell from the answers that are late because of it, when it is over.
//! Here the pace that servers tell, on answers and probes and through other instances, decides
//! first, and what is known loses its weight with its age.
//!
//! - [`Placement`]: which server a request goes to, or that it has to wait.
//! - [`Line`]: how placement and queue go together.
//! - [`WaitQueue`]: who waits, who goes first and who is turned away.
//! - [`copies`]: when a running request gets a second copy elsewhere.

mod absent;
mod ask;
mod choose;
mod config;
pub mod copies;
mod cost;
mod estimate;
mod guess;
mod known;
mod line;
mod look;
mod patience;
mod pause;
mod placement;
mod queue;
mod rate_limit;
mod server;
mod shortage;
mod warming;

pub use ask::{Ask, Choice, PlacedServer, Started};
pub use config::PlaceConfig;
pub use known::Sighting;
pub use line::{Given, Line, Moved, Placed, Wanted};
pub use patience::spent;
pub use placement::Placement;
pub use queue::{Entry, QueueConfig, Refusal, WaitQueue};
pub use rate_limit::RateLimit;
pub use shortage::Shortage;
pub use warming::WarmUp;
