//! Which backend servers an instance reaches, compared with what other instances reach.
//!
//! Load pattern: an instance loses its paths to backend servers, all of them or those to a failure
//! domain or a service, while callers and other instances still reach it and the other instances
//! reach the servers. To this instance that looks as if the servers had failed: it rejects its
//! callers' requests, reports servers as failed that serve everybody else, and callers come back to
//! it because nothing says that another instance would serve them.
//!
//! What an instance cannot reach proves nothing by itself. It asks other instances, and only what
//! they reach in the same span shows that its own paths are gone.
//!
//! - [`Contacts`]: what is known of the paths to the servers of one service.
//! - [`Trials`]: checks on behalf of other instances.
//! - [`Withdrawal`]: when an instance leaves the answers to callers, and when it comes back.

mod config;
mod contact;
mod contacts;
mod helpers;
mod proof;
mod summary;
mod trials;
mod withdrawal;

pub use config::ReachConfig;
pub use contact::{Exchange, PathState};
pub use contacts::Contacts;
pub use proof::{FailedTry, NoAnswer, is_shown_by_other_services};
pub use summary::PathSummary;
pub use trials::{Trial, Trials};
pub use withdrawal::{Withdrawal, WithdrawalChange};
