//! What an instance knows of its paths to one server.

use super::config::ReachConfig;
use super::proof::NoAnswer;
use galenapath_protocol::{Incarnation, Micros};

/// An exchange with a server: a load query or a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exchange {
    /// When it began.
    pub started_at: Micros,
    /// Whether a connection was opened for it.
    pub is_new_connection: bool,
}

/// State of an instance's paths to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathState {
    /// There was no exchange lately.
    Unknown,
    /// The server answers.
    Open,
    /// The server answers on open connections, but new ones fail. Other instances open some.
    Closing,
    /// The server does not answer, and no other instance is known to reach it.
    Silent,
    /// The server does not answer, and other instances reach it.
    CutOff,
}

/// Failures in a row.
#[derive(Clone, Copy, Debug, Default)]
struct Failures {
    count: u32,
    /// Start of the first of them.
    since: Micros,
}

impl Failures {
    fn add(&mut self, started_at: Micros) {
        if self.count == 0 {
            self.since = started_at;
        }
        self.count += 1;
        self.since = self.since.min(started_at);
    }

    /// Start of the first of at least `limit` failures.
    fn since_if_at_least(&self, limit: u32) -> Option<Micros> {
        (self.count >= limit).then_some(self.since)
    }
}

/// The paths to one server.
#[derive(Clone, Debug, Default)]
pub(super) struct Contact {
    /// When the server last answered.
    answered_at: Option<Micros>,
    /// When it last answered on a new connection.
    connected_at: Option<Micros>,
    /// Start of the first exchange since the last answer that takes longer than usual.
    waiting_since: Option<Micros>,
    /// Exchanges without an answer since the last one.
    unanswered: Failures,
    /// New connections without an answer since the last one that had one.
    unconnected: Failures,
    /// How the last new connection failed.
    unconnected_by: Option<NoAnswer>,
    /// When another instance last reached the server on a new connection.
    others_connected_at: Option<Micros>,
    /// Instances that were asked last and do not reach the server.
    denied_by: Vec<Incarnation>,
    /// Whether one of those ever asked did not, and none has reached the server since.
    is_denied: bool,
    /// Questions to other instances since the server last answered.
    pub(super) questions: usize,
    pub(super) asked_at: Micros,
    /// Checks since the server last answered.
    pub(super) checks: usize,
    pub(super) checked_at: Micros,
    pub(super) is_being_checked: bool,
    /// Whether a check is wanted although nothing failed.
    pub(super) is_check_requested: bool,
}

impl Contact {
    pub(super) fn record_answer(&mut self, now: Micros, exchange: Exchange) {
        self.answered_at = Some(now);
        self.waiting_since = None;
        self.is_denied = false;
        self.unanswered = Failures::default();
        if exchange.is_new_connection {
            self.connected_at = Some(now);
            self.unconnected = Failures::default();
        }
        if self.unconnected.count == 0 {
            self.questions = 0;
            self.checks = 0;
        }
    }

    /// Records an exchange without an answer. It proves nothing if the server has answered another
    /// one since it began.
    pub(super) fn record_failure(&mut self, exchange: Exchange) {
        self.record_overdue(exchange.started_at);
        let is_after = |at: Option<Micros>| at.is_none_or(|at| exchange.started_at >= at);
        if is_after(self.answered_at) {
            self.unanswered.add(exchange.started_at);
        }
        if exchange.is_new_connection && is_after(self.connected_at) {
            self.unconnected.add(exchange.started_at);
        }
    }

    /// Records how the last new connection failed.
    pub(super) fn record_how(&mut self, how: NoAnswer) {
        self.unconnected_by = Some(how);
    }

    /// How the last new connection that failed did so.
    pub(super) fn how(&self) -> NoAnswer {
        self.unconnected_by.unwrap_or(NoAnswer::Lost)
    }

    /// Records that an exchange takes longer than usual.
    pub(super) fn record_overdue(&mut self, started_at: Micros) {
        if self.answered_at.is_none_or(|at| started_at >= at) {
            self.waiting_since.get_or_insert(started_at);
        }
    }

    /// Start of the first exchange since the last answer that takes longer than usual.
    pub(super) fn waiting_since(&self) -> Option<Micros> {
        self.waiting_since
    }

    /// Start of the first exchange or new connection without an answer since the last one.
    pub(super) fn lost_since(&self) -> Option<Micros> {
        let failures = [self.unanswered, self.unconnected].map(|f| f.since_if_at_least(1));
        failures.into_iter().chain([self.waiting_since]).flatten().min()
    }

    pub(super) fn record_reached_by_other(&mut self, at: Micros) {
        self.is_denied = false;
        self.others_connected_at = self.others_connected_at.max(Some(at));
    }

    pub(super) fn record_unreached_by_other(&mut self, by: Incarnation) {
        self.is_denied = true;
        if !self.denied_by.contains(&by) {
            self.denied_by.push(by);
        }
    }

    pub(super) fn begin_question(&mut self, now: Micros) {
        self.questions += 1;
        self.asked_at = now;
        self.denied_by.clear();
    }

    pub(super) fn is_reached_by_others_since(&self, since: Micros) -> bool {
        self.others_connected_at.is_some_and(|at| at >= since)
    }

    pub(super) fn denials(&self) -> usize {
        self.denied_by.len()
    }

    pub(super) fn is_denied(&self) -> bool {
        self.is_denied
    }

    pub(super) fn answered_at(&self) -> Option<Micros> {
        self.answered_at
    }

    pub(super) fn connected_at(&self) -> Option<Micros> {
        self.connected_at
    }

    /// Whether the last exchange failed.
    pub(super) fn is_failing(&self) -> bool {
        self.unanswered.count > 0 || self.unconnected.count > 0
    }

    /// When the first of the exchanges began that have failed since the server last answered.
    pub(super) fn unanswered_since(&self) -> Option<Micros> {
        self.unanswered.since_if_at_least(1)
    }

    /// Whether so many exchanges in a row failed that the server counts as not answering.
    pub(super) fn is_silent(&self, cfg: &ReachConfig) -> bool {
        self.unanswered.count >= cfg.silent_after
    }

    /// Whether so many new connections in a row failed that no more requests should need one.
    pub(super) fn is_unconnectable(&self, cfg: &ReachConfig) -> bool {
        self.unconnected.count >= cfg.silent_after
    }

    pub(super) fn state(&self, now: Micros, cfg: &ReachConfig) -> PathState {
        let is_reached_by_others = |since: Micros| {
            self.others_connected_at.is_some_and(|at| at > since && now - at < cfg.evidence_ttl)
        };
        if let Some(since) = self.unanswered.since_if_at_least(cfg.silent_after) {
            return if is_reached_by_others(since) { PathState::CutOff } else { PathState::Silent };
        }
        if let Some(since) = self.unconnected.since_if_at_least(cfg.silent_after)
            && is_reached_by_others(since)
        {
            return PathState::Closing;
        }
        match self.answered_at {
            Some(at) if now - at < cfg.retention => PathState::Open,
            _ => PathState::Unknown,
        }
    }
}
