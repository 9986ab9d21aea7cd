//! Which requests are rejected, and when.
//!
//! Load pattern: a lasting overload, a burst longer than the targets allow, or a few workspaces
//! with most of the load. A request is rejected on arrival if its predicted wait leaves too little
//! of its target or deadline, and later if the prediction was wrong. In an overload, requests of
//! workspaces over their share of the queue are rejected first.

use super::controller::Admission;
use super::decision::{Decision, QueuedDecision, RejectReason, Rejection};
use super::offer::{Offer, Ticket, WorkLength, WorkspaceIndex};
use galenapath_protocol::Micros;

impl Admission {
    /// Updates the overload state of the lane with the predicted wait of its queue.
    pub(super) fn observe_wait(&mut self, now: Micros, length: WorkLength) {
        let allowed = self.classes.longest_wait(length, self.cfg.min_wait_share);
        let limit = allowed.0 as f64 * self.cfg.overload_wait_share * self.cfg.prediction_margin;
        let lane = self.lane(length);
        let wait = lane.wait(now, lane.queue().len() + 1, self.slots(length));
        let is_above = !lane.queue().is_empty() && wait.0 as f64 > limit;
        let interval = self.cfg.overload_after;
        self.lane_mut(length).observe_wait(now, is_above, interval);
    }

    pub(super) fn reason_to_reject(
        &mut self,
        now: Micros,
        length: WorkLength,
        offer: &Offer,
    ) -> Option<RejectReason> {
        let workspace = self.queue_index(offer.workspace);
        let is_over_share = self.is_over_share(length, workspace);
        let is_full = self.lane(length).queue().len() >= self.cfg.max_waiting;
        if is_full && is_over_share {
            return Some(RejectReason::QueueFull);
        }
        if !self.cfg.early_rejection {
            return None;
        }
        let is_restricted = is_over_share && self.lane(length).is_overloaded();
        let share = if is_restricted { self.cfg.overload_wait_share } else { 1.0 };
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
        let is_over_others = is_over_share && lane.queue().active() > 1;
        Some(if is_over_others { RejectReason::OverShare } else { RejectReason::WontMeetTarget })
    }

    /// Returns whether the workspace, with one more request, would have at least as many queued
    /// requests as any other workspace, or already has at least an even share of the queued
    /// requests.
    ///
    /// The second condition does not apply to a workspace with a single queued request: in a short
    /// queue one request is an even share, even if another workspace has several.
    fn is_over_share(&self, length: WorkLength, workspace: WorkspaceIndex) -> bool {
        let queue = self.lane(length).queue();
        let own = queue.len_of(workspace);
        let max = queue.largest().map_or(0, |largest| queue.len_of(largest));
        own + 1 >= max || (own > 1 && own * queue.active() >= queue.len())
    }

    /// Rejects queued requests until the queue is within its bounds, each time the newest request
    /// of the workspace with the most queued requests.
    pub(super) fn trim_queue(&mut self, now: Micros, length: WorkLength) {
        while self.is_overfull(now, length) {
            let Some(workspace) = self.lane(length).queue().largest() else { return };
            let has_others = self.lane(length).queue().active() > 1;
            let Some(req) = self.lane_mut(length).remove_newest(now, workspace) else { return };
            let reason =
                if has_others { RejectReason::OverShare } else { RejectReason::WontMeetTarget };
            self.remove_entry(req.ticket);
            self.push_rejection(now, length, req.ticket, reason);
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

    /// Rejects the queued requests whose time to wait has expired.
    pub(super) fn expire(&mut self, now: Micros) {
        while let Some((at, ticket)) = self.expirations.first().copied() {
            if at > now {
                return;
            }
            let length = self.remove_queued(now, ticket).unwrap_or(WorkLength::Short);
            self.push_rejection(now, length, ticket, RejectReason::WontMeetTarget);
        }
    }

    fn rejection(&mut self, now: Micros, length: WorkLength, reason: RejectReason) -> Rejection {
        let rate = self.lane(length).drain_rate(now, self.slots(length));
        Rejection { reason, retry_after: self.retries.reserve(now, rate) }
    }

    pub(super) fn reject(
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
        self.pending.push(QueuedDecision::Reject(ticket, rejection));
    }
}
