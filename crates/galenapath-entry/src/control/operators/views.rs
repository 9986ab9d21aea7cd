//! Read-only views for operators: classes, status, audit log and explanations of requests.

use super::answer::Answer;
use crate::control::plane::ControlPlane;
use crate::data::{DataCommand, Explanation};
use galenapath_config::wire::{
    AuditWire, ChangeRecordWire, ClassesWire, ErrorCodeWire, ExplainWire, InstanceStateWire,
    PeerStatusWire, StatusWire, StoreStatusWire,
};
use galenapath_config::{
    TailLimits, Version, decode_page, last_change_wires, page_containing, page_key,
};
use galenapath_platform::Platform;
use http::StatusCode;

/// Seconds after which an operator should retry reading an audit page.
const PAGE_RETRY_S: u64 = 5;

/// `GET /v1/classes`: the classes of the configuration that is in force.
pub(super) fn classes(plane: &ControlPlane) -> Answer {
    let config = plane.replica.borrow().config().clone();
    let wire = ClassesWire {
        version: config.version().0,
        classes: config.classes().map(Into::into).collect(),
        marks: last_change_wires(&config),
    };
    Answer::json(StatusCode::OK, &wire)
}

/// `GET /v1/status`: state of this instance, its use of the store, and its peers.
pub(super) fn status(plane: &ControlPlane) -> Answer {
    let shared = &plane.shared;
    let store = &plane.store_usage;
    let state = match (shared.is_leaving(), shared.is_ready()) {
        (true, _) => InstanceStateWire::Leaving,
        (false, true) => InstanceStateWire::Serving,
        (false, false) => InstanceStateWire::Starting,
    };
    let wire = StatusWire {
        instance: shared.name().to_string(),
        domain: shared.settings.instance.domain.to_string(),
        incarnation: shared.incarnation.to_string(),
        state,
        version: plane.replica.borrow().version().0,
        store: StoreStatusWire {
            reachable: store.is_reachable.get(),
            watching: store.is_watching.get(),
            reads: store.reads.get(),
            writes: store.writes.get(),
            failures: store.failures.get(),
        },
        peers: peers(plane),
    };
    Answer::json(StatusCode::OK, &wire)
}

fn peers(plane: &ControlPlane) -> Vec<PeerStatusWire> {
    let now = plane.now();
    let members = plane.members.borrow();
    let versions = plane.peer_versions.borrow();
    let reported = members.usable().filter_map(|m| Some((m, versions.get(&m.incarnation)?)));
    let mut peers: Vec<PeerStatusWire> = reported
        .map(|(member, reported)| PeerStatusWire {
            name: member.id.to_string(),
            version: reported.version.0,
            age_ms: (now - reported.reported_at).0 / 1_000,
        })
        .collect();
    peers.sort_by(|a, b| a.name.cmp(&b.name));
    peers
}

/// `GET /v1/audit?after=VERSION`: the change records after a version, from the tail if it has all
/// of them, otherwise one page from the store.
pub(super) async fn audit(plane: &ControlPlane, after: u64) -> Answer {
    let chain = plane.replica.borrow().chain().clone();
    let version = chain.version().0;
    let after = Version(after);
    if after >= chain.head().before_tail() {
        let newer = chain.head().tail().iter().filter(|record| record.version > after);
        let records = newer.map(ChangeRecordWire::from).collect();
        return Answer::json(StatusCode::OK, &AuditWire { version, records, complete: true });
    }
    let key = page_key(page_containing(after.next(), TailLimits::DEFAULT));
    let result = plane.platform.read(&key).await;
    plane.count_call("read", &result);
    let page = result.ok().and_then(|read| read.entry).map(|entry| decode_page(&entry.value));
    let Some(Ok(page)) = page else {
        let message = format!("the audit page {key} cannot be read from the store now");
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Answer::error(status, ErrorCodeWire::Unavailable, message)
            .with_retry_after(PAGE_RETRY_S);
    };
    let newer = page.records.iter().filter(|record| record.version > after);
    let records = newer.map(ChangeRecordWire::from).collect();
    Answer::json(StatusCode::OK, &AuditWire { version, records, complete: false })
}

/// `GET /v1/requests/ID`: the explanation of a recent request that this instance served.
pub(super) async fn explain(plane: &ControlPlane, id: &str) -> Answer {
    let (reply, answer) = flume::bounded(1);
    let command = DataCommand::Explain { id: id.to_owned(), reply };
    let sent = plane.wiring.commands.send_async(command).await.is_ok();
    let found = if sent { answer.recv_async().await.ok().flatten() } else { None };
    match found {
        Some(explanation) => Answer::json(StatusCode::OK, &explain_wire(explanation)),
        None => {
            let message = format!(
                "request `{id}` is not remembered here; ask the instance that served it, \
                 within its last few thousand requests"
            );
            Answer::error(StatusCode::NOT_FOUND, ErrorCodeWire::NotFound, message)
        }
    }
}

fn explain_wire(explanation: Explanation) -> ExplainWire {
    let attempts = explanation.attempts.iter();
    ExplainWire {
        backends: attempts.map(|attempt| format!("{}: {}", attempt.backend, attempt.end)).collect(),
        id: explanation.id(),
        class: Some(explanation.class.name.clone()),
        workspace: Some(explanation.workspace),
        status: explanation.status,
        verdict: explanation.verdict.to_string(),
        why: explanation.reason.to_owned(),
        queued_us: explanation.waited.0,
        total_us: explanation.took.0,
    }
}
