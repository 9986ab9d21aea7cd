//! The edge to the platform: its key-value service and its list of instances.
//!
//! Two traits are all that the rest of the workspace sees: [`Platform`] for a store that lists
//! instances itself, spoken by [`ConsulPlatform`] with the published Consul HTTP API, and
//! [`KeyStore`] for a plain key-value service read by prefix, whose wire stands in an adapter of its
//! own. Both speak through one [`HttpClient`].

mod consul;
mod entry;
mod error;
mod http_client;
mod key_store;
mod lease;
mod listing;
mod platform;
mod swap;

pub use consul::ConsulPlatform;
pub use entry::{Entry, Read, StoreIndex};
pub use error::{Cause, PlatformError};
pub use http_client::{Answer, Call, HttpClient};
pub use key_store::{Freshness, Item, KeyEvent, KeyStore, Page, WatchOutcome};
pub use lease::Lease;
pub use listing::{
    Announcement, DOMAIN_META, ListedInstance, Listing, SERVICE_META, STARTED_META, STATE_LEAVING,
    STATE_META,
};
pub use platform::Platform;
pub use swap::{Expected, SwapOutcome};
