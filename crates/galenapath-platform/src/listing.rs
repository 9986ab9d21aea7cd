//! The platform's list of live and leaving instances.

use crate::StoreIndex;
use galenapath_protocol::FastMap;
use std::net::SocketAddr;

/// Metadata key of an instance's failure domain.
pub const DOMAIN_META: &str = "domain";
/// Metadata key of an instance's state, `live` or `leaving`.
pub const STATE_META: &str = "state";
/// Value of [`STATE_META`] on an instance that is leaving.
pub const STATE_LEAVING: &str = "leaving";
/// Metadata key of a backend server's service.
pub const SERVICE_META: &str = "service";
/// Metadata key of the start time of this run, in milliseconds since the Unix epoch.
pub const STARTED_META: &str = "started";

/// An instance as listed by the platform. The list lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Name of the instance, unique within its service.
    pub id: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The metadata from its announcement.
    pub meta: FastMap<String, String>,
}

impl ListedInstance {
    /// The failure domain in which the instance runs, if announced.
    pub fn domain(&self) -> Option<&str> {
        self.meta.get(DOMAIN_META).map(String::as_str)
    }

    /// Whether the list marks the instance as leaving.
    pub fn is_leaving(&self) -> bool {
        self.meta.get(STATE_META).is_some_and(|value| value == STATE_LEAVING)
    }

    /// The service to which a backend server belongs, if announced.
    pub fn service(&self) -> Option<&str> {
        self.meta.get(SERVICE_META).map(String::as_str)
    }

    /// Start time of this run in milliseconds since the Unix epoch; 0 if not announced.
    pub fn started(&self) -> u64 {
        self.meta.get(STARTED_META).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// The instances of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The position from which the next watch starts.
    pub position: StoreIndex,
    /// The listed instances with a valid address, in the platform's order.
    pub instances: Vec<ListedInstance>,
    /// Number of listed instances skipped because their entries cannot be read.
    pub skipped: usize,
}

/// The registration of an instance with the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the instance, unique in the deployment.
    pub id: String,
    /// Service under which it is listed.
    pub service: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Metadata, such as the failure domain.
    pub meta: FastMap<String, String>,
}
