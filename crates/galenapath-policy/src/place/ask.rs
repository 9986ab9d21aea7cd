//! What placement is asked and what it answers.

use galenapath_protocol::{BackendId, Micros};

/// A server as the list tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedServer {
    /// Its identity.
    pub id: BackendId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is in the own failure domain.
    pub is_home: bool,
    /// Whether it takes no new requests.
    pub is_leaving: bool,
    /// Whether it is to get nothing for now, because its failure domain is evacuated.
    pub is_withdrawn: bool,
    /// How much longer it stays cold, for one that is new or has turned cold; zero for any other.
    pub cold_for: Micros,
}

/// What a request asks of placement.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Servers that it has been sent to already.
    pub tried: &'a [BackendId],
    /// Whether its answer is large.
    pub is_large: bool,
    /// Time within which its answer is worth most; zero where that has passed.
    pub left: Micros,
}

/// How a server looked when a request was sent there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Started {
    /// Whether most of its slots were taken.
    pub is_crowded: bool,
    /// Whether it was known to be slow or cold.
    pub is_slow: bool,
    /// Whether it was known to be cold, so that the request counts among those that it can take.
    pub is_cold: bool,
    /// Whether it named a rate limit, so that the request counts among those that it takes.
    pub is_limited: bool,
    /// Whether nobody had seen it lately.
    pub is_guess: bool,
    /// Time beyond the usual that its answer was expected to take. An old sighting of a slow spell
    /// makes this little more than the average over all servers.
    pub expected_delay: Micros,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// To this server, now.
    Server(BackendId),
    /// Every server worth going to is full; wait.
    Wait,
    /// There is no server that could take it.
    Nowhere,
}
