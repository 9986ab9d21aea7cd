//! Metrics of an instance, in the Prometheus format.

use galenapath_protocol::Verdict;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of the latency histograms in seconds: finest around the promised 1.5 ms.
const LATENCY_BUCKETS: &[f64] = &[
    0.000_25, 0.000_5, 0.001, 0.001_5, 0.002, 0.003, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0,
    2.5, 10.0,
];

/// All metrics of an instance. Each is cheap to touch from any thread.
pub struct Metrics {
    registry: Registry,
    /// Answers to callers, by class and verdict.
    pub answers: IntCounterVec,
    /// Requests turned away, by class and reason.
    pub rejections: IntCounterVec,
    /// Time from the head of a request to the head of its answer, by class, in seconds.
    pub latency: HistogramVec,
    /// Time that a request waited for admission, in seconds.
    pub wait: Histogram,
    /// Attempts at backend servers, by outcome.
    pub attempts: IntCounterVec,
    /// Retries sent.
    pub retries: IntCounter,
    /// Second copies sent.
    pub hedges: IntCounter,
    /// Probes sent to measure load.
    pub probes: IntCounter,
    /// Faults seen, by kind.
    pub faults: IntCounterVec,
    /// Filings by how they were decided.
    pub filings: IntCounterVec,
    /// Calls on the platform's key-value service, by kind and result.
    pub platform_calls: IntCounterVec,
    /// Messages to and from peers, by direction.
    pub peer_messages: IntCounterVec,
    /// Connections from callers.
    pub caller_connections: IntGauge,
    /// Connections to backend servers.
    pub backend_connections: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Usable entry instances, this one included.
    pub members: IntGauge,
    /// Records of filings held.
    pub filing_records: IntGauge,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// When two metrics have the same name, which is a fault in this file.
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
            backend_connections: gauge(r, "backend_connections", "Connections to backends")?,
            config_version: gauge(r, "config_version", "Configuration in force")?,
            members: gauge(r, "members", "Usable entry instances")?,
            filing_records: gauge(r, "filing_records", "Records of filings held")?,
            registry,
        })
    }

    /// Counts an answer to a caller.
    pub fn answered(&self, class: &str, verdict: Verdict) {
        self.answers.with_label_values(&[class, verdict.as_str()]).inc();
    }

    /// Counts a fault.
    pub fn fault(&self, kind: &str) {
        self.faults.with_label_values(&[kind]).inc();
    }

    /// The metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut out = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            log::error!(error:% = e; "metrics cannot be rendered");
        }
        out
    }
}

fn name(suffix: &str) -> String {
    format!("galenapath_{suffix}")
}

fn counter(r: &Registry, suffix: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    let metric = IntCounter::new(name(suffix), help)?;
    r.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn counters(
    r: &Registry,
    suffix: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    let metric = IntCounterVec::new(Opts::new(name(suffix), help), labels)?;
    r.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauge(r: &Registry, suffix: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let metric = IntGauge::new(name(suffix), help)?;
    r.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn latency_opts(suffix: &str, help: &str) -> HistogramOpts {
    HistogramOpts::new(name(suffix), help).buckets(LATENCY_BUCKETS.to_vec())
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
