//! Stand-ins of the users' platform: its key-value service and its backend servers, each on a
//! thread of its own, with faults that a test sets while they run.

mod cold;
mod kv;
mod kv_state;
mod limit;
mod pause;
mod serve;
mod server;
mod thread;

pub use kv::{KvStandIn, KvTrouble};
pub use server::{Seen, ServerStandIn, ServerTrouble};
