//! What an instance tells of itself with its heartbeats.

use galenapath_protocol::Incarnation;

/// How the platform's store answers an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum StoreHealth {
    /// The instance has not tried it lately.
    #[default]
    Untried,
    /// The last call was answered.
    Answering,
    /// The last call failed.
    Failing,
}

/// What an instance tells of itself with each heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InstanceStatus {
    /// Whether it can serve requests.
    pub is_ready: bool,
    /// Whether a planned stop has begun.
    pub is_leaving: bool,
    /// How the store answers it.
    pub store: StoreHealth,
    /// Whether it watches the store for the others.
    pub is_watching: bool,
    /// Whether callers have sent it requests lately.
    pub serves_callers: bool,
    /// Whether it sends a good part of its requests to servers of other failure domains.
    pub crosses: bool,
    /// Requests a second that callers send it.
    pub rate: u32,
    /// Requests a second that it can take with ease.
    pub capacity: u32,
    /// Version of its configuration.
    pub config_version: u64,
    /// Position of its list of backend servers.
    pub position: u64,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Who sends it.
    pub from: Incarnation,
    /// What it tells of itself.
    pub status: InstanceStatus,
    /// Instances that it finds silent.
    pub accused: Vec<Incarnation>,
    /// Digest of the instances that it believes in, itself included.
    pub digest: u64,
}

/// What hearing a heartbeat says about its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// It is known.
    Known,
    /// Nothing but its incarnation is known; it has to be asked.
    UnknownSender,
    /// It is known and accuses this instance of being silent, which has to tell all that it is not.
    AccusesUs,
    /// It is known, and for some time nobody heard has believed in the same instances as this one: it
    /// has to be asked.
    ViewDiffers,
}
