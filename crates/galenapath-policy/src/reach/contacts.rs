//! What an instance knows of its paths to the servers of one service.

use super::config::ReachConfig;
use super::contact::{Contact, Exchange, PathState};
use super::summary::PathSummary;
use galenapath_protocol::{BackendId, FastMap, Incarnation, Micros};

/// The paths of one instance to the servers of one service, and which other instances reach them.
///
/// It holds only servers that there was an exchange with, or that are to be checked.
#[derive(Debug, Default)]
pub struct Contacts {
    cfg: ReachConfig,
    contacts: FastMap<BackendId, Contact>,
    /// Other instances that have reached a server of the service which this one does not reach, and
    /// when.
    helpers: FastMap<Incarnation, Micros>,
}

impl Contacts {
    /// Creates an empty set of contacts.
    pub fn new(cfg: ReachConfig) -> Self {
        Self { cfg, ..Self::default() }
    }

    /// Drops the servers that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&BackendId) -> bool) {
        self.contacts.retain(|id, _| is_listed(id));
    }

    /// Records that the server answered.
    pub fn record_answer(&mut self, now: Micros, id: &BackendId, exchange: Exchange) {
        self.contact_mut(id).record_answer(now, exchange);
    }

    /// Records that the server did not answer, or that no connection could be opened.
    pub fn record_failure(&mut self, id: &BackendId, exchange: Exchange) {
        self.contact_mut(id).record_failure(exchange);
    }

    /// Records that the instance `by` reached the server at `at` on a new connection.
    pub fn record_reached_by(&mut self, by: Incarnation, id: &BackendId, at: Micros) {
        let Some(contact) = self.contacts.get_mut(id) else { return };
        contact.record_reached_by_other(at);
        if contact.is_silent(&self.cfg) || contact.is_unconnectable(&self.cfg) {
            let reached_at = self.helpers.entry(by).or_default();
            *reached_at = at.max(*reached_at);
        }
    }

    /// State of the paths to a server.
    pub fn state(&self, now: Micros, id: &BackendId) -> PathState {
        self.contacts.get(id).map_or(PathState::Unknown, |contact| contact.state(now, &self.cfg))
    }

    /// Whether the server counts as not answering this instance.
    pub fn is_silent(&self, id: &BackendId) -> bool {
        self.contacts.get(id).is_some_and(|contact| contact.is_silent(&self.cfg))
    }

    /// Whether new connections to the server fail.
    pub fn is_unconnectable(&self, id: &BackendId) -> bool {
        self.contacts.get(id).is_some_and(|contact| contact.is_unconnectable(&self.cfg))
    }

    /// When the server last answered on a new connection.
    pub fn connected_at(&self, id: &BackendId) -> Option<Micros> {
        self.contacts.get(id)?.connected_at()
    }

    /// Whether a server has answered since `since`.
    pub fn has_answer_since(&self, since: Micros) -> bool {
        self.contacts.values().any(|contact| contact.answered_at().is_some_and(|at| at >= since))
    }

    /// Number of servers that have not answered an exchange which began at `since` or later, and of
    /// those that have answered since then.
    pub fn unanswered_and_answered(&self, since: Micros) -> (usize, usize) {
        let is_recent = |at: Option<Micros>| at.is_some_and(|at| at >= since);
        let all = || self.contacts.values();
        let unanswered = all().filter(|contact| is_recent(contact.unanswered_since()));
        let answered =
            all().filter(|c| c.unanswered_since().is_none() && is_recent(c.answered_at()));
        (unanswered.count(), answered.count())
    }

    /// Whether an exchange with some server failed, or a check is wanted, so that there is
    /// something to do.
    pub fn needs_attention(&self) -> bool {
        self.contacts.values().any(|contact| contact.is_failing() || contact.is_check_requested)
    }

    /// Number of servers in each state.
    pub fn summary(&self, now: Micros) -> PathSummary {
        let states = self.contacts.values().map(|contact| contact.state(now, &self.cfg));
        states.fold(PathSummary::default(), PathSummary::with)
    }

    /// Requests a check of a server although no exchange with it failed.
    pub fn request_check(&mut self, id: &BackendId) {
        self.contact_mut(id).is_check_requested = true;
    }

    /// Up to `limit` servers that are to be checked now; each counts as being checked until
    /// [`Self::end_check`].
    pub fn begin_checks(&mut self, now: Micros, limit: usize) -> Vec<BackendId> {
        let delays = self.cfg.check_delays;
        let is_due = |contact: &Contact| {
            let delay = delays[contact.checks.min(delays.len() - 1)];
            let is_wanted = contact.is_check_requested
                || contact.is_failing() && now >= contact.checked_at + delay;
            is_wanted && !contact.is_being_checked
        };
        let due = self.contacts.iter_mut().filter(|(_, contact)| is_due(contact)).take(limit);
        due.map(|(id, contact)| {
            contact.checks += 1;
            contact.checked_at = now;
            contact.is_being_checked = true;
            contact.is_check_requested = false;
            id.clone()
        })
        .collect()
    }

    /// Ends a check, whatever its result.
    pub fn end_check(&mut self, id: &BackendId) {
        if let Some(contact) = self.contacts.get_mut(id) {
            contact.is_being_checked = false;
        }
    }

    /// Up to `limit` servers that do not answer and about which the other instances are to be asked
    /// now.
    pub fn begin_questions(&mut self, now: Micros, limit: usize) -> Vec<BackendId> {
        let cfg = &self.cfg;
        let delays = cfg.question_delays;
        let is_due = |contact: &Contact| {
            let delay = delays[contact.questions.min(delays.len() - 1)];
            (contact.is_silent(cfg) || contact.is_unconnectable(cfg))
                && (contact.questions == 0 || now >= contact.asked_at + delay)
        };
        let mut due: Vec<_> = self.contacts.iter_mut().filter(|(_, c)| is_due(c)).collect();
        // Those asked about longest ago go first, so that all of many get their turn.
        due.sort_by_key(|(_, contact)| (contact.questions > 0, contact.asked_at));
        due.into_iter()
            .take(limit)
            .map(|(id, contact)| {
                contact.questions += 1;
                contact.asked_at = now;
                id.clone()
            })
            .collect()
    }

    /// Other instances that have lately reached a server of the service which this one does not
    /// reach.
    pub fn helpers(&self, now: Micros) -> impl Iterator<Item = Incarnation> {
        let ttl = self.cfg.evidence_ttl;
        let recent = self.helpers.iter().filter(move |(_, at)| now - **at < ttl);
        recent.map(|(id, _)| *id)
    }

    /// Forgets that an instance has reached servers, because it turned out not to.
    pub fn remove_helper(&mut self, id: Incarnation) {
        self.helpers.remove(&id);
    }

    /// Forgets what has expired.
    pub fn prune(&mut self, now: Micros) {
        let cfg = &self.cfg;
        self.helpers.retain(|_, at| now - *at < cfg.evidence_ttl);
        self.contacts.retain(|_, contact| {
            contact.is_failing()
                || contact.is_check_requested
                || contact.is_being_checked
                || contact.answered_at().is_some_and(|at| now - at < cfg.retention)
        });
    }

    fn contact_mut(&mut self, id: &BackendId) -> &mut Contact {
        if !self.contacts.contains_key(id) {
            self.contacts.insert(id.clone(), Contact::default());
        }
        self.contacts.entry(id.clone()).or_default()
    }
}
