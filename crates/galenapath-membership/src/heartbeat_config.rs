//! Thresholds of heartbeats.

use galenapath_protocol::Micros;

/// Thresholds of heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatConfig {
    /// Time between two heartbeats to the same target.
    pub period: Micros,
    /// Silence after which an instance is no longer given to callers. It spans three consecutive
    /// heartbeats, which even a lossy link hardly ever loses together.
    pub silent_after: Micros,
    /// Number of instances up to which every instance sends heartbeats to all others.
    pub full_mesh_limit: usize,
    /// Number of instances that each one sends heartbeats to in a larger fleet. An instance is
    /// considered down when two of those that monitor it report it as silent.
    pub fan_out: usize,
    /// How many of these are in other failure domains, so that the loss of a whole domain is
    /// detected from outside.
    pub fan_out_remote: usize,
    /// Time between two heartbeats that an instance serving callers sends to the other instances of
    /// its failure domain. They use its load to work out how many instances to give to callers.
    pub local_period: Micros,
    /// Time between two heartbeats to a silent instance, so that it is found again. Only instances
    /// that monitor it or that it monitors send them: if all did, the cost would grow with the
    /// square of a fleet that is cut in two.
    pub silent_period: Micros,
    /// Silence after which an instance is removed.
    pub forget_after: Micros,
    /// Number of accusers needed to consider an instance down that this one does not monitor.
    pub required_accusers: usize,
    /// Time for which the digests of all received heartbeats may differ from the own one before a
    /// sender is asked for its members. All instances learn of a start or a stop much sooner.
    pub settle_time: Micros,
    /// Minimum time between two such requests. An answer has 60 bytes for each instance.
    pub min_sync_interval: Micros,
    /// Time for which all heartbeats of one instance may differ before it is asked for its members
    /// even though others agree. Otherwise two groups that each agree internally would stay apart.
    /// Has to exceed the time for which a series of restarts makes two digests differ without
    /// interruption.
    pub max_peer_difference: Micros,
    /// Minimum time between two requests of that kind.
    pub min_peer_sync_interval: Micros,
    /// Minimum time between two requests for the members of senders that are not known. If most
    /// instances restart at once, each gets heartbeats of hundreds that it does not know, and a
    /// list from each of them would fill the links of small instances for seconds.
    pub min_list_interval: Micros,
    /// How long an accusation counts.
    pub accusation_ttl: Micros,
    /// Time between two questions to an instance that no heartbeat is expected from. It bounds how
    /// long a lost instance counts as up whose observers are lost as well.
    pub question_period: Micros,
    /// Maximum number of questions of a survey that are sent at a time.
    pub survey_batch: usize,
    /// Time for which a survey goes on.
    pub survey_time: Micros,
    /// Time between the starts of two surveys.
    pub survey_period: Micros,
    /// Gap between two calls of `tick` above which this instance itself was suspended, so that the
    /// silence of the others proves nothing.
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
            min_list_interval: Micros::from_millis(200),
            accusation_ttl: Micros::from_secs(3),
            question_period: Micros::from_secs(1),
            survey_batch: 32,
            survey_time: Micros::from_secs(2),
            survey_period: Micros::from_secs(5),
            max_tick_gap: Micros::from_millis(500),
        }
    }
}
