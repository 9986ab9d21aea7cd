//! Metrics of an instance in the Prometheus format.

use galenapath_protocol::Verdict;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency histogram buckets in seconds. They are finest around the latency
/// target of 1.5 ms.
const LATENCY_BUCKETS: &[f64] = &[
    0.000_25, 0.000_5, 0.001, 0.001_5, 0.002, 0.003, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0,
    2.5, 10.0,
];

/// All metrics of an instance. Updating them is cheap from any thread.
pub struct Metrics {
    registry: Registry,
    /// Answers sent to callers, by class and verdict.
    pub answers: IntCounterVec,
    /// Rejected requests, by class and reason.
    pub rejections: IntCounterVec,
    /// Time from receiving the head of a request to sending the head of its answer, by class, in
    /// seconds.
    pub latency: HistogramVec,
    /// Time that a request waited for admission, in seconds.
    pub wait: Histogram,
    /// Attempts to run requests on backend servers, by outcome.
    pub attempts: IntCounterVec,
    /// Retries sent.
    pub retries: IntCounter,
    /// Hedged requests sent.
    pub hedges: IntCounter,
    /// Load probes sent.
    pub probes: IntCounter,
    /// Losses of backend servers that were recorded as crashes; several for one crash under several
    /// requests.
    pub crashes: IntCounter,
    /// Faults, by kind.
    pub faults: IntCounterVec,
    /// Filings, by decision.
    pub filings: IntCounterVec,
    /// Calls to the platform, by kind and result.
    pub platform_calls: IntCounterVec,
    /// Messages sent to and received from peers, by direction.
    pub peer_messages: IntCounterVec,
    /// Open connections from callers.
    pub caller_connections: IntGauge,
    /// Open requests, by what they wait for.
    pub open_requests: IntGaugeVec,
    /// Open connections to backend servers.
    pub backend_connections: IntGauge,
    /// Version of the configuration that is in force.
    pub config_version: IntGauge,
    /// Number of usable entry instances, including this one.
    pub members: IntGauge,
    /// Number of filing records in memory.
    pub filing_records: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// If two metrics have the same name, which is a mistake in this file.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let r = &registry;
        Ok(Self {
            answers: counters(r, "answers_total", "Answers to callers", &["class", "verdict"])?,
            rejections: counters(r, "rejections_total", "Turned away", &["class", "reason"])?,
            latency: latencies(r, "latency_seconds", "Head in to answer head out", &["class"])?,
            wait: histogram(r, "wait_seconds", "Wait for admission")?,
            attempts: counters(r, "attempts_total", "Attempts at backend servers", &["outcome"])?,
            retries: counter(r, "retries_total", "Retries sent")?,
            hedges: counter(r, "hedges_total", "Second copies sent")?,
            probes: counter(r, "probes_total", "Load probes sent")?,
            crashes: counter(r, "crashes_total", "Losses of backend servers recorded as crashes")?,
            faults: counters(r, "faults_total", "Faults seen", &["kind"])?,
            filings: counters(r, "filings_total", "Filings by decision", &["decision"])?,
            platform_calls: counters(
                r,
                "platform_calls_total",
                "Calls on the platform",
                &["call", "result"],
            )?,
            peer_messages: counters(r, "peer_messages_total", "Peer messages", &["direction"])?,
            caller_connections: gauge(r, "caller_connections", "Connections from callers")?,
            open_requests: gauges(r, "open_requests", "Open requests", "phase")?,
            backend_connections: gauge(r, "backend_connections", "Connections to backends")?,
            config_version: gauge(r, "config_version", "Configuration in force")?,
            members: gauge(r, "members", "Usable entry instances")?,
            filing_records: gauge(r, "filing_records", "Records of filings held")?,
            registry,
        })
    }

    /// Counts an answer to a caller.
    pub fn count_answer(&self, class: &str, verdict: Verdict) {
        self.answers.with_label_values(&[class, verdict.as_str()]).inc();
    }

    /// Counts a fault.
    pub fn count_fault(&self, kind: &str) {
        self.faults.with_label_values(&[kind]).inc();
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut out = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            log::error!(error:% = e; "cannot encode metrics");
        }
        out
    }
}

fn full_name(suffix: &str) -> String {
    format!("galenapath_{suffix}")
}

fn counter(r: &Registry, suffix: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    let metric = IntCounter::new(full_name(suffix), help)?;
    r.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn counters(
    r: &Registry,
    suffix: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    let metric = IntCounterVec::new(Opts::new(full_name(suffix), help), labels)?;
    r.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauge(r: &Registry, suffix: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let metric = IntGauge::new(full_name(suffix), help)?;
    r.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauges(
    r: &Registry,
    suffix: &str,
    help: &str,
    label: &str,
) -> Result<IntGaugeVec, prometheus::Error> {
    let metric = IntGaugeVec::new(Opts::new(full_name(suffix), help), &[label])?;
    r.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn latency_opts(suffix: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(full_name(suffix), help).buckets(LATENCY_BUCKETS.to_vec())
}

fn histogram(r: &Registry, suffix: &str, help: &str) -> Result<Histogram, prometheus::Error> {
    let metric = Histogram::with_opts(latency_opts(suffix, help))?;
    r.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn latencies(
    r: &Registry,
    suffix: &str,
    help: &str,
    labels: &[&str],
) -> Result<HistogramVec, prometheus::Error> {
    let metric = HistogramVec::new(latency_opts(suffix, help), labels)?;
    r.register(Box::new(metric.clone()))?;
    Ok(metric)
}
