//! Stand-ins for the users' platform: its key-value service and its backend servers. Each runs on
//! its own thread, with faults that a test sets while it runs.

mod cold;
mod endless;
mod kv;
mod kv_state;
mod limit;
mod pause;
mod serve;
mod server;
mod thread;

pub use kv::{KvFault, KvStandIn};
pub use server::{DOWNTIME, EndlessPart, ExecutedRequest, ServerFault, ServerStandIn};
