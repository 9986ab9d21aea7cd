//! One instance of the model.

use super::Side;
use galenapath_membership::{
    FollowTimes, HeartbeatMembership, InstanceStatus, Member, Peer, StoreFollow, StoreHealth,
    WatchRole, watch_role,
};
use galenapath_protocol::Micros;

/// Time for which an instance follows the store after it has taken over, as in the program.
const TAKEOVER_TIME: Micros = Micros::from_secs(3);

pub struct Node {
    pub membership: HeartbeatMembership,
    pub member: Member,
    pub is_running: bool,
    pub side: Side,
    /// Newest version of the store's content that it knows.
    pub version: u64,
    /// How often it has taken over.
    pub takeovers: usize,
    pub follow: StoreFollow,
    pub(super) takeover_until: Micros,
    pub(super) store: StoreHealth,
    pub(super) is_following: bool,
    pub(super) checked_at: Micros,
    pub(super) pinged_at: Micros,
    /// Time from a failed call to the next one while nobody follows the store.
    pub(super) retry_pause: Micros,
    pub(super) refuted_at: Micros,
    pub(super) announcements: Vec<Micros>,
}

impl Node {
    pub(super) fn new(membership: HeartbeatMembership, member: Member, now: Micros) -> Self {
        Self {
            membership,
            member,
            is_running: true,
            side: Side::Connected,
            version: 1,
            takeovers: 0,
            follow: StoreFollow::new(now),
            takeover_until: Micros::ZERO,
            store: StoreHealth::Untried,
            is_following: false,
            checked_at: Micros::ZERO,
            pinged_at: Micros::ZERO,
            retry_pause: Micros::ZERO,
            refuted_at: Micros::ZERO,
            announcements: Vec::new(),
        }
    }

    pub(super) fn status(&self, serves_callers: bool) -> InstanceStatus {
        InstanceStatus {
            is_ready: true,
            store: self.store,
            serves_callers,
            config_version: self.version,
            ..InstanceStatus::default()
        }
    }

    /// Whether it calls the store although that failed and others are selected, as in the program.
    pub(super) fn retries(&self, now: Micros, apply_within: Micros) -> bool {
        let times = FollowTimes::within(apply_within);
        self.store == StoreHealth::Failing
            && self.follow.silence(now) > times.max_silence
            && now - self.pinged_at >= self.retry_pause
    }

    /// Drawn as in the program.
    pub(super) fn drawn_retry_pause(&self, apply_within: Micros, draw: f64) -> Micros {
        let up = self.membership.up_count();
        let longest = FollowTimes::within(apply_within).retry_pause_of(up);
        Micros((longest.0 as f64 * (0.5 + draw / 2.0)) as u64)
    }

    pub(super) fn role(&mut self, now: Micros, apply_within: Micros, draw: f64) -> WatchRole {
        let (own, domain, status) =
            (self.member.incarnation, &self.member.domain, self.status(true));
        let assigned = watch_role(own, domain, &status, self.membership.peers());
        if assigned != WatchRole::Standby || self.store == StoreHealth::Failing {
            return assigned;
        }
        let limit = FollowTimes::within(apply_within).max_silence;
        let up = self.membership.up_count();
        let is_failing = |peer: &Peer| peer.is_up() && peer.status.store == StoreHealth::Failing;
        let is_store_failing = self.membership.peers().any(is_failing);
        if now >= self.takeover_until
            && self.follow.asks_store(now, limit, up, is_store_failing, draw)
        {
            self.takeover_until = now + TAKEOVER_TIME;
            self.takeovers += 1;
        }
        if now < self.takeover_until { WatchRole::Watch } else { assigned }
    }
}
