//! What the log says about a planned stop: its signals, what is open when it begins and ends, and
//! each request that the end of the process cuts.

use crate::call::Hop;
use crate::instance::Instance;
use crate::logging::id_text;
use crate::open::OpenRequestInfo;
use crate::stop::StopSignal;
use galenapath_protocol::Micros;

/// Requests named in the log when the process ends with more of them open: the log keeps some
/// hundred lines for a reader that has stalled.
const MAX_NAMED: usize = 32;

/// What ended the wait for open requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitEnd {
    /// Nothing that the stop waits for is open.
    NothingOpen,
    /// The grace period is over.
    GraceOver,
}

impl WaitEnd {
    const fn as_str(self) -> &'static str {
        match self {
            Self::NothingOpen => "nothing_open",
            Self::GraceOver => "grace_over",
        }
    }
}

/// Logs that a stop begins. The signal may have arrived up to `unseen` ago.
pub(crate) fn log_begin(instance: &Instance, signal: StopSignal, unseen: Micros) {
    let open = instance.open.counts();
    log::info!(
        signal = signal.as_str(),
        unseen_ms = unseen.0 / 1_000,
        in_progress = open.unanswered(),
        open:%,
        connections = instance.metrics.callers.get();
        "stop begins"
    );
}

/// Logs another stop signal; it changes nothing.
pub(crate) fn log_repeated(signal: StopSignal, since: Micros) {
    let (signal, since_ms) = (signal.as_str(), since.0 / 1_000);
    log::warn!(signal, since_ms; "another stop signal");
}

/// Logs that no more connections from callers are accepted.
pub(crate) fn log_listener_closed(instance: &Instance) {
    let open = instance.open.counts();
    let connections = instance.metrics.callers.get();
    log::info!(open:%, connections; "listener closed");
}

/// How a stop went.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopSummary {
    /// Time since the stop began.
    pub(crate) took: Micros,
    pub(crate) wait_end: WaitEnd,
    /// Longest time by which a look at what is open was late.
    pub(crate) longest_late: Micros,
}

/// Counts and names the requests that the end of the process cuts, and logs that it ends.
pub(crate) fn log_end(instance: &Instance, summary: StopSummary) {
    let open = instance.open.counts();
    instance.metrics.open.count_cut(open);
    let named = instance.open.oldest(MAX_NAMED);
    let unnamed = (open.total() as usize).saturating_sub(named.len());
    named.iter().for_each(|info| log_cut(instance, info));
    log::info!(
        took_ms = summary.took.0 / 1_000,
        wait_end = summary.wait_end.as_str(),
        in_progress = open.unanswered(),
        open:%,
        unnamed,
        connections = instance.metrics.callers.get(),
        longest_late_ms = summary.longest_late.0 / 1_000;
        "stopped"
    );
}

fn log_cut(instance: &Instance, info: &OpenRequestInfo) {
    log::warn!(
        request = id_text(info.id.as_ref()),
        phase = info.phase.as_str(),
        age_ms = (instance.now() - info.since).0 / 1_000,
        route = info.route.as_ref().map_or("-", |route| route.name.as_str()),
        service = info.service.as_ref().map_or("-", |service| service.name.as_str()),
        server = info.hop.as_ref().map_or("-", Hop::name),
        verdict:% = info.verdict,
        steps = info.steps.as_str();
        "request cut by the end of the process"
    );
}
