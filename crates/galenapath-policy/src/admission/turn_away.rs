//! Which requests are turned away, and when.
//!
//! Load pattern: a lasting overload, a burst longer than the targets allow, and a few workspaces with
//! most of the load. A request is turned away when it comes if its predicted wait leaves too little
//! of its target or deadline, and later if the prediction turns out wrong. In an overload those
//! over their share of the queue are turned away first.

use super::controller::Admission;
use super::decision::{Decision, RejectReason, Rejection, Step};
use super::offer::{Offer, Ticket, WorkLength, WorkspaceIndex};
use galenapath_protocol::Micros;

impl Admission {
    /// Tells the lane whether its queue waits longer than the short allowance.
    pub(super) fn note_wait(&mut self, now: Micros, length: WorkLength) {
        let allowed = self.classes.longest_wait(length, self.cfg.min_wait_share);
        let short = allowed.0 as f64 * self.cfg.overload_wait_share * self.cfg.prediction_margin;
        let lane = self.lane(length);
        let wait = lane.wait(now, lane.queue().len() + 1, self.slots(length));
        let is_long = !lane.queue().is_empty() && wait.0 as f64 > short;
        let after = self.cfg.overload_after;
        self.lane_mut(length).note_wait(now, is_long, after);
    }

    pub(super) fn reason_to_reject(
        &mut self,
        now: Micros,
        length: WorkLength,
        offer: &Offer,
    ) -> Option<RejectReason> {
        let workspace = self.shared(offer.workspace);
        let is_over_share = self.is_over_share(length, workspace);
        let is_full = self.lane(length).queue().len() >= self.cfg.max_waiting;
        if is_full && is_over_share {
            return Some(RejectReason::QueueFull);
        }
        if !self.cfg.early_rejection {
            return None;
        }
        let is_short = is_over_share && self.lane(length).is_overloaded();
        let share = if is_short { self.cfg.overload_wait_share } else { 1.0 };
        let class = self.classes.get(offer.class);
        let mean = class.latency.mean();
        let allowed = class.allowed_wait(self.cfg.min_wait_share);
        let lane = self.lane(length);
        let wait = lane.wait(now, lane.queue().position_of_new(workspace), self.slots(length));
        if now + wait + mean > offer.deadline {
            return Some(RejectReason::WontMeetTarget);
        }
        let is_late = wait.0 as f64 > allowed.0 as f64 * share * self.cfg.prediction_margin;
        if !is_late || lane.queue().is_empty() {
            return None;
        }
        let over = is_over_share && lane.queue().active() > 1;
        Some(if over { RejectReason::OverShare } else { RejectReason::WontMeetTarget })
    }

    /// Whether the workspace would have as many waiting as any other, or has at least an even share
    /// of what waits. One request beside a workspace with several is never too much: in a short
    /// queue it would be an even share.
    fn is_over_share(&self, length: WorkLength, workspace: WorkspaceIndex) -> bool {
        let queue = self.lane(length).queue();
        let own = queue.len_of(workspace);
        let most = queue.heaviest().map_or(0, |heaviest| queue.len_of(heaviest));
        own + 1 >= most || (own > 1 && own * queue.active() >= queue.len())
    }

    /// Rejects what waits beyond the bounds: of the workspace that has most waiting, the request
    /// that came last.
    pub(super) fn make_room(&mut self, now: Micros, length: WorkLength) {
        while self.is_overfull(now, length) {
            let Some(workspace) = self.lane(length).queue().heaviest() else { return };
            let shared = self.lane(length).queue().active() > 1;
            let Some(waiting) = self.lane_mut(length).take_newest(now, workspace) else { return };
            let reason =
                if shared { RejectReason::OverShare } else { RejectReason::WontMeetTarget };
            self.forget_place(waiting.ticket);
            self.push_rejection(now, length, waiting.ticket, reason);
        }
    }

    fn is_overfull(&mut self, now: Micros, length: WorkLength) -> bool {
        let len = self.lane(length).queue().len();
        if len <= 1 {
            return false;
        }
        if len > self.cfg.max_waiting {
            return true;
        }
        if !self.cfg.early_rejection {
            return false;
        }
        let allowed = self.classes.longest_wait(length, self.cfg.min_wait_share);
        self.lane(length).wait(now, len, self.slots(length)) > allowed
    }

    pub(super) fn give_up(&mut self, now: Micros) {
        while let Some((at, ticket)) = self.give_ups.first().copied() {
            if at > now {
                return;
            }
            let length = self.withdraw(now, ticket).unwrap_or(WorkLength::Short);
            self.push_rejection(now, length, ticket, RejectReason::WontMeetTarget);
        }
    }

    fn rejection(&mut self, now: Micros, length: WorkLength, reason: RejectReason) -> Rejection {
        let rate = self.lane(length).drain_rate(now, self.slots(length));
        Rejection { reason, retry_after: self.returns.book(now, rate) }
    }

    pub(super) fn turn_away(
        &mut self,
        now: Micros,
        length: WorkLength,
        reason: RejectReason,
    ) -> Decision {
        Decision::Reject(self.rejection(now, length, reason))
    }

    fn push_rejection(
        &mut self,
        now: Micros,
        length: WorkLength,
        ticket: Ticket,
        reason: RejectReason,
    ) {
        let rejection = self.rejection(now, length, reason);
        self.pending.push(Step::Reject(ticket, rejection));
    }
}
