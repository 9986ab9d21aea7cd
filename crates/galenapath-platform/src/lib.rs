//! Client of the platform: its key-value service and its list of instances.
//!
//! The rest of the workspace uses two traits. [`Platform`] is a store that also lists instances;
//! [`ConsulPlatform`] implements it over the published Consul HTTP API. [`KeyStore`] is a plain
//! key-value service that is read by prefix; its wire format is implemented in a separate adapter
//! crate. Both send their calls through [`HttpClient`].

mod consul;
mod entry;
mod error;
mod http_client;
mod key_store;
mod lease;
mod listing;
mod paged_read;
mod platform;
mod swap;

pub use consul::ConsulPlatform;
pub use entry::{Entry, Read, StoreIndex};
pub use error::{Cause, PlatformError};
pub use http_client::{Answer, Call, HttpClient};
pub use key_store::{Freshness, Item, KeyEvent, KeyStore, Lookup, Page, WatchOutcome};
pub use lease::Lease;
pub use listing::{
    Announcement, DOMAIN_META, ListedInstance, Listing, SERVICE_META, STARTED_META, STATE_LEAVING,
    STATE_META,
};
pub use paged_read::{NextStep, PagedRead};
pub use platform::Platform;
pub use swap::{Expected, SwapOutcome};
