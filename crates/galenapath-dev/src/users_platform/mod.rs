//! Stand-ins for the users' platform: its key-value service and its backend servers. Each runs on
//! its own thread, with faults that a test sets while it runs.

mod cold;
mod endless;
mod kv;
mod kv_fault;
mod kv_state;
mod limit;
mod pause;
mod serve;
mod server;
mod server_fault;
mod thread;

pub use kv::KvStandIn;
pub use kv_fault::KvFault;
pub use server::{DOWNTIME, ExecutedRequest, ServerStandIn};
pub use server_fault::{EndlessPart, ServerFault};
