//! Metrics of an instance, in the Prometheus format.

use crate::open::metrics::OpenMetrics;
use prometheus::{
    Encoder, Gauge, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency histograms in seconds, spread around typical route targets.
const LATENCY_BUCKETS: &[f64] =
    &[0.01, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.7, 1.0, 1.5, 2.5, 5.0];

/// All metrics of an instance.
pub(crate) struct Metrics {
    registry: Registry,
    /// Answers to callers, by route kind and outcome.
    pub answers: IntCounterVec,
    /// Time from the request head to the answer, by route kind and service, in seconds.
    pub latency: HistogramVec,
    /// Time that requests waited for a server, by route kind and service, in seconds.
    pub wait: HistogramVec,
    /// Time that backend servers took to answer, by route kind and service, in seconds.
    pub work: HistogramVec,
    /// Seconds since the store last answered an instance that follows it.
    pub store_age: Gauge,
    /// How often this instance followed the store because no other did.
    pub store_takeovers: IntCounter,
    /// Longest time since a heartbeat of a monitored instance that is believed to be up, in
    /// seconds.
    pub peer_silence: Gauge,
    /// Mean age of the load observations of the servers, by service, in seconds.
    pub load_age: GaugeVec,
    /// Requests sent to backend servers, by outcome.
    pub sends: IntCounterVec,
    /// Requests forwarded to other instances, by outcome.
    pub forwards: IntCounterVec,
    /// Whether this instance has lost its paths to most servers of a service that others reach.
    pub cut_off: IntGauge,
    /// Hedged requests sent.
    pub hedges: IntCounter,
    /// Requests whose connection broke, by whether the server was alive afterwards.
    pub lost_requests: IntCounterVec,
    /// Requests known to crash backend servers, or not told apart from one that does.
    pub rejected_requests: IntGauge,
    /// Requests that backend servers may be running and nobody waits for.
    pub abandoned_requests: IntGauge,
    /// Connections opened to backend servers, by purpose.
    pub connects: IntCounterVec,
    /// Bytes sent and received, by flow and by whether the other end is in this instance's failure
    /// domain.
    pub bytes: IntCounterVec,
    /// Load probes, by result.
    pub probes: IntCounterVec,
    /// Calls to the platform's store, by call and result.
    pub store_calls: IntCounterVec,
    /// Entries under the servers' key prefix that cannot be parsed as a server.
    pub unreadable_entries: IntCounter,
    /// Requests of workspaces with a quota, by whether they were granted, refused, or granted and
    /// returned because they did not run.
    pub quota: IntCounterVec,
    /// Workspaces of whose quota little is left.
    pub contended_quotas: IntGauge,
    /// Configurations that could not be read at all.
    pub rejected_configs: IntCounter,
    /// Entries of the configuration in force that cannot be used as written.
    pub config_problems: IntGauge,
    /// Log lines dropped because the line budget was used up.
    pub dropped_log_lines: IntCounter,
    /// Open connections from callers.
    pub callers: IntGauge,
    /// Requests that are open, and those that were cut.
    pub open: OpenMetrics,
    /// Requests waiting for a server.
    pub waiting: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Store revision of the list of backend servers.
    pub position: IntGauge,
    /// Epoch of the store that the list is of.
    pub store_epoch: IntGauge,
    /// Backend servers listed.
    pub servers: IntGauge,
    /// Backend servers that did not answer this instance's last exchanges with them.
    pub silent_servers: IntGauge,
    /// Evacuated failure domains, whose backend servers get no requests.
    pub evacuated_domains: IntGauge,
    /// Backend servers assumed to be cold.
    pub cold_servers: IntGauge,
    /// Backend servers that stated a rate limit.
    pub limited_servers: IntGauge,
    /// Listed backend servers that are leaving.
    pub leaving_servers: IntGauge,
    /// Backend servers that asked for no requests until a later time.
    pub paused_servers: IntGauge,
    /// Other instances that are up.
    pub peers: IntGauge,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// If two metrics have the same name, which is a bug in this file.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let r = Registry::new_custom(Some("galenapath".into()), None)?;
        Ok(Self {
            answers: counters(&r, "answers_total", "Answers to callers", &["kind", "outcome"])?,
            latency: latencies(&r, "latency_seconds", "Head in to answer out")?,
            wait: latencies(&r, "wait_seconds", "Wait for a server")?,
            work: latencies(&r, "work_seconds", "Time of backend servers")?,
            store_age: age(&r, "store_age_seconds", "Since the store answered")?,
            store_takeovers: counter(
                &r,
                "store_takeovers_total",
                "Takeovers of the store's watch",
            )?,
            peer_silence: age(&r, "peer_silence_seconds", "Longest silence of an instance")?,
            load_age: ages(&r, "load_age_seconds", "Mean age of the servers' loads")?,
            sends: counters(&r, "sends_total", "Sends to backend servers", &["outcome"])?,
            forwards: counters(&r, "forwards_total", "Requests forwarded", &["outcome"])?,
            cut_off: gauge(&r, "cut_off", "Paths lost to servers that other instances reach")?,
            hedges: counter(&r, "copies_total", "Second copies sent")?,
            lost_requests: counters(
                &r,
                "lost_requests_total",
                "Requests whose connection broke, by the server's state afterwards",
                &["server"],
            )?,
            rejected_requests: gauge(
                &r,
                "rejected_requests",
                "Requests known to crash backend servers",
            )?,
            abandoned_requests: gauge(
                &r,
                "abandoned_requests",
                "Requests that servers may be running and nobody waits for",
            )?,
            connects: counters(&r, "connects_total", "Connections to backend servers", &["for"])?,
            bytes: counters(&r, "bytes_total", "Bytes by flow", &["flow", "domain"])?,
            probes: counters(&r, "probes_total", "Load probes", &["result"])?,
            store_calls: counters(&r, "store_calls_total", "Store calls", &["call", "result"])?,
            unreadable_entries: counter(
                &r,
                "unreadable_entries_total",
                "Entries that name no server",
            )?,
            quota: counters(&r, "quota_total", "Requests charged to quotas", &["result"])?,
            contended_quotas: gauge(&r, "contended_quotas", "Workspaces with little quota left")?,
            rejected_configs: counter(
                &r,
                "rejected_configs_total",
                "Configurations that cannot be read",
            )?,
            config_problems: gauge(
                &r,
                "config_problems",
                "Entries of the configuration that cannot be used as written",
            )?,
            dropped_log_lines: counter(&r, "log_left_out_total", "Log lines left out")?,
            callers: gauge(&r, "caller_connections", "Open connections from callers")?,
            open: OpenMetrics::register(&r)?,
            waiting: gauge(&r, "waiting", "Requests that wait for a server")?,
            config_version: gauge(&r, "config_version", "Configuration in force")?,
            position: gauge(&r, "list_position", "Position of the list of backend servers")?,
            store_epoch: gauge(&r, "store_epoch", "Returns of the store from a backup")?,
            servers: gauge(&r, "servers", "Backend servers listed")?,
            silent_servers: gauge(
                &r,
                "silent_servers",
                "Backend servers that do not answer this instance",
            )?,
            evacuated_domains: gauge(&r, "evacuated_domains", "Failure domains evacuated")?,
            cold_servers: gauge(&r, "cold_servers", "Backend servers taken to be cold")?,
            limited_servers: gauge(&r, "limited_servers", "Backend servers with a rate limit")?,
            leaving_servers: gauge(&r, "leaving_servers", "Backend servers that leave")?,
            paused_servers: gauge(&r, "paused_servers", "Backend servers that want nothing now")?,
            peers: gauge(&r, "peers", "Other instances that answer")?,
            registry: r,
        })
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn page(&self) -> Vec<u8> {
        let mut out = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            log::warn!(error:% = e; "failed to encode the metrics");
        }
        out
    }
}

fn counter(r: &Registry, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    let metric = IntCounter::new(name, help)?;
    r.register(Box::new(metric.clone()))?;
    Ok(metric)
}

pub(crate) fn counters(
    r: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
    r.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn gauge(r: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let metric = IntGauge::new(name, help)?;
    r.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn age(r: &Registry, name: &str, help: &str) -> Result<Gauge, prometheus::Error> {
    let metric = Gauge::new(name, help)?;
    r.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn ages(r: &Registry, name: &str, help: &str) -> Result<GaugeVec, prometheus::Error> {
    let metric = GaugeVec::new(Opts::new(name, help), &["service"])?;
    r.register(Box::new(metric.clone()))?;
    Ok(metric)
}

fn latencies(r: &Registry, name: &str, help: &str) -> Result<HistogramVec, prometheus::Error> {
    let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    let metric = HistogramVec::new(opts, &["kind", "service"])?;
    r.register(Box::new(metric.clone()))?;
    Ok(metric)
}
