//! State of the control thread.

use super::peer_versions::PeerVersion;
use super::store_usage::StoreUsage;
use crate::data::DataCommand;
use crate::shared::{ControlEvent, Shared};
use crate::signals::StopSignals;
use flume::{Receiver, Sender};
use galenapath_config::Replica;
use galenapath_filings::Suspects;
use galenapath_membership::{
    GossipConfig, GossipMembership, LeavingMarks, Member, MemberStatus, TrackedList,
};
use galenapath_peers::{PeerCall, PeerRequest};
use galenapath_platform::{ConsulPlatform, ListedInstance};
use galenapath_protocol::{FastMap, Incarnation, Micros};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// Channels between the control thread and the other threads, and what it needs from the start.
pub struct Wiring {
    /// Events from the data thread.
    pub events: Receiver<ControlEvent>,
    /// Commands to the data thread.
    pub commands: Sender<DataCommand>,
    /// Calls to peers.
    pub calls: Sender<PeerCall>,
    /// Calls from peers.
    pub requests: Receiver<PeerRequest>,
    /// Stop signals that the process has received.
    pub stops: StopSignals,
    /// Address on which peers reach this instance.
    pub peer_address: SocketAddr,
    /// The operators' token.
    pub token: String,
}

/// State shared by the tasks of the control thread.
pub struct ControlPlane {
    /// State shared with the other threads.
    pub shared: Arc<Shared>,
    /// Channels to the other threads, and values from the start.
    pub wiring: Wiring,
    /// Client of the platform.
    pub platform: ConsulPlatform,
    /// Replica of the configuration on this instance.
    pub replica: RefCell<Replica>,
    /// Versions of the configuration that the peers last reported.
    pub(super) peer_versions: RefCell<FastMap<Incarnation, PeerVersion>>,
    /// Statistics of the calls to the store.
    pub(super) store_usage: StoreUsage,
    /// Known entry instances.
    pub(super) members: RefCell<GossipMembership>,
    /// Backend servers that are leaving.
    pub(super) marks: RefCell<LeavingMarks>,
    /// Requests suspected of crashing backend servers, as reported by the data thread and by peers.
    pub(super) suspects: RefCell<Suspects>,
    /// Backend servers as last listed.
    pub(super) backends: RefCell<TrackedList<ListedInstance>>,
    /// Whether changes of the list of backend servers are being fetched from a peer.
    pub(super) is_fetching_backends: Cell<bool>,
    /// Number of operators' requests in progress.
    operator_requests: Cell<usize>,
}

impl ControlPlane {
    /// Creates the initial state, in which this instance is the only known one.
    pub fn new(shared: Arc<Shared>, wiring: Wiring) -> Rc<Self> {
        let settings = &shared.settings;
        let own = Member {
            id: settings.instance.name.clone(),
            incarnation: shared.incarnation,
            domain: settings.instance.domain.clone(),
            caller_address: shared.caller_address,
            peer_address: wiring.peer_address,
            status_version: 0,
            status: MemberStatus::Live,
        };
        let members = GossipMembership::new(GossipConfig::default(), shared.clock.now(), own);
        let platform = ConsulPlatform::new(settings.platform.address, settings.platform.timeout);
        let plane = Rc::new(Self {
            shared,
            wiring,
            platform,
            replica: RefCell::default(),
            peer_versions: RefCell::default(),
            store_usage: StoreUsage::default(),
            members: RefCell::new(members),
            marks: RefCell::default(),
            suspects: RefCell::default(),
            backends: RefCell::default(),
            is_fetching_backends: Cell::new(false),
            operator_requests: Cell::new(0),
        });
        plane.publish_members();
        plane
    }

    /// Returns the current time of the instance's clock.
    pub fn now(&self) -> Micros {
        self.shared.clock.now()
    }

    /// Counts an operator's request as in progress until the guard is dropped.
    pub(super) fn begin_operator_request(self: &Rc<Self>) -> OperatorRequest {
        self.operator_requests.set(self.operator_requests.get() + 1);
        OperatorRequest(Rc::clone(self))
    }

    /// Returns whether an operator's request is in progress.
    pub(super) const fn has_operator_requests(&self) -> bool {
        self.operator_requests.get() > 0
    }

    /// Counts a call to the platform, and logs its error if it failed.
    pub(super) fn count_call<T>(
        &self,
        call: &str,
        result: &Result<T, galenapath_platform::PlatformError>,
    ) {
        self.store_usage.count(call, result.is_ok());
        let label = if result.is_ok() { "ok" } else { "failed" };
        self.shared.metrics.platform_calls.with_label_values(&[call, label]).inc();
        if let Err(e) = result {
            log::warn!(call, error:% = e; "call to the platform failed");
        }
    }
}

/// Guard of an operator's request in progress.
pub(super) struct OperatorRequest(Rc<ControlPlane>);

impl Drop for OperatorRequest {
    fn drop(&mut self) {
        self.0.operator_requests.set(self.0.operator_requests.get() - 1);
    }
}
