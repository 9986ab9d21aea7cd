//! Stand-in for the platform's key-value service and list of instances.
//!
//! It keeps its state in memory and implements the subset of the Consul HTTP API that galenapath
//! uses. `PUT /admin/faults` replaces its [`Faults`] and `GET /admin/counters` returns its
//! [`Counters`]; faults do not affect these paths.

mod catalog;
mod counters;
mod faults;
mod kv;
mod options;
mod rate;
mod reply;
mod routes;
mod server;
mod state;
mod waiters;

pub use counters::{CallKind, Counters};
pub use faults::{Deny, Faults, LoseReplies};
pub use options::StoreOptions;
pub use server::serve;
