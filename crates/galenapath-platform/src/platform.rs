//! The interface to the platform.

use crate::{Announcement, Expected, Lease, Listing, PlatformError, Read, StoreIndex, SwapOutcome};
use bytes::Bytes;
use std::time::Duration;

/// The platform's key-value service and list of instances.
///
/// Every call ends within the client's timeout (a watch within its wait plus the timeout), and
/// every error carries a verdict on whether the call may have taken effect. A call that may have
/// taken effect is never retried; the caller reads the value back instead.
#[expect(async_fn_in_trait, reason = "futures of this workspace stay on their thread")]
pub trait Platform {
    /// Reads the value of `key`.
    async fn read(&self, key: &str) -> Result<Read, PlatformError>;

    /// Waits for a change of `key` after position `after`, for at most `wait`, and returns the
    /// entry at that time, changed or not.
    async fn watch(
        &self,
        key: &str,
        after: StoreIndex,
        wait: Duration,
    ) -> Result<Read, PlatformError>;

    /// Compare-and-swap: writes `value` if the entry of `key` is as expected.
    async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Bytes,
    ) -> Result<SwapOutcome, PlatformError>;

    /// Acquires a lease that expires `ttl` after its last renewal.
    async fn lease(&self, ttl: Duration) -> Result<Lease, PlatformError>;

    /// Renews a lease; returns `false` if it has expired.
    async fn renew(&self, lease: &Lease) -> Result<bool, PlatformError>;

    /// Writes `value` to `key` and holds the key with `lease`; returns `false` if another lease
    /// holds it.
    async fn claim(&self, key: &str, lease: &Lease, value: Bytes) -> Result<bool, PlatformError>;

    /// Lists the instances of `service`. With a position, first waits for a change after it, for at
    /// most `wait`.
    async fn list(
        &self,
        service: &str,
        after: Option<StoreIndex>,
        wait: Duration,
    ) -> Result<Listing, PlatformError>;

    /// Adds an instance to the list or replaces its listing.
    async fn announce(&self, announcement: &Announcement) -> Result<(), PlatformError>;

    /// Removes the instance from the list.
    async fn withdraw(&self, id: &str) -> Result<(), PlatformError>;
}
