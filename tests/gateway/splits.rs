//! Routes that are split between services, while their weights change.

use crate::support::kept::{End, Kept, filing_head};
use crate::support::{Gateway, World, config, wait_until};
use serde_json::{Value, json};

const BODY: &str = "a filing that arrives in two parts";

/// Requests after the change.
const COUNT: usize = 100;

/// A configuration whose filings go to these services.
fn split(version: u64, parts: &[(&str, u64)]) -> Value {
    let part = |(service, weight): &(&str, u64)| json!({ "service": service, "weight": weight });
    let parts: Vec<Value> = parts.iter().map(part).collect();
    config(version, &[("file", "traffic_split", json!(parts))])
}

/// Changes the split while the body of a filing arrives, whose service is chosen after it; returns
/// how many of [`COUNT`] filings each service runs after that.
fn shares_after_change(before: &[(&str, u64)], after: &[(&str, u64)]) -> Vec<usize> {
    let world = World::start();
    world.store.put("op/config", &split(2, before));
    let gateway = Gateway::start_ready(&world, &[]);
    let mut kept = Kept::open(gateway.callers());
    let (first, rest) = BODY.split_at(BODY.len() / 2);
    kept.send(&(filing_head("parts", 10_000, BODY.len()) + first));
    let reading = "galenapath_open_requests{phase=\"reading\"} ";
    wait_until("the head", || gateway.metric(reading) == 1);
    world.store.put("op/config", &split(3, after));
    let version = "galenapath_config_version ";
    wait_until("the changed split", || gateway.metric(version) == 3);
    kept.send(rest);
    assert_eq!(kept.read(), End::Whole(200));
    let counts = || after.iter().map(|(service, _)| world.run_count(service));
    let at_begin: Vec<usize> = counts().collect();
    for n in 0..COUNT {
        assert_eq!(gateway.send_filing(&format!("f{n}")).status, 200, "{n}");
    }
    counts().zip(at_begin).map(|(now, before)| now - before).collect()
}

fn assert_shares(shares: &[usize], expected: &[usize]) {
    let is_close = |(share, expected): (&usize, &usize)| share.abs_diff(*expected) <= 3;
    assert!(shares.iter().zip(expected).all(is_close), "{shares:?}, expected {expected:?}");
}

/// Guards against a service that gets no requests until the next version, because a request of the
/// version before puts the state of its split back.
#[test]
fn split_with_a_further_service_in_force_though_a_body_was_arriving() {
    let shares = shares_after_change(
        &[("file", 50), ("look", 50)],
        &[("file", 10), ("look", 10), ("load", 80)],
    );
    assert_shares(&shares, &[10, 10, 80]);
}

#[test]
fn split_in_another_unit_in_force_though_a_body_was_arriving() {
    let shares =
        shares_after_change(&[("file", 9_000), ("look", 1_000)], &[("file", 1), ("look", 9)]);
    assert_shares(&shares, &[10, 90]);
}

/// Guards against requests of one route that go to the services of another one of the same name.
#[test]
fn routes_of_one_name_have_splits_of_their_own() {
    let world = World::start();
    let half = |service: &str| json!({ "service": service, "weight": 50 });
    let parts = json!([half("file"), half("load")]);
    let mut twice = config(2, &[("file", "traffic_split", parts)]);
    let resources = twice["resources"].as_array_mut().unwrap();
    let mut other = resources.iter().find(|r| r["metadata"]["name"] == "look").unwrap().clone();
    other["metadata"]["name"] = json!("file");
    other["spec"]["prefix"] = json!("/other/");
    other["spec"]["service"] = json!("look");
    resources.push(other);
    world.store.put("op/config", &twice);
    let gateway = Gateway::start_ready(&world, &[]);
    let version = "galenapath_config_version ";
    wait_until("the configuration", || gateway.metric(version) == 2);
    for n in 0..10 {
        assert_eq!(gateway.send_filing(&format!("f{n}")).status, 200);
        assert_eq!(gateway.request("GET", "/other/1", &format!("o{n}"), 2_000, b"").status, 200);
    }
    assert_eq!(
        (world.run_count("file"), world.run_count("load"), world.run_count("look")),
        (5, 5, 10)
    );
}
