//! The operators' interface of running instances, and the load of the configuration on the store.

#![expect(clippy::unwrap_used, reason = "helpers of tests fail as the tests do")]

#[path = "operators/cluster.rs"]
mod cluster;

use cluster::{Cluster, TOKEN, call};
use galenapath_dev::store::{CallKind, Counters};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

fn create_class() -> Value {
    json!({ "create_class": {
        "name": "looks", "service": "timetable", "kind": "lookup", "methods": ["GET"],
        "path_prefix": "/", "target": { "latency_ms": 50, "share": 0.99 }, "revision": 0,
    }})
}

fn set_target(latency_ms: u64) -> Value {
    json!({ "set_target": {
        "class": "looks", "target": { "latency_ms": latency_ms, "share": 0.99 },
    }})
}

#[test]
fn changes_without_token_refused() {
    let cluster = Cluster::start(1);
    let body =
        json!({ "id": "1", "author": "eve", "base": 0, "change": create_class() }).to_string();
    let long = format!("authorization: Bearer {TOKEN}x\r\n");
    let short = format!("authorization: Bearer {}\r\n", &TOKEN[1..]);
    let bare = format!("authorization: {TOKEN}\r\n");
    for head in ["", "authorization: Bearer \r\n", &long, &short, &bare] {
        let answer = call(cluster.instances[0], "POST", "/v1/changes", head, body.as_bytes());
        assert_eq!(answer.status, 401, "{head}");
        assert_eq!(answer.json()["code"], "unauthorized");
    }
    assert_eq!(cluster.version(0), 0);
    assert_eq!(cluster.counters().calls(CallKind::Swap), 0);
}

#[test]
fn changes_bad_requests_refused() {
    let cluster = Cluster::start(1);
    let head = format!("authorization: Bearer {TOKEN}\r\n");
    let large = vec![b' '; 65 * 1024];
    let bodies: [(&[u8], u16); 4] =
        [(b"", 400), (b"{", 400), (br#"{"id":"1","extra":1}"#, 400), (&large, 413)];
    for (body, status) in bodies {
        let answer = call(cluster.instances[0], "POST", "/v1/changes", &head, body);
        assert_eq!(answer.status, status);
        assert_eq!(answer.json()["verdict"], "not_run");
    }
    let mut share = create_class();
    share["create_class"]["target"]["share"] = json!(99);
    let mut path = create_class();
    path["create_class"]["path_prefix"] = json!("maps");
    for change in [share, path] {
        let answer = cluster.change(0, "1", 0, change);
        assert_eq!((answer.status, &answer.json()["code"]), (400, &json!("invalid")));
    }
    assert_eq!(cluster.change(0, "1", 0, set_target(9)).status, 404);
    assert_eq!(cluster.get(0, "/v1/audit?after=x").status, 400);
    assert_eq!(cluster.get(0, "/v1/requests/none").status, 404);
    assert_eq!(cluster.get(0, "/v1/nothing").status, 404);
    assert_eq!(cluster.change(0, "1", 0, create_class()).status, 200);
}

#[test]
fn changes_conflict_names_newer_change() {
    let cluster = Cluster::start(1);
    assert_eq!(cluster.change(0, "1", 0, create_class()).status, 200);
    assert_eq!(cluster.change(0, "2", 1, set_target(20)).status, 200);
    let conflict = cluster.change(0, "3", 1, set_target(30));
    assert_eq!(conflict.status, 409);
    let newer = json!({ "class": "looks", "revision": 2, "id": "2" });
    assert_eq!(conflict.json()["newer"], newer);
}

#[test]
fn changes_store_down_has_retry_after() {
    let cluster = Cluster::start(1);
    call(cluster.store, "PUT", "/admin/faults", "", br#"{"down": true}"#);
    let answer = cluster.change(0, "1", 0, create_class());
    assert_eq!(answer.status, 503);
    assert_eq!(answer.json()["verdict"], "not_run");
    assert!(answer.head.contains("retry-after: "), "{}", answer.head);
}

/// Seventy changes are more than the tail holds. The audit trail must be complete over pages and
/// tail, and an instance that starts afterwards must read the snapshot.
#[test]
fn audit_long_trail_complete() {
    let mut cluster = Cluster::start(2);
    assert_eq!(cluster.change(0, "1", 0, create_class()).status, 200);
    for n in 1..70 {
        let answer =
            cluster.change(n % 2, &format!("{}", n + 1), n as u64, set_target(10 + n as u64));
        assert_eq!(answer.status, 200, "{n}: {answer:?}");
    }
    cluster.add_instance();
    cluster.wait_until(|cluster| cluster.version(2) == 70);
    assert_eq!(cluster.get(2, "/v1/classes").json(), cluster.get(0, "/v1/classes").json());
    let (mut after, mut records) = (0, Vec::new());
    loop {
        let page = cluster.get(2, &format!("/v1/audit?after={after}")).json();
        records.extend(page["records"].as_array().unwrap().clone());
        after = records.last().unwrap()["version"].as_u64().unwrap();
        if page["complete"] == json!(true) {
            break;
        }
    }
    let versions: Vec<u64> = records.iter().map(|r| r["version"].as_u64().unwrap()).collect();
    assert_eq!(versions, (1..=70).collect::<Vec<u64>>());
    assert!(records.windows(2).all(|pair| pair[0]["to"] == pair[1]["from"]));
}

fn describe_calls_since(before: &Counters, after: &Counters) -> String {
    let kinds = after.calls.iter();
    let added = kinds.map(|(kind, calls)| (kind, calls - before.calls(*kind)));
    let added = added.filter(|(_, calls)| *calls > 0);
    added.map(|(kind, calls)| format!("{kind:?} {calls}")).collect::<Vec<_>>().join(", ")
}

/// Waits until every instance has `version`; returns the time since `began`.
fn time_until_in_force(cluster: &Cluster, version: u64, began: Instant) -> Duration {
    cluster
        .wait_until(|cluster| (0..cluster.instances.len()).all(|n| cluster.version(n) >= version));
    began.elapsed()
}

/// Prints how often the store is called and how long changes take to be in force everywhere.
/// Figures hold for one run on one machine.
#[test]
#[ignore = "a measurement of a few minutes: see docs/MEASUREMENTS.md"]
fn measure_store_calls_and_spread() {
    const CHANGES: u64 = 40;
    const QUIET: Duration = Duration::from_secs(60);
    for instances in [4, 8, 16] {
        let cluster = Cluster::start(instances);
        assert_eq!(cluster.change(0, "1", 0, create_class()).status, 200);
        cluster.wait_until(|cluster| (0..instances).all(|n| cluster.version(n) == 1));
        let before = cluster.counters();
        let (mut answered_after, mut in_force_after) = (Vec::new(), Vec::new());
        for n in 1..=CHANGES {
            let began = Instant::now();
            let at = n as usize % instances;
            assert_eq!(
                cluster.change(at, &format!("{}", n + 1), n, set_target(10 + n)).status,
                200
            );
            answered_after.push(began.elapsed());
            in_force_after.push(time_until_in_force(&cluster, n + 1, began));
        }
        let after = cluster.counters();
        println!(
            "{instances} instances, {CHANGES} changes: {}",
            describe_calls_since(&before, &after)
        );
        for (label, times) in [("answered", &mut answered_after), ("in force", &mut in_force_after)]
        {
            times.sort();
            let (p50, worst) = (times[times.len() / 2], times[times.len() - 1]);
            println!("  {label}: p50 {p50:.1?}, worst {worst:.1?}");
        }
        let before = cluster.counters();
        std::thread::sleep(QUIET);
        let after = cluster.counters();
        println!("  {QUIET:?} without a change: {}", describe_calls_since(&before, &after));
        println!("  waiting watches: {}", after.waiting);
    }
}
