//! What the threads of an instance share.

use crate::clock::Clock;
use crate::fleet::Fleet;
use crate::metrics::Metrics;
use arc_swap::ArcSwap;
use galenapath_config::Config;
use galenapath_filings::{ClaimId, ClaimResult, SuspectReport};
use galenapath_membership::{LeavingMark, Member};
use galenapath_protocol::{Incarnation, InstanceId, Micros};
use galenapath_settings::Settings;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};

/// Usable entry instances at some moment.
#[derive(Clone, Debug, Default)]
pub struct MemberView {
    /// Counts up with each change.
    pub version: u64,
    /// Usable members, this instance included unless it is leaving.
    pub usable: Vec<Member>,
    /// Every known member, also those that are leaving or gone.
    pub known: Vec<Member>,
}

impl MemberView {
    /// The usable member with `incarnation`, or one that is leaving and still answers.
    pub fn reachable(&self, incarnation: Incarnation) -> Option<&Member> {
        use galenapath_membership::MemberStatus::Gone;
        self.known.iter().find(|m| m.incarnation == incarnation && m.status != Gone)
    }
}

/// State that the data thread, the control thread and the metrics endpoint read. Views are
/// replaced whole by the control thread, never changed in place.
pub struct Shared {
    /// Settings of the instance.
    pub settings: Settings,
    /// This run of it.
    pub incarnation: Incarnation,
    /// Address that callers reach.
    pub callers: SocketAddr,
    /// Its clock.
    pub clock: Clock,
    /// Its metrics.
    pub metrics: Metrics,
    /// Configuration in force.
    pub config: ArcSwap<Config>,
    /// Backend servers.
    pub fleet: ArcSwap<Fleet>,
    /// Entry instances.
    pub members: ArcSwap<MemberView>,
    ready: AtomicBool,
    /// How far a planned stop has come; only ever goes up.
    stage: AtomicU8,
}

impl Shared {
    /// The state at the start: nothing known yet.
    pub fn new(
        settings: Settings,
        incarnation: Incarnation,
        callers: SocketAddr,
        metrics: Metrics,
    ) -> Arc<Self> {
        Arc::new(Self {
            settings,
            incarnation,
            callers,
            clock: Clock::start(),
            metrics,
            config: ArcSwap::default(),
            fleet: ArcSwap::default(),
            members: ArcSwap::default(),
            ready: AtomicBool::new(false),
            stage: AtomicU8::new(Stage::Serving as u8),
        })
    }

    /// Name of the instance.
    pub fn name(&self) -> &InstanceId {
        &self.settings.instance.name
    }

    /// Whether the instance knows the configuration and the backend servers.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.is_leaving()
    }

    /// Notes that the instance knows enough to serve.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Whether a planned stop has begun: connections are closed after their next answer.
    pub fn is_leaving(&self) -> bool {
        self.stage.load(Ordering::Acquire) >= Stage::Leaving as u8
    }

    /// Whether a planned stop has come to where no new filings are taken.
    pub fn is_draining(&self) -> bool {
        self.stage.load(Ordering::Acquire) >= Stage::Draining as u8
    }

    /// Notes how far a planned stop has come.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
    }
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No stop has begun.
    Serving,
    /// The instance has left the address answers and still takes requests, since callers keep the
    /// answers that they have for a while.
    Leaving,
    /// Requests in progress end; no new filings are taken.
    Draining,
}

/// What the data thread tells or asks the control thread.
pub enum ControlEvent {
    /// A backend server said that it is leaving.
    Leaving(LeavingMark),
    /// A backend server seems to have crashed.
    Crash(CrashNote),
    /// A caller's own key has to be claimed in the store.
    Claim(ClaimRequest),
}

/// A crash that the data thread saw.
pub struct CrashNote {
    /// What is known of suspects after it.
    pub facts: Vec<SuspectReport>,
    /// Gets a message when every peer that answers has heard.
    pub told: flume::Sender<()>,
}

/// A claim of a caller's own key.
pub struct ClaimRequest {
    /// Key in the store.
    pub path: String,
    /// Number of the claim within this incarnation.
    pub claim: ClaimId,
    /// Least time for which the claim has to stand.
    pub lease: Micros,
    /// Longest time for which one lease may be used for new claims.
    pub lease_use: Micros,
    /// Where the store's word goes.
    pub reply: flume::Sender<ClaimResult>,
}
