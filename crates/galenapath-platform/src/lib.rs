//! The edge to the platform: its key-value service and its list of instances.
//!
//! [`Platform`] is the one trait that the rest of the workspace sees; [`ConsulPlatform`] speaks the
//! published Consul HTTP API. A store with another wire costs one more file like `consul.rs`.

mod consul;
mod entry;
mod error;
mod http_client;
mod lease;
mod listing;
mod platform;
mod swap;

pub use consul::ConsulPlatform;
pub use entry::{Entry, Read, StoreIndex};
pub use error::{Cause, PlatformError};
pub use lease::Lease;
pub use listing::{
    Announcement, DOMAIN_META, ListedInstance, Listing, SERVICE_META, STARTED_META, STATE_LEAVING,
    STATE_META,
};
pub use platform::Platform;
pub use swap::{Expected, Swap};
