//! What an instance sends and receives beside the callers' own bytes, by purpose.
//!
//! Bytes between failure domains are billed, and what instances tell each other grows with the fleet
//! before anybody notices. Each flow is counted by whether it leaves the own failure domain, so that one
//! page of metrics, or the last such line of each log, says where a bill comes from.

use crate::instance::{Instance, sleep};
use crate::metrics::Metrics;
use galenapath_protocol::Micros;
use std::cell::Cell;
use std::rc::Rc;

/// Time between two lines of the log.
const LINE_PERIOD: Micros = Micros::from_secs(10);

/// What connections to backend servers are opened for.
const CONNECTS: [&str; 3] = ["request", "question", "probe"];

/// Calls on the store.
const STORE_CALLS: [&str; 5] = ["get", "range", "watch", "ping", "put"];

/// Bytes of the headers of a datagram over IPv4.
const DATAGRAM_HEADERS: usize = 28;

/// What bytes are sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flow {
    /// Heartbeats.
    Heartbeat,
    /// Who is there.
    Members,
    /// What was seen of backend servers.
    Loads,
    /// The configuration and the list of backend servers, between instances.
    State,
    /// Questions to backend servers for their load.
    Question,
    /// Requests and answers.
    Request,
}

impl Flow {
    const ALL: [Self; 6] =
        [Self::Heartbeat, Self::Members, Self::Loads, Self::State, Self::Question, Self::Request];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::Members => "members",
            Self::Loads => "loads",
            Self::State => "state",
            Self::Question => "question",
            Self::Request => "request",
        }
    }
}

/// Bytes by flow, inside the own failure domain and beyond it.
#[derive(Default)]
pub(crate) struct Usage {
    home: [Cell<u64>; Flow::ALL.len()],
    away: [Cell<u64>; Flow::ALL.len()],
}

impl Usage {
    /// Counts `bytes` of `flow`.
    pub(crate) fn count(&self, flow: Flow, is_home: bool, bytes: u64) {
        let side = if is_home { &self.home } else { &self.away };
        let cell = &side[flow as usize];
        cell.set(cell.get() + bytes);
    }

    /// Counts a datagram with `len` bytes of content.
    pub(crate) fn count_datagram(&self, flow: Flow, is_home: bool, len: usize) {
        self.count(flow, is_home, (len + DATAGRAM_HEADERS) as u64);
    }

    /// Brings the metrics up to date.
    pub(crate) fn publish(&self, metrics: &Metrics) {
        for flow in Flow::ALL {
            for (place, side) in [("own", &self.home), ("other", &self.away)] {
                let metric = metrics.bytes.with_label_values(&[flow.as_str(), place]);
                metric.inc_by(side[flow as usize].get() - metric.get());
            }
        }
    }

    fn line(&self) -> String {
        let of = |flow: Flow| {
            let (home, away) = (self.home[flow as usize].get(), self.away[flow as usize].get());
            format!("{}:{home}:{away}", flow.as_str())
        };
        Flow::ALL.map(of).join(" ")
    }
}

/// Writes what was sent and received into the log, for as long as the instance runs.
pub(crate) async fn run(instance: Rc<Instance>) {
    loop {
        sleep(LINE_PERIOD).await;
        note(&instance);
    }
}

/// Writes one line: for each flow its bytes inside the own failure domain and beyond it, connections opened
/// to backend servers by what for, and calls on the store.
pub(crate) fn note(instance: &Instance) {
    let bytes = instance.usage.line();
    let metrics = &instance.metrics;
    let connects =
        counts(&CONNECTS, |what_for| metrics.connects.with_label_values(&[what_for]).get());
    let store_calls = counts(&STORE_CALLS, |call| {
        let of = |result| metrics.store_calls.with_label_values(&[call, result]).get();
        of("answered") + of("failed")
    });
    let requests = instance.requests();
    log::info!(bytes, connects, store_calls, requests; "usage so far");
}

fn counts(names: &[&str], count: impl Fn(&str) -> u64) -> String {
    let each: Vec<String> = names.iter().map(|name| format!("{name}:{}", count(name))).collect();
    each.join(" ")
}
