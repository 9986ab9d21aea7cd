//! Thresholds of heartbeats.

use galenapath_protocol::Micros;

/// Thresholds of heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatConfig {
    /// Time between two heartbeats.
    pub period: Micros,
    /// Silence after which an instance is no longer given to callers: three heartbeats in a row, which a link that
    /// loses packets hardly ever loses together.
    pub silent_after: Micros,
    /// Instances up to which everybody sends heartbeats to everybody.
    pub full_mesh_limit: usize,
    /// Instances that one sends heartbeats to in a larger fleet. An instance is taken out when two of
    /// those that hear it find it silent.
    pub fan_out: usize,
    /// Of these, those of other failure domains: as many as it takes to miss a domain that is lost whole.
    pub fan_out_remote: usize,
    /// Time between two heartbeats of an instance that serves callers to the others of its failure
    /// domain, which tell callers how many instances it takes to carry the load.
    pub local_period: Micros,
    /// Time between two heartbeats to an instance that is silent, from those that hear it or that it
    /// hears, so that it is found again. From everybody, the cost would grow with the square of a fleet that is cut
    /// in two.
    pub silent_period: Micros,
    /// Silence after which an instance is forgotten.
    pub forget_after: Micros,
    /// Accusers without whom an instance that is not monitored itself stays believed in.
    pub required_accusers: usize,
    /// Time for which the digests of all heartbeats heard may be other than the own one before the
    /// sender of one is asked whom it knows: a start or an end is known to all much sooner.
    pub settle_time: Micros,
    /// Least time between two such questions; an answer has 60 bytes for each instance.
    pub min_sync_interval: Micros,
    /// Time for which each heartbeat of one instance has to differ before it is asked although others
    /// agree: two groups that each agree among themselves would else stay apart. Longer than a series of restarts lets two instances differ without a break.
    pub max_peer_difference: Micros,
    /// Least time between two questions of that kind.
    pub min_peer_sync_interval: Micros,
    /// How long an accusation counts.
    pub accusation_ttl: Micros,
    /// Gap between two calls of `tick` after which the instance was itself asleep, so that the
    /// silence of the others says nothing.
    pub max_tick_gap: Micros,
}

impl Default for HeartbeatConfig {
    fn default() -> Self {
        Self {
            period: Micros::from_millis(250),
            silent_after: Micros::from_millis(800),
            full_mesh_limit: 16,
            fan_out: 6,
            fan_out_remote: 2,
            local_period: Micros::from_millis(500),
            silent_period: Micros::from_secs(1),
            forget_after: Micros::from_secs(60),
            required_accusers: 2,
            settle_time: Micros::from_millis(600),
            min_sync_interval: Micros::from_secs(2),
            max_peer_difference: Micros::from_secs(2),
            min_peer_sync_interval: Micros::from_secs(8),
            accusation_ttl: Micros::from_secs(3),
            max_tick_gap: Micros::from_millis(500),
        }
    }
}
