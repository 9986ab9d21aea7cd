//! Tests of deployment files and of the switch names on the command line.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use galenapath_lab::{Deployment, Policy, Switch, Threshold};

const GOOD: &str = include_str!("../deployments/three-slots.toml");

fn error(text: &str) -> String {
    Deployment::parse("x.toml", text).unwrap_err().to_string()
}

#[test]
fn parse_shipped_files() {
    Deployment::parse("x.toml", GOOD).unwrap();
    Deployment::parse("y.toml", include_str!("../deployments/six-slots.toml")).unwrap();
}

#[test]
fn parse_faults_name_file_and_key() {
    let unknown = error(&GOOD.replace("queue = 6", "quue = 6"));
    assert!(unknown.contains("x.toml") && unknown.contains("quue"), "{unknown}");
    assert!(unknown.contains("line"), "{unknown}");
    let cases = [
        ("slots = 3", "slots = 0", "servers.slots"),
        ("part = 0.25", "part = 1.25", "spells.part"),
        ("per_second = 54.0", "per_second = -1.0", "callers.per_second"),
        ("length_s = 16.0", "length_s = 0.0", "length_s"),
        ("patience_ms = 2000.0", "patience_ms = 10.0", "callers.patience_ms"),
    ];
    for (good, bad, key) in cases {
        let text = error(&GOOD.replacen(good, bad, 1));
        assert!(text.contains(key), "{bad}: {text}");
    }
}

#[test]
fn switch_from_str_known_and_unknown_names() {
    for switch in Switch::all() {
        assert_eq!(switch.as_str().parse::<Switch>().unwrap(), *switch);
    }
    let text = "copies".parse::<Switch>().unwrap_err().to_string();
    assert!(text.contains("copies") && text.contains("questions"), "{text}");
}

#[test]
fn scaled_changes_one_threshold() {
    let shipping = Policy::default();
    for threshold in Threshold::all() {
        let half = shipping.scaled(*threshold, 0.5);
        assert_ne!(half, shipping, "{threshold:?}");
        assert_eq!(shipping.scaled(*threshold, 1.0), shipping, "{threshold:?}");
    }
}
