//! Configuration of the balancer.

use galenapath_protocol::Micros;

/// How a balancer chooses a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ChoicePolicy {
    /// The production policy; the others are baselines for comparison.
    #[default]
    Galenapath,
    /// A server at random, with equal probability.
    Random,
    /// Each server in turn.
    RoundRobin,
    /// The server with the fewest requests of this instance in flight.
    LeastInFlight,
    /// Of two random servers, the one with fewer requests of this instance in flight.
    PowerOfTwo,
}

/// Configuration of a [`Balancer`](crate::Balancer).
#[derive(Clone, Debug)]
pub struct BalancerConfig {
    /// How servers are chosen.
    pub policy: ChoicePolicy,
    /// Instances that dispatch for the service, including this one; at least one. The instances of
    /// a failure domain share its slots and all of them share the probe budget, so too high a
    /// number is safe and too low a number is not. The default covers deployments of up to 16
    /// instances.
    pub dispatchers: u32,
    /// Slots assumed for a server before its first report.
    pub assumed_slots: u32,
    /// Probes per second that a server may receive from all dispatchers together: far below the
    /// share of its slots that load measurement may use.
    pub probe_rate: f64,
    /// Age of the last report or answer from which a server is probed: ten to twenty service times
    /// of a lookup.
    pub stale_after: Micros,
    /// Time over which a new server ramps up to its full share of work.
    pub ramp: Micros,
}

impl Default for BalancerConfig {
    fn default() -> Self {
        Self {
            policy: ChoicePolicy::Galenapath,
            dispatchers: 16,
            assumed_slots: 6,
            probe_rate: 10.0,
            stale_after: Micros::from_millis(100),
            ramp: Micros::from_secs(1),
        }
    }
}
