//! A stand-in for the platform's key-value service and list of instances.
//!
//! It keeps everything in memory, speaks the subset of the Consul HTTP API that galenapath uses,
//! and misbehaves when told to: `PUT /admin/faults` replaces its [`Faults`], `GET /admin/counters`
//! gives its [`Counters`]. The administration paths are never disturbed by faults.

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
