//! The trait behind which the platform sits.

use crate::{Announcement, Expected, Lease, Listing, PlatformError, Read, StoreIndex, SwapOutcome};
use bytes::Bytes;
use std::time::Duration;

/// The platform's key-value service and list of instances.
///
/// Every call ends within the client's timeout (a watch: its wait and the timeout) and every error
/// carries a verdict on whether the call may have taken effect. No call is repeated once it may
/// have taken effect; the caller reads back instead.
#[expect(async_fn_in_trait, reason = "futures of this workspace stay on their thread")]
pub trait Platform {
    /// Reads the value of `key`.
    async fn read(&self, key: &str) -> Result<Read, PlatformError>;

    /// Waits until the value of `key` changes after `after`, at most `wait`. Answers with what is
    /// there then, changed or not.
    async fn watch(
        &self,
        key: &str,
        after: StoreIndex,
        wait: Duration,
    ) -> Result<Read, PlatformError>;

    /// Writes `value` if `key` holds what is expected.
    async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Bytes,
    ) -> Result<SwapOutcome, PlatformError>;

    /// Takes a lease that lapses `ttl` after its last renewal.
    async fn lease(&self, ttl: Duration) -> Result<Lease, PlatformError>;

    /// Renews a lease; `false` where it has lapsed.
    async fn renew(&self, lease: &Lease) -> Result<bool, PlatformError>;

    /// Writes `value` under `key` and holds the key; `false` where another lease holds it.
    async fn claim(&self, key: &str, lease: &Lease, value: Bytes) -> Result<bool, PlatformError>;

    /// Lists the instances of `service`. With a position, waits for a change after it, at most
    /// `wait`.
    async fn list(
        &self,
        service: &str,
        after: Option<StoreIndex>,
        wait: Duration,
    ) -> Result<Listing, PlatformError>;

    /// Adds this instance to the list, or replaces what the list says about it.
    async fn announce(&self, announcement: &Announcement) -> Result<(), PlatformError>;

    /// Takes the instance off the list.
    async fn withdraw(&self, id: &str) -> Result<(), PlatformError>;
}
