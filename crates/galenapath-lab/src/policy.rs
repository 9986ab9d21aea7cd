//! The simulated policy: the production thresholds, optionally with changes and disabled
//! mechanisms.

use crate::switch::Switch;
use galenapath_policy::place::{PlaceConfig, QueueConfig};
use galenapath_protocol::Micros;

/// A limit so high that the mechanism never takes effect.
const NEVER: f32 = 1e9;

/// A sample size larger than the number of servers of any deployment.
const ALL_SERVERS: usize = 10_000;

/// Thresholds and disabled mechanisms of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Disabled mechanisms.
    pub disabled: Vec<Switch>,
    /// Thresholds of placement.
    pub place: PlaceConfig,
    /// Thresholds of the queue.
    pub queue: QueueConfig,
}

impl Policy {
    /// The production policy with some mechanisms disabled.
    pub fn without(switches: &[Switch]) -> Self {
        let mut policy = Self { disabled: switches.to_vec(), ..Self::default() };
        switches.iter().for_each(|switch| policy.apply_switch(*switch));
        policy
    }

    /// Whether a mechanism is disabled.
    pub fn is_disabled(&self, switch: Switch) -> bool {
        self.disabled.contains(&switch)
    }

    /// Disables a mechanism that depends on a threshold. The simulation checks the others with
    /// [`Self::is_disabled`].
    fn apply_switch(&mut self, switch: Switch) {
        let place = &mut self.place;
        match switch {
            Switch::SlowProbes => {
                place.probe_after_slow = place.probe_after_usual;
                place.probe_after_slow_idle = place.probe_after_usual;
            }
            Switch::Contention => place.contention_limit = NEVER,
            Switch::LocalPreference => place.cross_domain_cost = 0.0,
            Switch::Sample => place.sample_size = ALL_SERVERS,
            Switch::Jitter => place.jitter = 0.0,
            Switch::Queueing => self.queue.max_waiting = 0,
            Switch::Queries | Switch::Sharing | Switch::OwnSends | Switch::Probes => {}
        }
    }

    /// Returns this policy with a threshold multiplied by `factor`.
    #[must_use]
    pub fn scaled(&self, threshold: Threshold, factor: f32) -> Self {
        let mut policy = self.clone();
        let Self { place, queue, .. } = &mut policy;
        let span = |span: &mut Micros| *span = Micros((span.0 as f32 * factor) as u64);
        match threshold {
            Threshold::PaceFades => span(&mut place.observation_decay),
            Threshold::Crossing => place.cross_domain_cost *= factor,
            Threshold::FillCost => place.fill_cost *= factor,
            Threshold::Jitter => place.jitter *= factor,
            Threshold::Sample => {
                place.sample_size = ((place.sample_size as f32 * factor) as usize).max(1)
            }
            Threshold::Slower => place.slower_tolerance *= factor,
            Threshold::Failure => place.failure_cost *= factor,
            Threshold::FailureFades => span(&mut place.failure_half_life),
            Threshold::LookAtUsual => span(&mut place.probe_after_usual),
            Threshold::LookAtSlow => span(&mut place.probe_after_slow),
            Threshold::LookAtSlowCalm => span(&mut place.probe_after_slow_idle),
            Threshold::ScarceFrom => place.scarcity_threshold *= factor,
            Threshold::CrowdingLimit => place.contention_limit *= factor,
            Threshold::Margin => queue.margin *= factor,
            Threshold::LateShare => queue.late_share *= factor,
            Threshold::NoLateFor => span(&mut queue.late_cooldown),
            Threshold::LeastRetryAfter => span(&mut queue.min_retry_after),
            Threshold::RetryShare => queue.max_retry_share *= factor,
        }
        policy
    }
}

/// A threshold of the policy. The names of the variants are printed in tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Threshold {
    /// [`PlaceConfig::observation_decay`].
    PaceFades,
    /// [`PlaceConfig::cross_domain_cost`].
    Crossing,
    /// [`PlaceConfig::fill_cost`].
    FillCost,
    /// [`PlaceConfig::jitter`].
    Jitter,
    /// [`PlaceConfig::sample_size`].
    Sample,
    /// [`PlaceConfig::slower_tolerance`].
    Slower,
    /// [`PlaceConfig::failure_cost`].
    Failure,
    /// [`PlaceConfig::failure_half_life`].
    FailureFades,
    /// [`PlaceConfig::probe_after_usual`].
    LookAtUsual,
    /// [`PlaceConfig::probe_after_slow`].
    LookAtSlow,
    /// [`PlaceConfig::probe_after_slow_idle`].
    LookAtSlowCalm,
    /// [`PlaceConfig::scarcity_threshold`].
    ScarceFrom,
    /// [`PlaceConfig::contention_limit`].
    CrowdingLimit,
    /// [`QueueConfig::margin`].
    Margin,
    /// [`QueueConfig::late_share`].
    LateShare,
    /// [`QueueConfig::late_cooldown`].
    NoLateFor,
    /// [`QueueConfig::min_retry_after`].
    LeastRetryAfter,
    /// [`QueueConfig::max_retry_share`].
    RetryShare,
}

impl Threshold {
    /// All thresholds, in the order of the tables.
    pub const fn all() -> &'static [Self] {
        &[
            Self::PaceFades,
            Self::Crossing,
            Self::FillCost,
            Self::Jitter,
            Self::Sample,
            Self::Slower,
            Self::Failure,
            Self::FailureFades,
            Self::LookAtUsual,
            Self::LookAtSlow,
            Self::LookAtSlowCalm,
            Self::ScarceFrom,
            Self::CrowdingLimit,
            Self::Margin,
            Self::LateShare,
            Self::NoLateFor,
            Self::LeastRetryAfter,
            Self::RetryShare,
        ]
    }
}
