//! The platform's list of live and leaving instances.

use crate::StoreIndex;
use galenapath_protocol::FastMap;
use std::net::SocketAddr;

/// Metadata key that names the failure domain of an instance.
pub const DOMAIN_META: &str = "domain";
/// Metadata key that is `1` on an instance that is leaving.
pub const LEAVING_META: &str = "leaving";

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
    pub fn leaving(&self) -> bool {
        self.meta.get(LEAVING_META).is_some_and(|value| value == "1")
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
