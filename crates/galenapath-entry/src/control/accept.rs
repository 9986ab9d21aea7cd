//! Accepting an operator's change: carries out what `galenapath_config::Acceptance` asks for.

use super::configuration::{read_snapshot, settle};
use super::plane::ControlPlane;
use crate::clock::unix_millis;
use bytes::Bytes;
use galenapath_config::{
    Acceptance, Action, AuditPage, ChangeRequest, Config, Event, HEAD_KEY, Head, HeadIndex,
    Outcome, TailLimits, decode_head, encode_head, encode_page, encode_snapshot, page_key,
    snapshot_key,
};
use galenapath_platform::{Expected, Platform, PlatformError, StoreIndex, Swap};
use galenapath_protocol::Verdict;
use std::time::{Duration, Instant};

/// Longest time for one change. Two calls take milliseconds; a store that takes this long is
/// as good as down, and the operator is told rather than kept waiting.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts `req` or says why not. The configuration in force includes an accepted change.
pub(super) async fn accept(plane: &ControlPlane, req: ChangeRequest) -> Outcome {
    let known = plane.replica.borrow().clone();
    let mut acceptance = Acceptance::new(req, known, unix_millis(), TailLimits::DEFAULT);
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    let mut action = Action::ReadHead;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if let Action::Answer(outcome) = action {
            if let Outcome::Accepted { chain, .. } = &outcome {
                let head = chain.head().clone();
                let applied = plane.replica.borrow_mut().apply_from(chain.config(), head);
                settle(plane, &applied);
            }
            return outcome;
        }
        let event = monoio::time::timeout(left, carry_out(plane, action)).await;
        action = acceptance.step(event.unwrap_or(Event::TimedOut));
    }
}

async fn carry_out(plane: &ControlPlane, action: Action) -> Event {
    match action {
        Action::ReadHead => read_head(plane).await,
        Action::ReadSnapshot(version) => match read_snapshot(plane, version).await {
            Some(config) => Event::Snapshot(config),
            None => Event::Failed(Verdict::NotRun),
        },
        Action::WriteCompaction { snapshot, page } => write_cut(plane, &snapshot, &page).await,
        Action::Swap { expected, head } => swap(plane, expected, &head).await,
        Action::Answer(_) => Event::TimedOut,
    }
}

async fn read_head(plane: &ControlPlane) -> Event {
    let result = plane.platform.read(HEAD_KEY).await;
    plane.count_call("read", &result);
    let Ok(read) = result else { return Event::Failed(Verdict::NotRun) };
    let Some(entry) = read.entry else {
        return Event::Head { index: HeadIndex(0), head: Head::default() };
    };
    match decode_head(&entry.value) {
        Ok(head) => Event::Head { index: HeadIndex(entry.index.0), head },
        Err(e) => {
            log::error!(error:% = e; "the configuration in the store cannot be read");
            Event::Failed(Verdict::NotRun)
        }
    }
}

/// Writes snapshot and page. Where they are there already they are the same: both follow from the
/// chain alone.
async fn write_cut(plane: &ControlPlane, snapshot: &Config, page: &AuditPage) -> Event {
    let snapshot_at = snapshot_key(snapshot.version());
    let page_at = page_key(page.last_version());
    let values = [(snapshot_at, encode_snapshot(snapshot)), (page_at, encode_page(page))];
    for (key, value) in values {
        let Ok(value) = value else { return Event::Failed(Verdict::NotRun) };
        if let Err(e) = put(plane, &key, Expected::Absent, value).await {
            return Event::Failed(e.verdict);
        }
    }
    Event::CompactionWritten
}

async fn swap(plane: &ControlPlane, expected: HeadIndex, head: &Head) -> Event {
    let expected = match expected {
        HeadIndex(0) => Expected::Absent,
        HeadIndex(index) => Expected::At(StoreIndex(index)),
    };
    let Ok(value) = encode_head(head) else { return Event::Failed(Verdict::NotRun) };
    match put(plane, HEAD_KEY, expected, value).await {
        Ok(Swap::Done) => Event::Swapped,
        Ok(Swap::Conflict) => Event::SwapConflict,
        Err(e) => Event::Failed(e.verdict),
    }
}

async fn put(
    plane: &ControlPlane,
    key: &str,
    expected: Expected,
    value: Vec<u8>,
) -> Result<Swap, PlatformError> {
    let result = plane.platform.swap(key, expected, Bytes::from(value)).await;
    plane.count_call("swap", &result);
    result
}
