//! The operator's configuration (routes by host and prefix, services, workspaces, limits) and the
//! backend servers that the platform lists.
//!
//! Pure values and rules: this crate uses neither sockets nor clocks.

mod changes;
mod directory;
mod evacuations;
mod limits;
mod listed;
mod removals;
mod resource;
mod route;
mod server;
mod service;
mod table;
mod weighted_round_robin;
mod workspace;

pub use changes::{Change, ListedServer, Removal, ServerChanges, VisibleChange};
pub use directory::Directory;
pub use evacuations::{Evacuation, Evacuations};
pub use limits::CallerLimits;
pub use resource::{Resource, ResourceFault, ResourceProblem, ResourceType, UnreadableResource};
pub use route::{Route, RouteKind, WeightedService};
pub use server::{ServerRecord, ServerState, StartedAt};
pub use service::{ServiceSpec, WarmUp};
pub use table::{RouteMatch, RouteTable};
pub use weighted_round_robin::WeightedRoundRobin;
pub use workspace::{KeyDigest, Workspace};
