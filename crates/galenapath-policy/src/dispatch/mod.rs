//! Choice of the instances that dispatch for a service, of the addresses that callers receive, and
//! of each instance's share of a backend server's connections.

mod addresses;
mod connections;
mod count;
mod dispatcher_choice;
mod rate;
mod rendezvous;

pub use addresses::{AddressConfig, PeakLoad, ReachableInstance, addresses_for};
pub use connections::{ConnectionSplit, SettlingShare};
pub use count::{CountConfig, DispatcherCount};
pub use dispatcher_choice::{DispatcherLoad, choose_dispatcher};
pub use rate::RateEstimate;
pub use rendezvous::{Instance, dispatchers};
