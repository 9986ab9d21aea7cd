//! Registers this instance on the platform's list of entry instances, and follows that list and the
//! list of backend servers.

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

/// Metadata key of the address on which peers reach an entry instance.
const PEERS_META: &str = "peers";

/// Maximum time that the store may hold a watch call open. Each watch call counts as one read
/// however long it waits, so a longer wait causes fewer reads.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which an instance that is not a watcher checks whether it has become one.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time between the first two reads of an instance that is not a watcher. The time doubles with
/// each read. The first reads must be close together because, when many instances start at the same
/// time, the first lists do not contain most of them.
const INITIAL_READ_PERIOD: Micros = Micros::from_secs(2);

/// Maximum time between two reads of an instance that is not a watcher.
const MAX_READ_PERIOD: Micros = Micros::from_secs(300);

/// Delay after a failed call, to limit the load on a store that is unavailable.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Minimum time between two reads of a list. It limits the calls when a list changes continuously.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(200);

/// Registers this instance on the platform's list. Retries until that succeeds or the instance is
/// leaving.
pub(super) async fn announce(plane: Rc<ControlPlane>) {
    let announcement = announcement(&plane, "live");
    loop {
        let result = plane.platform.announce(&announcement).await;
        plane.count_call("announce", &result);
        if result.is_ok() || plane.shared.is_leaving() {
            return;
        }
        monoio::time::sleep(RETRY_DELAY).await;
    }
}

/// Marks this instance as leaving on the platform's list.
pub(super) async fn announce_leaving(plane: &ControlPlane) {
    let result = plane.platform.announce(&announcement(plane, "leaving")).await;
    plane.count_call("announce", &result);
}

/// Removes this instance from the platform's list.
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
    follow(plane, ENTRY_LIST, |plane, listing, _| {
        let members: Vec<Member> = listing.instances.iter().filter_map(to_member).collect();
        plane.members.borrow_mut().learn(plane.now(), &members);
        plane.publish_members();
    })
    .await;
}

/// Follows the list of backend servers.
pub(super) async fn follow_backends(plane: Rc<ControlPlane>) {
    follow(plane, BACKEND_LIST, |plane, listing, asked_at| {
        let position = listing.position.0;
        let list = listing.instances.into_iter().map(|b| (b.id.clone(), b)).collect();
        plane.backends.borrow_mut().apply_answer(asked_at, position, list);
        plane.publish_fleet();
    })
    .await;
}

/// Follows a list: reads it at the start, then watches it if this instance is a watcher. Other
/// instances learn changes from their peers. They also read the list themselves at increasing
/// intervals, in case all watchers are cut off.
///
/// `apply` also gets the position that the list of backend servers had when the call was sent.
async fn follow(plane: Rc<ControlPlane>, name: &str, apply: impl Fn(&ControlPlane, Listing, u64)) {
    let mut after: Option<StoreIndex> = None;
    let mut next_read = Micros::ZERO;
    let mut period = INITIAL_READ_PERIOD;
    loop {
        if !is_watcher(&plane) {
            if plane.now() < next_read {
                monoio::time::sleep(ROLE_CHECK_INTERVAL).await;
                continue;
            }
            after = None;
        }
        let asked_at = plane.backends.borrow().position();
        let result = plane.platform.list(name, after, WATCH_TIMEOUT).await;
        plane.count_call("list", &result);
        let Ok(listing) = result else {
            monoio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        next_read = plane.now() + period;
        period = Micros(period.0 * 2).min(MAX_READ_PERIOD);
        let position = listing.position;
        if after != Some(position) {
            if listing.skipped > 0 {
                plane.shared.metrics.count_fault("unreadable_entry");
                log::warn!(list = name, entries = listing.skipped; "entries of the list skipped");
            }
            apply(&plane, listing, asked_at);
        }
        after = Some(position);
        monoio::time::sleep(MIN_READ_INTERVAL).await;
    }
}

fn to_member(listed: &ListedInstance) -> Option<Member> {
    let incarnation: Incarnation = listed.meta.get(INCARNATION_META)?.parse().ok()?;
    let status = if listed.is_leaving() { MemberStatus::Leaving } else { MemberStatus::Live };
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
