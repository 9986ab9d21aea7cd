//! The platform's lists of entry instances and backend servers.

use super::configuration::is_watcher;
use super::plane::ControlPlane;
use galenapath_membership::{Member, MemberStatus};
use galenapath_platform::{
    Announcement, DOMAIN_META, ListedInstance, Listing, Platform, STARTED_META, STATE_META,
    StoreIndex,
};
use galenapath_protocol::{DomainId, FastMap, Incarnation, InstanceId, Micros};
use std::rc::Rc;
use std::time::Duration;

/// Name under which the platform lists entry instances.
const ENTRY_LIST: &str = "entry";

/// Name under which the platform lists backend servers.
const BACKEND_LIST: &str = "backend";

/// Metadata key of an entry instance's incarnation.
const INCARNATION_META: &str = "incarnation";

/// Metadata key of an entry instance's address for peers.
const PEERS_META: &str = "peers";

/// Longest wait of a watch. A waiting watch counts as a call, so longer waits cost less.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Time between two looks at whether it is this instance's turn to watch.
const REVIEW_PAUSE: Duration = Duration::from_secs(1);

/// Time between the first two reads of an instance that does not watch. It doubles with each read:
/// where many instances start at once, the first lists lack most of them.
const FIRST_READ_PERIOD: Micros = Micros::from_secs(2);

/// Longest time that an instance which does not watch goes without a read of its own.
const LAST_READ_PERIOD: Micros = Micros::from_secs(300);

/// Pause after a failed call, so that a store that is down is not hammered.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Least time between two reads of a list; bounds the calls when a list changes all the time.
const LEAST_PAUSE: Duration = Duration::from_millis(200);

/// Puts the instance on the platform's list, trying until that succeeds.
pub(super) async fn announce(plane: Rc<ControlPlane>) {
    let announcement = announcement(&plane, "live");
    loop {
        let result = plane.platform.announce(&announcement).await;
        plane.count_call("announce", &result);
        if result.is_ok() || plane.shared.is_leaving() {
            return;
        }
        monoio::time::sleep(FAILURE_PAUSE).await;
    }
}

/// Marks the instance as leaving on the platform's list.
pub(super) async fn announce_leaving(plane: &ControlPlane) {
    let result = plane.platform.announce(&announcement(plane, "leaving")).await;
    plane.count_call("announce", &result);
}

/// Takes the instance off the platform's list.
pub(super) async fn withdraw(plane: &ControlPlane) {
    let result = plane.platform.withdraw(&plane.shared.name().0).await;
    plane.count_call("withdraw", &result);
}

fn announcement(plane: &ControlPlane, state: &str) -> Announcement {
    let mut meta: FastMap<String, String> = FastMap::default();
    let domain = &plane.shared.settings.instance.domain;
    let mut set = |key: &str, value: String| meta.insert(key.to_owned(), value);
    set(DOMAIN_META, domain.0.to_string());
    set(STATE_META, state.to_owned());
    set(STARTED_META, crate::clock::unix_millis().to_string());
    set(INCARNATION_META, plane.shared.incarnation.to_string());
    set(PEERS_META, plane.wiring.peer_address.to_string());
    Announcement {
        id: plane.shared.name().0.clone(),
        service: ENTRY_LIST.to_owned(),
        address: plane.shared.caller_address,
        meta,
    }
}

/// Follows the list of entry instances.
pub(super) async fn follow_entries(plane: Rc<ControlPlane>) {
    follow(plane, ENTRY_LIST, |plane, listing| {
        let news: Vec<Member> = listing.instances.iter().filter_map(to_member).collect();
        plane.members.borrow_mut().learn(plane.now(), &news);
        plane.publish_members();
    })
    .await;
}

/// Follows the list of backend servers.
pub(super) async fn follow_backends(plane: Rc<ControlPlane>) {
    follow(plane, BACKEND_LIST, |plane, listing| {
        let position = listing.position.0;
        let list = listing.instances.into_iter().map(|b| (b.id.clone(), b)).collect();
        plane.backends.borrow_mut().apply_list(position, list);
        plane.publish_fleet();
    })
    .await;
}

/// Reads a list at the start, then watches it where this instance is one of the few that do. The
/// others learn from their peers, and read ever more seldom, in case that every watcher is cut off.
async fn follow(plane: Rc<ControlPlane>, name: &str, take: impl Fn(&ControlPlane, Listing)) {
    let mut after: Option<StoreIndex> = None;
    let mut next_read = Micros::ZERO;
    let mut period = FIRST_READ_PERIOD;
    loop {
        if !is_watcher(&plane) {
            if plane.now() < next_read {
                monoio::time::sleep(REVIEW_PAUSE).await;
                continue;
            }
            after = None;
        }
        let result = plane.platform.list(name, after, WATCH_WAIT).await;
        plane.count_call("list", &result);
        let Ok(listing) = result else {
            monoio::time::sleep(FAILURE_PAUSE).await;
            continue;
        };
        next_read = plane.now() + period;
        period = Micros(period.0 * 2).min(LAST_READ_PERIOD);
        let position = listing.position;
        if after != Some(position) {
            take(&plane, listing);
        }
        after = Some(position);
        monoio::time::sleep(LEAST_PAUSE).await;
    }
}

fn to_member(listed: &ListedInstance) -> Option<Member> {
    let incarnation: Incarnation = listed.meta.get(INCARNATION_META)?.parse().ok()?;
    let status = if listed.leaving() { MemberStatus::Leaving } else { MemberStatus::Live };
    Some(Member {
        id: InstanceId(listed.id.clone()),
        incarnation,
        domain: DomainId(listed.domain().unwrap_or_default().into()),
        caller_address: listed.address,
        peer_address: listed.meta.get(PEERS_META)?.parse().ok()?,
        status_version: 0,
        status,
    })
}
