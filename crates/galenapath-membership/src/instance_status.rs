//! Heartbeats and the status that an instance reports in them.

use galenapath_protocol::{Incarnation, Micros, StorePosition};

/// Whether the platform's store answers an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum StoreHealth {
    /// The instance has not called it since its start, or since its last failure expired.
    #[default]
    Untried,
    /// The last call was answered.
    Answering,
    /// The last call failed.
    Failing,
}

/// The status that an instance reports of itself with each heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InstanceStatus {
    /// Whether it can serve requests.
    pub is_ready: bool,
    /// Whether a planned stop has begun.
    pub is_leaving: bool,
    /// Whether the store answers it.
    pub store: StoreHealth,
    /// Whether it watches the store for the others.
    pub is_watching: bool,
    /// Whether callers send it requests, or did so within a short hold time, and it reaches backend
    /// servers to send them to.
    pub serves_callers: bool,
    /// Whether it sends a considerable share of its requests to servers in other failure domains.
    pub sends_cross_domain: bool,
    /// Whether it has lost its paths to most backend servers of a service that other instances
    /// reach.
    pub is_cut_off: bool,
    /// Requests per second that callers send to it.
    pub rate: u32,
    /// Requests per second that it can handle without being overloaded.
    pub capacity: u32,
    /// Version of its configuration.
    pub config_version: u64,
    /// Store position of its list of backend servers.
    pub position: StorePosition,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The instance that sends it.
    pub from: Incarnation,
    /// Status of the sender.
    pub status: InstanceStatus,
    /// Instances that the sender monitors and considers silent.
    pub accused: Vec<Incarnation>,
    /// Digest of the instances that the sender considers up, itself included.
    pub digest: u64,
    /// Time since the store last answered an instance that follows it, as far as the sender knows;
    /// `None` if it does not know of any answer.
    pub store_age: Option<Micros>,
    /// Whether the sender asks for a heartbeat.
    pub wants_answer: bool,
}

/// What the receiver of a heartbeat has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// Nothing: the sender is known.
    Known,
    /// Ask the sender for its members: only its incarnation is known.
    UnknownSender,
    /// Nothing yet: the sender is not known, but another one's members were asked for just now, and
    /// it is probably among them.
    UnknownSenderForNow,
    /// Refute the accusation: the sender reports this instance as silent.
    AccusesUs,
    /// Ask the sender for its members: its digest has differed for too long.
    ViewDiffers,
}
