//! Two planes on loopback.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use flume::Receiver;
use galenapath_peers::{
    ConfigWire, ExchangeWire, HandOverWire, LeavingWire, OutcomeWire, PeerCall, PeerPlane,
    PeerRequest, start,
};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(5);

fn plane() -> PeerPlane {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    listener.and_then(start).unwrap_or_else(|e| panic!("no plane: {e}"))
}

fn news(version: u64) -> ExchangeWire {
    ExchangeWire {
        members: Vec::new(),
        leaving: vec![LeavingWire { backend: "b1".into(), started: 1_780_000_000_000 }],
        crashes: Vec::new(),
        cleared: Vec::new(),
        config_version: version,
        list_position: 9,
    }
}

fn ask(
    from: &PeerPlane,
    to: SocketAddr,
) -> Receiver<Result<ExchangeWire, galenapath_peers::PeerError>> {
    let (reply, answer) = flume::bounded(1);
    from.calls
        .send(PeerCall::Exchange { to, updates: news(u64::MAX), reply })
        .unwrap_or_else(|e| panic!("the plane has stopped: {e}"));
    answer
}

#[test]
fn exchange_news_arrives_unchanged() {
    let (first, second) = (plane(), plane());
    let answer = ask(&first, second.address);
    let PeerRequest::Exchange { updates: heard, reply } =
        second.requests.recv_timeout(LIMIT).unwrap()
    else {
        panic!("another call arrived");
    };
    assert_eq!(heard, news(u64::MAX));
    reply.send(news(7)).unwrap();
    assert_eq!(answer.recv_timeout(LIMIT).unwrap().unwrap(), news(7));
}

#[test]
fn exchange_silent_peer_is_an_error() {
    let (first, second) = (plane(), plane());
    let answer = ask(&first, second.address);
    let held = second.requests.recv_timeout(LIMIT).unwrap();
    assert!(answer.recv_timeout(LIMIT).unwrap().is_err());
    drop(held);
}

/// Fields are encoded by place, so that one left out would shift the others.
#[test]
fn hand_over_without_body_arrives_unchanged() {
    let (first, second) = (plane(), plane());
    let outcome = OutcomeWire {
        key: "0f".into(),
        fingerprint: "0a".into(),
        status: 201,
        headers: Vec::new(),
        body: None,
    };
    let outcomes = HandOverWire { incarnation: u64::MAX, outcomes: vec![outcome] };
    let (reply, answer) = flume::bounded(1);
    let call = PeerCall::HandOver { to: second.address, outcomes: outcomes.clone(), reply };
    first.calls.send(call).unwrap();
    let PeerRequest::HandOver { outcomes: heard, reply } =
        second.requests.recv_timeout(LIMIT).unwrap()
    else {
        panic!("another call arrived");
    };
    assert_eq!(heard, outcomes);
    reply.send(true).unwrap();
    assert!(answer.recv_timeout(LIMIT).unwrap().unwrap());
}

/// Both forms of the document, each with fields left empty.
#[test]
fn config_either_form_arrives_unchanged() {
    let (first, second) = (plane(), plane());
    let text = |text: &str| Some(text.to_owned());
    let records = ConfigWire { records: text("{}"), head: None, snapshot: None };
    let all = ConfigWire { records: None, head: text("{}"), snapshot: text("[]") };
    for document in [records, all] {
        let (reply, answer) = flume::bounded(1);
        let call = PeerCall::Config { to: second.address, after: 7, reply };
        first.calls.send(call).unwrap();
        let PeerRequest::Config { after, reply } = second.requests.recv_timeout(LIMIT).unwrap()
        else {
            panic!("another call arrived");
        };
        assert_eq!(after, 7);
        reply.send(document.clone()).unwrap();
        assert_eq!(answer.recv_timeout(LIMIT).unwrap().unwrap(), document);
    }
}
