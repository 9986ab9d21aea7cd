//! Accepts operators' changes by executing the actions of `galenapath_config::Acceptance`.

use super::configuration::{handle_apply_outcome, read_snapshot};
use super::plane::ControlPlane;
use crate::clock::unix_millis;
use bytes::Bytes;
use galenapath_config::{
    Acceptance, Action, AuditPage, ChangeRequest, Config, Event, HEAD_KEY, Head, HeadIndex,
    Outcome, TailLimits, decode_head, encode_head, encode_page, encode_snapshot, page_key,
    snapshot_key,
};
use galenapath_platform::{Expected, Platform, PlatformError, StoreIndex, SwapOutcome};
use galenapath_protocol::Verdict;
use std::time::{Duration, Instant};

/// Maximum time for one change. Its two store calls usually take milliseconds. A store that takes
/// longer than this is treated as unavailable, so that the operator receives an answer.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts the change, or returns the reason why not. An accepted change is in force when this
/// returns.
pub(super) async fn accept(plane: &ControlPlane, req: ChangeRequest) -> Outcome {
    let known = plane.replica.borrow().clone();
    let mut acceptance = Acceptance::new(req, known, unix_millis(), TailLimits::DEFAULT);
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    let mut action = Action::ReadHead;
    loop {
        let time_left = deadline.saturating_duration_since(Instant::now());
        if let Action::Answer(outcome) = action {
            if let Outcome::Accepted { chain, .. } = &outcome {
                let head = chain.head().clone();
                let applied = plane.replica.borrow_mut().apply_from(chain.config(), head);
                handle_apply_outcome(plane, &applied);
            }
            return outcome;
        }
        let event = monoio::time::timeout(time_left, execute(plane, action)).await;
        action = acceptance.step(event.unwrap_or(Event::TimedOut));
    }
}

async fn execute(plane: &ControlPlane, action: Action) -> Event {
    match action {
        Action::ReadHead => read_head(plane).await,
        Action::ReadSnapshot(version) => match read_snapshot(plane, version).await {
            Some(config) => Event::Snapshot(config),
            None => Event::Failed(Verdict::NotRun),
        },
        Action::WriteCompaction { snapshot, page } => {
            write_compaction(plane, &snapshot, &page).await
        }
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
            log::error!(error:% = e; "cannot decode the configuration in the store");
            Event::Failed(Verdict::NotRun)
        }
    }
}

/// Writes the snapshot and the audit page of a compaction, unless they exist already. Existing ones
/// have the same content, because both depend only on the chain.
async fn write_compaction(plane: &ControlPlane, snapshot: &Config, page: &AuditPage) -> Event {
    let snapshot_key = snapshot_key(snapshot.version());
    let page_key = page_key(page.last_version());
    let values = [(snapshot_key, encode_snapshot(snapshot)), (page_key, encode_page(page))];
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
        Ok(SwapOutcome::Done) => Event::Swapped,
        Ok(SwapOutcome::Conflict) => Event::SwapConflict,
        Err(e) => Event::Failed(e.verdict),
    }
}

async fn put(
    plane: &ControlPlane,
    key: &str,
    expected: Expected,
    value: Vec<u8>,
) -> Result<SwapOutcome, PlatformError> {
    let result = plane.platform.swap(key, expected, Bytes::from(value)).await;
    plane.count_call("swap", &result);
    result
}
