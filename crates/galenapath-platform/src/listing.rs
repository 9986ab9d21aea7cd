//! The platform's list of live and leaving instances.

use crate::StoreIndex;
use galenapath_protocol::FastMap;
use std::net::SocketAddr;

/// Metadata key that names the failure domain of an instance.
pub const DOMAIN_META: &str = "domain";
/// Metadata key that is `live` or `leaving`.
pub const STATE_META: &str = "state";
/// Value of [`STATE_META`] on an instance that is leaving.
pub const STATE_LEAVING: &str = "leaving";
/// Metadata key of the service that a backend server belongs to.
pub const SERVICE_META: &str = "service";
/// Metadata key of the start time of this run, in milliseconds since the Unix epoch.
pub const STARTED_META: &str = "started";

/// An instance as the platform lists it. The list lags behind the truth.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Name of the instance, unique within its service.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it told about itself when it was announced.
    pub meta: FastMap<String, String>,
}

impl ListedInstance {
    /// The failure domain that the instance runs in, if it told.
    pub fn domain(&self) -> Option<&str> {
        self.meta.get(DOMAIN_META).map(String::as_str)
    }

    /// Whether the list marks the instance as leaving.
    pub fn is_leaving(&self) -> bool {
        self.meta.get(STATE_META).is_some_and(|value| value == STATE_LEAVING)
    }

    /// The service that a backend server belongs to, if it told.
    pub fn service(&self) -> Option<&str> {
        self.meta.get(SERVICE_META).map(String::as_str)
    }

    /// Start time of this run in milliseconds since the Unix epoch; 0 where none is told.
    pub fn started(&self) -> u64 {
        self.meta.get(STARTED_META).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// The instances of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// The position to watch from next.
    pub position: StoreIndex,
    /// The listed instances with a usable address, in the platform's order.
    pub instances: Vec<ListedInstance>,
    /// Number of listed instances left out because their address cannot be read.
    pub skipped: usize,
}

/// What an instance tells the platform about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the instance, unique in the deployment.
    pub id: String,
    /// Service under which it is listed.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Further facts, such as the failure domain.
    pub meta: FastMap<String, String>,
}
