//! State and messages shared by the threads of an instance.

use crate::clock::Clock;
use crate::fleet::Fleet;
use crate::metrics::Metrics;
use crate::signals::StopSignals;
use arc_swap::ArcSwap;
use galenapath_config::Config;
use galenapath_filings::{ClaimId, ClaimResult, Fingerprint, SuspectReport};
use galenapath_membership::{LeavingMark, Member};
use galenapath_policy::stop::StopSchedule;
use galenapath_protocol::{Incarnation, InstanceId, Micros};
use galenapath_settings::Settings;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, OnceLock};

/// Snapshot of the known entry instances.
#[derive(Clone, Debug, Default)]
pub struct MemberView {
    /// Incremented with each change.
    pub version: u64,
    /// Usable members, including this instance unless it is leaving.
    pub usable: Vec<Member>,
    /// All known members, including those that are leaving or gone.
    pub known: Vec<Member>,
}

impl MemberView {
    /// Returns the member with this incarnation unless it is gone. Members that are leaving still
    /// answer.
    pub fn find_reachable(&self, incarnation: Incarnation) -> Option<&Member> {
        use galenapath_membership::MemberStatus::Gone;
        self.known.iter().find(|m| m.incarnation == incarnation && m.status != Gone)
    }
}

/// State that the data thread, the control thread and the metrics endpoint read. The control thread
/// replaces `config`, `fleet` and `members` as a whole and never changes them in place.
pub struct Shared {
    /// Settings of this instance.
    pub settings: Settings,
    /// Incarnation of this instance.
    pub incarnation: Incarnation,
    /// Address on which callers reach this instance.
    pub caller_address: SocketAddr,
    /// Clock of this instance.
    pub clock: Clock,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Configuration that is in force.
    pub config: ArcSwap<Config>,
    /// Known backend servers.
    pub fleet: ArcSwap<Fleet>,
    /// Known entry instances.
    pub members: ArcSwap<MemberView>,
    /// Schedule of the planned stop that has begun.
    stop: OnceLock<StopSchedule>,
    stop_signals: StopSignals,
    ready: AtomicBool,
    /// Current `Stage` of a planned stop; never decreases.
    stage: AtomicU8,
}

impl Shared {
    /// Creates the initial state, without a configuration, backend servers or members.
    pub fn new(
        settings: Settings,
        incarnation: Incarnation,
        caller_address: SocketAddr,
        metrics: Metrics,
        stop_signals: StopSignals,
    ) -> Arc<Self> {
        Arc::new(Self {
            settings,
            incarnation,
            caller_address,
            clock: Clock::start(),
            metrics,
            config: ArcSwap::default(),
            fleet: ArcSwap::default(),
            members: ArcSwap::default(),
            stop: OnceLock::new(),
            stop_signals,
            ready: AtomicBool::new(false),
            stage: AtomicU8::new(Stage::Serving as u8),
        })
    }

    /// Returns the name of this instance.
    pub fn name(&self) -> &InstanceId {
        &self.settings.instance.name
    }

    /// Returns whether this instance knows the configuration and the backend servers, and is not
    /// leaving.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.is_leaving()
    }

    /// Marks this instance as knowing the configuration and the backend servers.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Begins a planned stop. Only the first call has an effect.
    pub fn begin_stop(&self, schedule: StopSchedule) {
        let _ = self.stop.set(schedule);
        self.set_stage(Stage::Leaving);
    }

    /// Returns the schedule of the planned stop, if one has begun.
    pub fn stop_schedule(&self) -> Option<StopSchedule> {
        self.stop.get().copied()
    }

    /// Returns whether a planned stop has begun. From then on, each connection is closed after its
    /// next answer.
    pub fn is_leaving(&self) -> bool {
        self.stage.load(Ordering::Acquire) >= Stage::Leaving as u8
    }

    /// Returns whether a planned stop has begun, or its signal has arrived.
    pub fn is_stop_signalled(&self) -> bool {
        self.stop_signals.has_arrived() || self.is_leaving()
    }

    /// Returns whether a planned stop has reached the stage in which new filings are rejected.
    pub fn is_draining(&self) -> bool {
        self.stage.load(Ordering::Acquire) >= Stage::Draining as u8
    }

    /// Advances the stage of a planned stop. An earlier stage than the current one has no effect.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
    }
}

/// Stage of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No stop has begun.
    Serving,
    /// Address answers no longer contain the instance. It still accepts requests, because callers
    /// keep address answers that they received earlier.
    Leaving,
    /// The instance waits for requests in progress to end, and rejects new filings.
    Draining,
}

/// An event that the data thread sends to the control thread.
pub enum ControlEvent {
    /// A backend server reported that it is leaving.
    Leaving(LeavingMark),
    /// A backend server seems to have crashed.
    Crash(CrashReport),
    /// A backend server has answered a crash suspect.
    SuspectAnswered(Fingerprint),
    /// A caller-chosen key must be claimed in the store.
    Claim(ClaimRequest),
}

/// A crash of a backend server that the data thread detected.
pub struct CrashReport {
    /// Crash suspects known to the data thread, including those of this crash.
    pub suspects: Vec<SuspectReport>,
    /// Receives a message once all reachable peers have acknowledged the crash.
    pub acknowledged: flume::Sender<()>,
}

/// A request to claim a caller-chosen key in the store.
pub struct ClaimRequest {
    /// Key in the store.
    pub key: String,
    /// Identifier of the claim, unique within this incarnation.
    pub claim: ClaimId,
    /// Minimum time for which the claim must remain in the store.
    pub lease: Micros,
    /// Maximum time for which one lease may be used for new claims.
    pub lease_max_use: Micros,
    /// Receives the result of the claim.
    pub reply: flume::Sender<ClaimResult>,
}
