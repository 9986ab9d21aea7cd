//! Network usage of an instance by purpose, apart from the callers' own bytes.
//!
//! Traffic between failure domains is billed, and the traffic between instances grows with the
//! fleet and can go unnoticed. Each flow is counted by whether it leaves this instance's failure
//! domain, so that one page of metrics, or the last usage line of each log, shows the cause of a
//! bill.

use crate::instance::{Instance, sleep};
use crate::metrics::Metrics;
use galenapath_protocol::Micros;
use std::cell::Cell;
use std::rc::Rc;

/// Time between two log lines.
const LOG_PERIOD: Micros = Micros::from_secs(10);

/// Purposes of connections to backend servers.
const CONNECTS: [&str; 5] = ["request", "question", "probe", "crash", "check"];

/// Calls to the store.
const STORE_CALLS: [&str; 5] = ["get", "range", "watch", "ping", "put"];

/// Size of the headers of a datagram over IPv4.
const DATAGRAM_HEADERS: usize = 28;

/// Purpose of traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flow {
    /// Heartbeats.
    Heartbeat,
    /// Membership of the fleet.
    Members,
    /// Load observations and failures of backend servers.
    Loads,
    /// Requests charged to the quotas of workspaces.
    Quotas,
    /// The configuration and the list of backend servers, between instances.
    State,
    /// Load queries to backend servers.
    Query,
    /// Requests to backend servers and their answers.
    Request,
    /// Requests forwarded to other instances and their answers.
    Forward,
}

impl Flow {
    const ALL: [Self; 8] = [
        Self::Heartbeat,
        Self::Members,
        Self::Loads,
        Self::Quotas,
        Self::State,
        Self::Query,
        Self::Request,
        Self::Forward,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::Members => "members",
            Self::Loads => "loads",
            Self::Quotas => "quotas",
            Self::State => "state",
            Self::Query => "question",
            Self::Request => "request",
            Self::Forward => "forward",
        }
    }
}

/// Bytes by flow, inside this instance's failure domain (local) and to or from others (remote).
#[derive(Default)]
pub(crate) struct Usage {
    local: [Cell<u64>; Flow::ALL.len()],
    remote: [Cell<u64>; Flow::ALL.len()],
}

impl Usage {
    /// Counts `bytes` of `flow`.
    pub(crate) fn count(&self, flow: Flow, is_local: bool, bytes: u64) {
        let side = if is_local { &self.local } else { &self.remote };
        let cell = &side[flow as usize];
        cell.set(cell.get() + bytes);
    }

    /// Counts a datagram with `len` bytes of content.
    pub(crate) fn count_datagram(&self, flow: Flow, is_local: bool, len: usize) {
        self.count(flow, is_local, (len + DATAGRAM_HEADERS) as u64);
    }

    /// Updates the metrics.
    pub(crate) fn publish(&self, metrics: &Metrics) {
        for flow in Flow::ALL {
            for (domain, side) in [("own", &self.local), ("other", &self.remote)] {
                let metric = metrics.bytes.with_label_values(&[flow.as_str(), domain]);
                metric.inc_by(side[flow as usize].get() - metric.get());
            }
        }
    }

    fn line(&self) -> String {
        let of = |flow: Flow| {
            let (local, remote) =
                (self.local[flow as usize].get(), self.remote[flow as usize].get());
            format!("{}:{local}:{remote}", flow.as_str())
        };
        Flow::ALL.map(of).join(" ")
    }
}

/// Logs the totals periodically for as long as the instance runs.
pub(crate) async fn run(instance: Rc<Instance>) {
    loop {
        sleep(LOG_PERIOD).await;
        log_totals(&instance);
    }
}

/// Logs the totals in one line: for each flow the bytes inside this instance's failure domain and
/// to or from others, connections opened to backend servers by purpose, and calls to the store.
pub(crate) fn log_totals(instance: &Instance) {
    let bytes = instance.usage.line();
    let metrics = &instance.metrics;
    let connects =
        counts(&CONNECTS, |purpose| metrics.connects.with_label_values(&[purpose]).get());
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
