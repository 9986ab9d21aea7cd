//! Thresholds of placement.

use galenapath_protocol::Micros;

/// Thresholds of placement.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceConfig {
    /// Age at which a load observation has lost about two thirds of its weight. A slow period
    /// observed that long ago is over in about half of the cases.
    pub observation_decay: Micros,
    /// Work time that is assumed before the first answer.
    pub assumed_work: Micros,
    /// Cost of a server of another failure domain for an ordinary answer, as a fraction of the work
    /// time. Cross-domain bytes are billed, and targets leave room for a wait and a fuller local
    /// server. Higher than the cost of a full server, lower than that of contention or slowness.
    pub cross_domain_cost: f32,
    /// The same for a large answer, whose bytes cost about as much as the answer is worth. Lower
    /// than the cost of a slow period.
    pub cross_domain_cost_large: f32,
    /// Cost of a full server compared to an empty one, as a fraction of the work time; it grows
    /// with the square of the fill. Some servers slow down when nearly full.
    pub fill_cost: f32,
    /// Cost of a new connection as a fraction of the work time: a handshake, which may wait for a
    /// slot and takes processor time of the server. Lower than the cost of one more request at the
    /// server.
    pub connect_cost: f32,
    /// Random part of the cost as a fraction of the work time, so that instances with the same
    /// observations do not all select the same server.
    pub jitter: f32,
    /// Number of servers of the own failure domain, and as many of others, in the sample that a
    /// request selects from. Large enough that they are hardly ever all slow, small enough that
    /// instances with the same observations differ.
    pub sample_size: usize,
    /// Additional servers of the own failure domain with an open connection in the sample.
    pub connected_sample_size: usize,
    /// Time, as a fraction of the work time, by which a server may turn out slower than expected
    /// after a load query before the request looks for another one.
    pub slower_tolerance: f32,
    /// Cost of one recent failure as a fraction of the work time. Higher than that of a
    /// cross-domain send, so that a failing server is the last local choice, but still goes before
    /// a slow one.
    pub failure_cost: f32,
    /// Time in which a failure loses half its weight. As the weight decays, the server gets
    /// requests again without a probe.
    pub failure_half_life: Micros,
    /// Time for which an unreachable server gets no requests, unless a probe reaches it.
    pub unreachable_for: Micros,
    /// Cost as a fraction of the work time above which a server is not good enough for a hedge. A
    /// fixed time would rule out every server in use where work is long.
    pub good_cost_limit: f32,
    /// Time after the last observation of a server that was not slow at which it is probed.
    /// Requests query these servers before they are sent, and instances report what they observe.
    pub probe_after_usual: Micros,
    /// Time after the last observation of a slow server at which it is probed while slots are
    /// scarce. No request queries a slow server, and its slots stay unused until the end of the
    /// slow period is known.
    pub probe_after_slow: Micros,
    /// The same while there are enough free slots.
    pub probe_after_slow_idle: Micros,
    /// Time after the last observation of a rate-limited server at which it is probed. A probe
    /// counts against the limit, and requests bring observations as well.
    pub probe_after_limited: Micros,
    /// Fraction of the good slots in use above which slots are scarce.
    pub scarcity_threshold: f32,
    /// Fraction of the slots up to which a server has no contention.
    pub contended_from: f32,
    /// Ratio of the work time under contention to that without, from which the last slots of a
    /// server are left free: requests in them take longer and prolong the contention. Low, so that
    /// few answers suffice to detect it.
    pub contention_limit: f32,
}

impl Default for PlaceConfig {
    fn default() -> Self {
        Self {
            observation_decay: Micros::from_millis(300),
            assumed_work: Micros::from_millis(100),
            cross_domain_cost: 0.75,
            cross_domain_cost_large: 2.5,
            fill_cost: 0.5,
            connect_cost: 0.1,
            jitter: 0.15,
            sample_size: 12,
            connected_sample_size: 4,
            slower_tolerance: 0.5,
            failure_cost: 2.5,
            failure_half_life: Micros::from_secs(3),
            unreachable_for: Micros::from_secs(1),
            good_cost_limit: 0.75,
            probe_after_usual: Micros::from_millis(400),
            probe_after_slow: Micros::from_millis(30),
            probe_after_slow_idle: Micros::from_millis(200),
            probe_after_limited: Micros::from_secs(1),
            scarcity_threshold: 0.4,
            contended_from: 0.8,
            contention_limit: 1.2,
        }
    }
}
