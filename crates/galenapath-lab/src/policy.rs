//! The policy that is played: the shipping thresholds, with some changed and some mechanisms off.

use crate::switch::Switch;
use galenapath_policy::place::{PlaceConfig, QueueConfig};
use galenapath_protocol::Micros;

/// Cost factors and limits so far off that the mechanism never acts.
const NEVER: f32 = 1e9;

/// More servers than any deployment has.
const ALL_SERVERS: usize = 10_000;

/// A policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Mechanisms that are off.
    pub without: Vec<Switch>,
    /// Thresholds of placement.
    pub place: PlaceConfig,
    /// Thresholds of the queue.
    pub queue: QueueConfig,
}

impl Policy {
    /// The shipping policy without some mechanisms.
    pub fn without(switches: &[Switch]) -> Self {
        let mut policy = Self { without: switches.to_vec(), ..Self::default() };
        switches.iter().for_each(|switch| policy.switch_off(*switch));
        policy
    }

    /// Whether a mechanism is off.
    pub fn is_without(&self, switch: Switch) -> bool {
        self.without.contains(&switch)
    }

    /// Turns those off that are thresholds; the others are asked for by [`Self::is_without`].
    fn switch_off(&mut self, switch: Switch) {
        let place = &mut self.place;
        match switch {
            Switch::SlowProbes => {
                place.probe_after_slow = place.probe_after_usual;
                place.probe_after_slow_idle = place.probe_after_usual;
            }
            Switch::Crowding => place.contention_limit = NEVER,
            Switch::Home => place.cross_domain_cost = 0.0,
            Switch::Sample => place.sample_size = ALL_SERVERS,
            Switch::Jitter => place.jitter = 0.0,
            Switch::Waiting => self.queue.max_waiting = 0,
            Switch::Questions | Switch::Sharing | Switch::OwnSends | Switch::Probes => {}
        }
    }

    /// The same with a threshold multiplied by `factor`.
    #[must_use]
    pub fn scaled(&self, knob: Knob, factor: f32) -> Self {
        let mut policy = self.clone();
        let Self { place, queue, .. } = &mut policy;
        let span = |span: &mut Micros| *span = Micros((span.0 as f32 * factor) as u64);
        match knob {
            Knob::PaceFades => span(&mut place.observation_decay),
            Knob::Crossing => place.cross_domain_cost *= factor,
            Knob::FillCost => place.fill_cost *= factor,
            Knob::Jitter => place.jitter *= factor,
            Knob::Sample => {
                place.sample_size = ((place.sample_size as f32 * factor) as usize).max(1)
            }
            Knob::Slower => place.slower_tolerance *= factor,
            Knob::Failure => place.failure_cost *= factor,
            Knob::FailureFades => span(&mut place.failure_half_life),
            Knob::LookAtUsual => span(&mut place.probe_after_usual),
            Knob::LookAtSlow => span(&mut place.probe_after_slow),
            Knob::LookAtSlowCalm => span(&mut place.probe_after_slow_idle),
            Knob::ScarceFrom => place.scarcity_threshold *= factor,
            Knob::CrowdingLimit => place.contention_limit *= factor,
            Knob::Margin => queue.margin *= factor,
            Knob::LateShare => queue.late_share *= factor,
            Knob::NoLateFor => span(&mut queue.late_cooldown),
            Knob::LeastRetryAfter => span(&mut queue.min_retry_after),
            Knob::RetryShare => queue.max_retry_share *= factor,
        }
        policy
    }
}

/// A threshold of the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Knob {
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

impl Knob {
    /// All of them, in the order in which tables show them.
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
