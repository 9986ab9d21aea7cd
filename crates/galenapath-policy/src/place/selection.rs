//! Input and result of a server selection.

use galenapath_protocol::{BackendId, Micros};

/// A listed server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedServer {
    /// Identity of the server.
    pub id: BackendId,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is in the failure domain of this instance.
    pub is_local: bool,
    /// Whether it is leaving and takes no new requests.
    pub is_leaving: bool,
    /// Whether it gets no requests for now because its failure domain is evacuated.
    pub is_withdrawn: bool,
    /// Time for which a server that is new or has turned cold stays cold; zero for any other.
    pub cold_for: Micros,
}

/// Properties of a request that its server selection depends on.
#[derive(Clone, Copy, Debug)]
pub struct RequestCriteria<'a> {
    /// Servers that it has already been sent to.
    pub tried: &'a [BackendId],
    /// Whether its answer is large.
    pub is_large: bool,
    /// Time until its latency target; zero where that has passed.
    pub time_left: Micros,
}

/// Known state of a server when a request was assigned to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerSnapshot {
    /// Whether most of its slots were taken.
    pub is_contended: bool,
    /// Whether it was known to be slow or cold.
    pub is_slow: bool,
    /// Whether it was known to be cold, in which case the request counts against its warm-up rate.
    pub is_cold: bool,
    /// Whether it had stated a rate limit, in which case the request counts against that limit.
    pub is_limited: bool,
    /// Whether its last load observation was stale.
    pub is_stale: bool,
    /// Time beyond the mean work time that its answer was expected to take. For a stale observation
    /// of a slow period this is little more than the average over all servers.
    pub expected_delay: Micros,
}

/// Result of a server selection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to this server now.
    Server(BackendId),
    /// Every acceptable server is full; wait.
    Wait,
    /// No server can take the request.
    NoServer,
}
