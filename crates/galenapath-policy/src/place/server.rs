//! State of one server.

use super::config::PlaceConfig;
use super::observation::LoadObservation;
use super::rate_limit::RateLimitState;
use super::warming::Warming;
use galenapath_protocol::{BackendId, Micros};

/// Largest weight of recent failures, which limits how long a server that failed for long goes
/// without requests.
const MAX_FAILURE_WEIGHT: f32 = 4.0;

/// Fraction of the decay time after which an observation has lost half of its weight.
const FRESH_FRACTION: f32 = std::f32::consts::LN_2;

/// One server.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub id: BackendId,
    pub slots: u32,
    /// Whether it is in the failure domain of this instance.
    pub is_local: bool,
    pub is_leaving: bool,
    /// Whether it gets no requests because its failure domain is evacuated.
    pub is_withdrawn: bool,
    /// Whether an idle connection to it is open.
    pub is_connected: bool,
    /// Whether new connections to it can be opened, as far as known.
    pub is_connectable: bool,
    /// Time until which it counts as cold: it is slow and can take few requests.
    pub cold_until: Micros,
    pub warming: Warming,
    pub limited: RateLimitState,
    /// Time until which this instance sends no requests to it.
    pub paused_until: Micros,
    /// Number of this instance's requests that are assigned to it now.
    pub own_requests: u32,
    /// Of these, the ones that are not sent yet, which no observation counts.
    pub unsent: u32,
    /// The newest observation.
    last_observation: Option<LoadObservation>,
    /// Number of other instances' requests, by the newest observation.
    other_requests: u32,
    /// Weight of recent failures at `failure_weight_at`.
    failure_weight: f32,
    failure_weight_at: Micros,
    /// Time until which it counts as unreachable.
    unreachable_until: Micros,
}

impl Server {
    pub(super) fn new(id: BackendId) -> Self {
        Self {
            id,
            slots: 1,
            is_local: false,
            is_leaving: false,
            is_withdrawn: false,
            is_connected: false,
            is_connectable: true,
            cold_until: Micros::ZERO,
            warming: Warming::default(),
            limited: RateLimitState::default(),
            paused_until: Micros::ZERO,
            own_requests: 0,
            unsent: 0,
            last_observation: None,
            other_requests: 0,
            failure_weight: 0.0,
            failure_weight_at: Micros::ZERO,
            unreachable_until: Micros::ZERO,
        }
    }

    /// Adds an observation; returns whether it is newer than the last one.
    pub(super) fn observe(&mut self, observation: LoadObservation) -> bool {
        if self.last_observation.is_some_and(|last| last.at >= observation.at) {
            return false;
        }
        self.other_requests = observation
            .load()
            .saturating_sub(self.own_requests - self.unsent.min(self.own_requests));
        self.last_observation = Some(observation);
        self.slots = observation.report.slots.max(1);
        true
    }

    pub(super) fn last_observation(&self) -> Option<LoadObservation> {
        self.last_observation
    }

    pub(super) fn load(&self) -> u32 {
        self.own_requests + self.other_requests
    }

    /// Fraction of the slots in use if it gets one more request.
    pub(super) fn fill(&self) -> f32 {
        (self.load() + 1) as f32 / self.slots as f32
    }

    pub(super) fn is_reachable(&self, now: Micros) -> bool {
        now >= self.unreachable_until
    }

    /// Whether there is a connection for a request to it, or one can be opened.
    pub(super) fn has_connection(&self) -> bool {
        self.is_connectable || self.is_connected
    }

    /// Whether it may get requests at all.
    pub(super) fn takes_requests(&self) -> bool {
        !self.is_leaving && !self.is_withdrawn
    }

    /// Drops the last observation.
    pub(super) fn clear_observation(&mut self) {
        self.last_observation = None;
        self.other_requests = 0;
    }

    /// Whether it is reachable, accepts requests and is not known to be slow.
    pub(super) fn is_good(&self, now: Micros) -> bool {
        let is_slow = self.last_observation.is_some_and(|observation| observation.is_slow());
        self.accepts_requests(now) && self.is_reachable(now) && self.has_connection() && !is_slow
    }

    pub(super) fn mark_reachable(&mut self) {
        self.unreachable_until = Micros::ZERO;
    }

    pub(super) fn mark_unreachable(&mut self, until: Micros) {
        self.unreachable_until = until;
    }

    pub(super) fn failure_weight(&self, now: Micros, cfg: &PlaceConfig) -> f32 {
        let half_lives = (now - self.failure_weight_at).0 as f32 / cfg.failure_half_life.0 as f32;
        self.failure_weight * (-half_lives * std::f32::consts::LN_2).exp()
    }

    pub(super) fn record_failure(&mut self, now: Micros, cfg: &PlaceConfig, weight: f32) {
        self.failure_weight = (self.failure_weight(now, cfg) + weight).min(MAX_FAILURE_WEIGHT);
        self.failure_weight_at = now;
    }

    pub(super) fn record_success(&mut self, now: Micros, cfg: &PlaceConfig) {
        /// Fraction of the weight that remains after an answer in time.
        const RETAINED: f32 = 0.8;
        self.failure_weight = self.failure_weight(now, cfg) * RETAINED;
        self.failure_weight_at = now;
    }

    /// Additional time of a request of `work` that begins at the observed slowdown. A request that
    /// begins slowly also ends slowly, even if the slow period ends before.
    pub(super) fn observed_delay(observation: &LoadObservation, work: Micros) -> f32 {
        (observation.slowdown() - 1.0).max(0.0) * work.0 as f32
    }

    /// Whether the last observation is so recent that its slowdown is more likely than not to hold.
    pub(super) fn is_fresh(&self, now: Micros, cfg: &PlaceConfig) -> bool {
        self.last_observation.is_some_and(|observation| {
            (now - observation.at).0 as f32 <= FRESH_FRACTION * cfg.observation_decay.0 as f32
        })
    }

    /// Expected additional time due to the slowdown now: the observed one, decaying with its age
    /// towards the average.
    pub(super) fn delay(
        &self,
        now: Micros,
        work: Micros,
        average_delay: f32,
        cfg: &PlaceConfig,
    ) -> f32 {
        let Some(observation) = &self.last_observation else { return average_delay };
        let age = (now - observation.at).0 as f32 / cfg.observation_decay.0 as f32;
        let weight = (-age).exp();
        weight * Self::observed_delay(observation, work) + (1.0 - weight) * average_delay
    }
}
