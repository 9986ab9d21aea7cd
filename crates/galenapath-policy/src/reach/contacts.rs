//! What an instance knows of its paths to the servers of one service.

use super::config::ReachConfig;
use super::contact::{Contact, Exchange, PathState};
use super::helpers::Helper;
use super::proof::{FailedTry, NoAnswer};
use super::summary::PathSummary;
use galenapath_protocol::{BackendId, FastMap, FastSet, Incarnation, Micros};

/// The paths of one instance to the servers of one service, and which other instances reach them.
///
/// It holds only servers that there was an exchange with, or that are to be checked.
#[derive(Debug, Default)]
pub struct Contacts {
    pub(super) cfg: ReachConfig,
    pub(super) contacts: FastMap<BackendId, Contact>,
    /// Other instances that have reached servers of the service which this one does not reach.
    pub(super) helpers: FastMap<Incarnation, Helper>,
    /// Rounds of questions in a row at the time of which no helper was known.
    pub(super) unhelped_rounds: u32,
    /// Instances that could be asked when questions were last begun.
    pub(super) askable: FastSet<Incarnation>,
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

    /// Records how the last new connection to the server failed.
    pub fn record_how(&mut self, id: &BackendId, how: NoAnswer) {
        self.contact_mut(id).record_how(how);
    }

    /// Records that an exchange with the server, begun at `started_at`, takes longer than usual.
    pub fn record_overdue(&mut self, id: &BackendId, started_at: Micros) {
        self.contact_mut(id).record_overdue(started_at);
    }

    /// Number of servers that are known here.
    pub fn len(&self) -> usize {
        self.contacts.len()
    }

    /// Whether no server is known here.
    pub fn is_empty(&self) -> bool {
        self.contacts.is_empty()
    }

    /// Whether a server is known here.
    pub fn has(&self, id: &BackendId) -> bool {
        self.contacts.contains_key(id)
    }

    /// State of the paths to a server.
    pub fn state(&self, now: Micros, id: &BackendId) -> PathState {
        self.contacts.get(id).map_or(PathState::Unknown, |contact| contact.state(now, &self.cfg))
    }

    /// Whether the server keeps an exchange waiting.
    pub fn is_waiting(&self, id: &BackendId) -> bool {
        self.contacts.get(id).is_some_and(|contact| contact.waiting_since().is_some())
    }

    /// Whether the server counts as not answering this instance.
    pub fn is_silent(&self, id: &BackendId) -> bool {
        self.contacts.get(id).is_some_and(|contact| contact.is_silent(&self.cfg))
    }

    /// Whether new connections to the server fail.
    pub fn is_unconnectable(&self, id: &BackendId) -> bool {
        self.contacts.get(id).is_some_and(|contact| contact.is_unconnectable(&self.cfg))
    }

    /// Last check of a server that counts as not answering this instance, or not on new connections,
    /// if that began after `since`.
    pub fn failed_check_since(&self, id: &BackendId, since: Micros) -> Option<FailedTry> {
        let contact = self.contacts.get(id)?;
        let is_lost = contact.is_silent(&self.cfg) || contact.is_unconnectable(&self.cfg);
        let began = contact.checked_at;
        let failed = FailedTry { began, how: contact.how() };
        (is_lost && contact.checks > 0 && began > since).then_some(failed)
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
        let needs_attention = |contact: &Contact| {
            contact.is_failing() || contact.is_check_requested || contact.waiting_since().is_some()
        };
        self.contacts.values().any(needs_attention)
    }

    /// Number of servers in each state. If other instances reach some that do not answer this one,
    /// those that none was asked about or has denied count like them.
    pub fn summary(&self, now: Micros) -> PathSummary {
        let states = self.contacts.values().map(|contact| contact.state(now, &self.cfg));
        let known = states.fold(PathSummary::default(), PathSummary::with);
        if known.cut_off == 0 {
            return known;
        }
        let is_undenied = |contact: &&Contact| {
            contact.state(now, &self.cfg) == PathState::Silent && !contact.is_denied()
        };
        let undenied = self.contacts.values().filter(is_undenied).count();
        known.with_silent_cut_off(undenied)
    }

    /// Whether no server answers this instance, though some answer others. A service that has stalled
    /// suffices, long before each of its servers has been tried.
    pub fn is_nothing_reached(&self, now: Micros) -> bool {
        let is_reached_by_others = |contact: &Contact| {
            contact.waiting_since().is_some_and(|since| contact.is_reached_by_others_since(since))
        };
        self.summary(now).is_nothing_reached()
            || self.is_stalled() && self.contacts.values().any(is_reached_by_others)
    }

    /// Whether several servers keep exchanges waiting that have all begun after the last answer of
    /// any server.
    pub fn is_stalled(&self) -> bool {
        self.stalled_since().is_some()
    }

    /// Whether the service has stalled so lately that the other instances have not answered yet whether
    /// they reach its servers.
    pub fn is_verdict_due(&self, now: Micros) -> bool {
        self.stalled_since().is_some_and(|since| now - since < self.cfg.stall_verdict)
            && !self.is_nothing_reached(now)
    }

    /// Start of the first of the exchanges by which the service has stalled.
    fn stalled_since(&self) -> Option<Micros> {
        let answered_at = self.contacts.values().filter_map(Contact::answered_at).max();
        let is_waiting = |since: &Micros| answered_at.is_none_or(|at| *since >= at);
        let waiting =
            || self.contacts.values().filter_map(Contact::waiting_since).filter(is_waiting);
        let is_stalled = waiting().count() >= self.cfg.stalled_after.min(self.contacts.len());
        if is_stalled { waiting().min() } else { None }
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

    /// Forgets what has expired.
    pub fn prune(&mut self, now: Micros) {
        let cfg = &self.cfg;
        self.helpers.retain(|_, helper| now - helper.reached_at < cfg.evidence_ttl);
        self.contacts.retain(|_, contact| {
            contact.is_failing()
                || contact.is_check_requested
                || contact.is_being_checked
                || contact.answered_at().is_some_and(|at| now - at < cfg.retention)
        });
    }

    pub(super) fn contact_mut(&mut self, id: &BackendId) -> &mut Contact {
        if !self.contacts.contains_key(id) {
            self.contacts.insert(id.clone(), Contact::default());
        }
        self.contacts.entry(id.clone()).or_default()
    }
}
