//! Which entry instances dispatch for a service, and how they share its servers' connections.

mod connections;
mod count;
mod rendezvous;

pub use connections::{ConnectionSplit, SettlingShare};
pub use count::{CountConfig, DispatcherCount};
pub use rendezvous::{Instance, dispatchers};
