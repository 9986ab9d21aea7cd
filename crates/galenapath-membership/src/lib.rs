//! Which entry instances are available, and which backend servers exist or are leaving.
//!
//! Two views of the other instances are kept here: [`HeartbeatMembership`], fed by heartbeats, and
//! [`GossipMembership`], fed by probes and gossip. Backend servers are known from the platform's
//! list ([`TrackedList`]) and from leaving notices ([`LeavingMarks`]).
//!
//! Everything here is a pure state machine: callers pass in the time, probe results and received
//! messages, and send the probes and updates that come out.

mod follow_times;
mod gossip_config;
mod gossip_membership;
mod gossip_queue;
mod heartbeat_config;
mod heartbeat_membership;
mod instance_status;
mod leaving;
mod member;
mod peer;
mod ring;
mod store_follow;
mod tracked_list;
mod watchers;

pub use follow_times::FollowTimes;
pub use gossip_config::GossipConfig;
pub use gossip_membership::{GossipMembership, Probe};
pub use heartbeat_config::HeartbeatConfig;
pub use heartbeat_membership::HeartbeatMembership;
pub use instance_status::{Heartbeat, HeartbeatOutcome, InstanceStatus, StoreHealth};
pub use leaving::{LeavingMark, LeavingMarks};
pub use member::{Member, MemberStatus};
pub use peer::{LearnOutcome, Peer, ReachabilityChange};
pub use store_follow::StoreFollow;
pub use tracked_list::{ListDelta, TrackedList};
pub use watchers::{WATCHERS, WatchRole, reads_store_at_start, watch_role};
