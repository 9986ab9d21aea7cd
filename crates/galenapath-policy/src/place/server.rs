//! One server as placement knows it.

use super::config::PlaceConfig;
use super::known::Sighting;
use super::rate_limit::Limited;
use super::warming::Warming;
use galenapath_protocol::{BackendId, Micros};

/// Largest weight of recent failures; a server that fails for long gets its trial no later.
const MOST_TROUBLE: f32 = 4.0;

/// Part of the time in which a sighting fades after which it has lost half of its weight.
const KNOWN_PART: f32 = std::f32::consts::LN_2;

/// One server.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub id: BackendId,
    pub slots: u32,
    /// Whether it is in the own failure domain.
    pub is_home: bool,
    pub is_leaving: bool,
    /// Whether it is to get nothing for now.
    pub is_withdrawn: bool,
    /// Whether an idle connection to it is kept.
    pub is_connected: bool,
    /// Until when it is taken to be cold: it works slowly and can take few requests.
    pub cold_until: Micros,
    pub warming: Warming,
    pub limited: Limited,
    /// Until when it wants nothing from this instance.
    pub paused_until: Micros,
    /// Requests of this instance that are there now.
    pub own: u32,
    /// Of these, those that are not sent yet: no sighting counts them.
    pub unsent: u32,
    /// The newest sighting.
    seen: Option<Sighting>,
    /// Requests of other instances there, by the newest sighting.
    others: u32,
    /// Weight of recent failures at `trouble_at`.
    trouble: f32,
    trouble_at: Micros,
    /// Until when it counts as unreachable.
    unreachable_until: Micros,
}

impl Server {
    pub(super) fn new(id: BackendId) -> Self {
        Self {
            id,
            slots: 1,
            is_home: false,
            is_leaving: false,
            is_withdrawn: false,
            is_connected: false,
            cold_until: Micros::ZERO,
            warming: Warming::default(),
            limited: Limited::default(),
            paused_until: Micros::ZERO,
            own: 0,
            unsent: 0,
            seen: None,
            others: 0,
            trouble: 0.0,
            trouble_at: Micros::ZERO,
            unreachable_until: Micros::ZERO,
        }
    }

    /// Takes a sighting in; returns whether it was newer than what was known.
    pub(super) fn see(&mut self, sighting: Sighting) -> bool {
        if self.seen.is_some_and(|seen| seen.at >= sighting.at) {
            return false;
        }
        self.others = sighting.load().saturating_sub(self.own - self.unsent.min(self.own));
        self.seen = Some(sighting);
        self.slots = sighting.report.slots.max(1);
        true
    }

    pub(super) fn seen(&self) -> Option<Sighting> {
        self.seen
    }

    pub(super) fn load(&self) -> u32 {
        self.own + self.others
    }

    /// Part of the slots in use, a request on its way included.
    pub(super) fn fill(&self) -> f32 {
        (self.load() + 1) as f32 / self.slots as f32
    }

    pub(super) fn is_reachable(&self, now: Micros) -> bool {
        now >= self.unreachable_until
    }

    /// Whether it may get requests at all.
    pub(super) fn takes_requests(&self) -> bool {
        !self.is_leaving && !self.is_withdrawn
    }

    /// Forgets what was seen of it.
    pub(super) fn forget(&mut self) {
        self.seen = None;
        self.others = 0;
    }

    /// Whether it can be reached, takes requests and is not known to be slow.
    pub(super) fn is_good(&self, now: Micros) -> bool {
        let is_slow = self.seen.is_some_and(|seen| seen.is_slow());
        self.wants_requests(now) && self.is_reachable(now) && !is_slow
    }

    pub(super) fn reached(&mut self) {
        self.unreachable_until = Micros::ZERO;
    }

    pub(super) fn not_reached(&mut self, until: Micros) {
        self.unreachable_until = until;
    }

    pub(super) fn trouble(&self, now: Micros, cfg: &PlaceConfig) -> f32 {
        let halves = (now - self.trouble_at).0 as f32 / cfg.failure_fades.0 as f32;
        self.trouble * (-halves * std::f32::consts::LN_2).exp()
    }

    pub(super) fn failed(&mut self, now: Micros, cfg: &PlaceConfig, weight: f32) {
        self.trouble = (self.trouble(now, cfg) + weight).min(MOST_TROUBLE);
        self.trouble_at = now;
    }

    pub(super) fn served(&mut self, now: Micros, cfg: &PlaceConfig) {
        /// Part of the weight that stays after an answer in time.
        const KEPT: f32 = 0.8;
        self.trouble = self.trouble(now, cfg) * KEPT;
        self.trouble_at = now;
    }

    /// Extra time that a request of `work` takes when it begins at the pace that was seen. What begins
    /// slowly ends slowly, also when the spell ends before.
    pub(super) fn delay_when_seen(sighting: &Sighting, work: Micros) -> f32 {
        (sighting.pace() - 1.0).max(0.0) * work.0 as f32
    }

    /// Whether it was seen so lately that its pace is more likely that of the sighting than any other.
    pub(super) fn is_known(&self, now: Micros, cfg: &PlaceConfig) -> bool {
        self.seen
            .is_some_and(|seen| (now - seen.at).0 as f32 <= KNOWN_PART * cfg.pace_fades.0 as f32)
    }

    /// Extra time because of the pace now: what was seen, faded towards the average `usual`.
    pub(super) fn delay(&self, now: Micros, work: Micros, usual: f32, cfg: &PlaceConfig) -> f32 {
        let Some(seen) = &self.seen else { return usual };
        let age = (now - seen.at).0 as f32 / cfg.pace_fades.0 as f32;
        let weight = (-age).exp();
        weight * Self::delay_when_seen(seen, work) + (1.0 - weight) * usual
    }
}
