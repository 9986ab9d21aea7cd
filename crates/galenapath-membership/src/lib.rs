//! Who is there: entry instances, by probing and gossip, and backend servers, by the platform's
//! list and by what they and the peers say of their leaving.
//!
//! Pure state machines: time, probe results and messages come in; probes and rumors go out.

mod beat_config;
mod beats;
mod config;
mod leaving;
mod listing;
mod member;
mod members;
mod peer;
mod ring;
mod rumors;
mod vitals;
mod watchers;

pub use beat_config::BeatConfig;
pub use beats::Beats;
pub use config::MembershipConfig;
pub use leaving::{LeavingMark, LeavingMarks};
pub use listing::{ListDelta, TrackedList};
pub use member::{Member, MemberStatus};
pub use members::{Members, Probe};
pub use peer::{Belief, Learned, Peer};
pub use vitals::{Beat, Heard, StoreHealth, Vitals};
pub use watchers::{WATCHERS, WatchRole, reads_first, watch_role};
