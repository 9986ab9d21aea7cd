//! The state of the control side.

use super::peer_versions::PeerVersion;
use super::store_use::StoreUse;
use crate::data::DataCommand;
use crate::shared::{ControlEvent, Shared};
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

/// Channels between the control thread and the others.
pub struct Wiring {
    /// Events from the data thread.
    pub events: Receiver<ControlEvent>,
    /// Commands to the data thread.
    pub commands: Sender<DataCommand>,
    /// Calls to peers.
    pub calls: Sender<PeerCall>,
    /// Calls from peers.
    pub requests: Receiver<PeerRequest>,
    /// A message for each signal to stop.
    pub stops: Receiver<()>,
    /// Address that peers reach.
    pub peer_address: SocketAddr,
    /// The operators' token.
    pub token: String,
}

/// Everything that the tasks of the control thread share.
pub struct ControlPlane {
    /// State shared with the other threads.
    pub shared: Arc<Shared>,
    /// Channels to the other threads.
    pub wiring: Wiring,
    /// The platform.
    pub platform: ConsulPlatform,
    /// The configuration as this instance knows it.
    pub replica: RefCell<Replica>,
    /// Versions of the configuration that peers last told.
    pub(super) peer_versions: RefCell<FastMap<Incarnation, PeerVersion>>,
    /// How the store was used.
    pub(super) store_use: StoreUse,
    /// Entry instances.
    pub(super) members: RefCell<GossipMembership>,
    /// Backend servers that are leaving.
    pub(super) marks: RefCell<LeavingMarks>,
    /// Requests suspected of crashing backend servers, as told by the data thread and peers.
    pub(super) suspects: RefCell<Suspects>,
    /// Backend servers as last listed.
    pub(super) backends: RefCell<TrackedList<ListedInstance>>,
    /// Whether a peer is being asked for its list of backend servers.
    pub(super) is_pulling: Cell<bool>,
}

impl ControlPlane {
    /// The state at the start: the instance knows only itself.
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
            store_use: StoreUse::default(),
            members: RefCell::new(members),
            marks: RefCell::default(),
            suspects: RefCell::default(),
            backends: RefCell::default(),
            is_pulling: Cell::new(false),
        });
        plane.publish_members();
        plane
    }

    /// Time now.
    pub fn now(&self) -> Micros {
        self.shared.clock.now()
    }

    /// Counts a call on the platform and logs its failure.
    pub(super) fn count_call<T>(
        &self,
        call: &str,
        result: &Result<T, galenapath_platform::PlatformError>,
    ) {
        self.store_use.count(call, result.is_ok());
        let label = if result.is_ok() { "ok" } else { "failed" };
        self.shared.metrics.platform_calls.with_label_values(&[call, label]).inc();
        if let Err(e) = result {
            log::warn!(call, error:% = e; "the platform did not answer");
        }
    }
}
