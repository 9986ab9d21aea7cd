//! Other instances that reach the servers of a service which this one does not reach, and when they are
//! asked.

use super::contact::Contact;
use super::contacts::Contacts;
use galenapath_protocol::{BackendId, FastSet, Incarnation, Micros};

/// Another instance that has reached servers which this one does not reach.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Helper {
    /// When it last reached one.
    pub(super) reached_at: Micros,
    /// Number of its reports that it reached one, and that it did not.
    reached: u32,
    unreached: u32,
    /// Requests in a row that it rejected since it last reached one.
    rejections: u32,
}

impl Helper {
    /// Part of the servers asked about that it reached.
    fn part(&self) -> f64 {
        f64::from(self.reached) / f64::from((self.reached + self.unreached).max(1))
    }
}

impl Contacts {
    /// Records that the instance `by` reached the server at `at` on a new connection.
    pub fn record_reached_by(&mut self, by: Incarnation, id: &BackendId, at: Micros) {
        let Some(contact) = self.contacts.get_mut(id) else { return };
        contact.record_reached_by_other(at);
        // What it reached before this instance lost the server says nothing.
        if contact.lost_since().is_some_and(|since| at > since) {
            let helper = self.helpers.entry(by).or_default();
            helper.reached_at = at.max(helper.reached_at);
            helper.reached += 1;
            helper.rejections = 0;
        }
    }

    /// Records that the instance `by` does not reach the server. If it `has_paths` to others, the
    /// server has failed as far as it knows.
    pub fn record_unreached_by(&mut self, by: Incarnation, id: &BackendId, has_paths: bool) {
        if let Some(helper) = self.helpers.get_mut(&by) {
            helper.unreached += 1;
        }
        if let Some(contact) = self.contacts.get_mut(id).filter(|_| has_paths) {
            contact.record_unreached_by_other(by);
        }
    }

    /// Whether another instance has reached the server since `since`.
    pub fn is_reached_by_others_since(&self, id: &BackendId, since: Micros) -> bool {
        self.contacts.get(id).is_some_and(|contact| contact.is_reached_by_others_since(since))
    }

    /// Whether other instances were asked about the server since `since`.
    pub fn is_asked_since(&self, id: &BackendId, since: Micros) -> bool {
        self.contacts.get(id).is_some_and(|c| c.questions > 0 && c.asked_at >= since)
    }

    /// Number of other instances that do not reach the server, of those last asked.
    pub fn denials(&self, id: &BackendId) -> usize {
        self.contacts.get(id).map_or(0, Contact::denials)
    }

    /// Applies which other instances can be asked. Once one has come or gone while few of them are known
    /// to reach the servers, the question is due at once: the last of these may be about to stop.
    pub fn set_askable(&mut self, now: Micros, askable: &FastSet<Incarnation>) {
        if self.askable == *askable {
            return;
        }
        self.askable.clone_from(askable);
        let known = self.helpers(now).filter(|(id, _)| askable.contains(id)).count();
        if known < self.cfg.enough_helpers {
            self.contacts.values_mut().for_each(|contact| contact.questions = 0);
        }
    }

    /// Up to `limit` servers that do not answer and about which the other instances are to be asked
    /// now.
    pub fn begin_questions(&mut self, now: Micros, limit: usize) -> Vec<BackendId> {
        let cfg = &self.cfg;
        let delays = cfg.question_delays;
        let is_stalled = self.is_stalled();
        let is_due = |contact: &Contact| {
            let delay = delays[contact.questions.min(delays.len() - 1)];
            let is_waiting = is_stalled && contact.waiting_since().is_some();
            (is_waiting || contact.is_silent(cfg) || contact.is_unconnectable(cfg))
                && (contact.questions == 0 || now >= contact.asked_at + delay)
        };
        let mut due: Vec<_> = self.contacts.iter_mut().filter(|(_, c)| is_due(c)).collect();
        // Those asked about longest ago go first, so that all of many get their turn.
        due.sort_by_key(|(_, contact)| contact.asked_at);
        due.truncate(limit);
        if !due.is_empty() {
            self.unhelped_rounds =
                if self.helpers.is_empty() { self.unhelped_rounds + 1 } else { 0 };
        }
        let begin = |(id, contact): (&BackendId, &mut Contact)| {
            contact.begin_question(now);
            id.clone()
        };
        due.into_iter().map(begin).collect()
    }

    /// Whether those asked so far do not reach the service either, so that more are to be asked.
    pub fn is_unhelped(&self) -> bool {
        self.unhelped_rounds > 1 && self.helpers.is_empty()
    }

    /// Records that the other instances are asked about a server now.
    pub fn begin_question(&mut self, now: Micros, id: &BackendId) {
        self.contact_mut(id).begin_question(now);
    }

    /// Other instances that have lately reached servers of the service which this one does not
    /// reach, and which part of them, from 0 to 1.
    pub fn helpers(&self, now: Micros) -> impl Iterator<Item = (Incarnation, f64)> {
        let ttl = self.cfg.evidence_ttl;
        let limit = self.cfg.max_rejections;
        let is_usable =
            move |helper: &Helper| now - helper.reached_at < ttl && helper.rejections < limit;
        let recent = self.helpers.iter().filter(move |(_, helper)| is_usable(helper));
        recent.map(|(id, helper)| (*id, helper.part()))
    }

    /// Records that an instance which has reached servers rejected a request, or served it.
    pub fn record_help(&mut self, id: Incarnation, is_served: bool) {
        if let Some(helper) = self.helpers.get_mut(&id) {
            helper.rejections = if is_served { 0 } else { helper.rejections + 1 };
        }
    }

    /// Forgets that an instance has reached servers, because it turned out not to.
    pub fn remove_helper(&mut self, id: Incarnation) {
        self.helpers.remove(&id);
    }
}
