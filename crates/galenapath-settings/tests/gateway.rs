//! Tests of reading a gateway instance's settings.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use galenapath_settings::{GatewaySettings, SettingsError, parse_gateway};
use std::path::Path;
use std::time::Duration;

const REQUIRED_ONLY: &str = r#"
[instance]
name = "g1"
domain = "d1"

[listen]
callers = "127.0.0.1:8101"
readiness = "127.0.0.1:8102"
addresses = "127.0.0.1:8103"
peers = "127.0.0.1:8104"
seeds = ["127.0.0.2:8544"]

[platform]
address = "127.0.0.1:8541"
"#;

fn parse(text: &str) -> Result<GatewaySettings, SettingsError> {
    parse_gateway(Path::new("gateway.toml"), text)
}

#[test]
fn parse_gateway_missing_keys_have_defaults() {
    let settings = parse(REQUIRED_ONLY).unwrap();
    assert_eq!(settings.grace, Duration::from_secs(6));
    assert_eq!(settings.listen.metrics, None);
    assert!((settings.cores - 1.0).abs() < f64::EPSILON);
    assert!((settings.link_mbps - 1_000.0).abs() < f64::EPSILON);
    // A seed may be given by any of its addresses; it is contacted on the port for peers.
    assert_eq!(settings.listen.seeds, ["127.0.0.2:8104".parse().unwrap()]);
}

#[test]
fn parse_gateway_all_keys_read() {
    let text = format!(
        "{}\n[retries]\nratio = 0.3\nslack = 190\nwindow = \"20s\"\n[probes]\nper_second = 42\n\
         [callers]\nkeep_addresses = \"2s\"\nconnections = 50\n[stop]\ngrace = \"8s\"\n\
         [log]\nlevel = \"warn\"\nlines_per_second = 5\n",
        REQUIRED_ONLY.replace("domain = \"d1\"", "domain = \"d1\"\ncores = 0.2\nlink_mbps = 10")
    );
    let settings = parse(&text).unwrap();
    assert!((settings.retries.ratio - 0.3).abs() < f64::EPSILON);
    assert_eq!(settings.retries.window, Duration::from_secs(20));
    assert!((settings.probes_per_second - 42.0).abs() < f64::EPSILON);
    assert_eq!((settings.caller_connections, settings.log_lines), (50, 5));
    assert_eq!(settings.grace, Duration::from_secs(8));
    assert!((settings.cores - 0.2).abs() < f64::EPSILON);
    assert!((settings.link_mbps - 10.0).abs() < f64::EPSILON);
}

#[test]
fn parse_gateway_errors_name_key_and_line() {
    for (from, to, key, line) in [
        ("name = \"g1\"", "name = \" \"", "instance.name", 3),
        ("127.0.0.1:8102", "8102", "listen.readiness", 8),
        ("127.0.0.1:8104", "127.0.0.1:8101", "listen.peers", 10),
        ("127.0.0.1:8541", "store", "platform.address", 14),
        ("domain = \"d1\"", "domain = \"d1\"\ncores = -1.0", "instance.cores", 5),
        ("domain = \"d1\"", "domain = \"d1\"\nlink_mbps = -1.0", "instance.link_mbps", 5),
    ] {
        let text = parse(&REQUIRED_ONLY.replace(from, to)).unwrap_err().to_string();
        assert!(text.starts_with(&format!("gateway.toml:{line}: {key}")), "{text}");
    }
    let unknown = parse(&format!("{REQUIRED_ONLY}\n[other]\n")).unwrap_err().to_string();
    assert!(unknown.contains("other"), "{unknown}");
}

#[test]
fn parse_gateway_metrics_address_in_use_refused() {
    for port in [8101, 8102, 8103, 8104] {
        let text =
            REQUIRED_ONLY.replace("seeds =", &format!("metrics = \"127.0.0.1:{port}\"\nseeds ="));
        let error = parse(&text).unwrap_err().to_string();
        assert!(error.contains("listen.metrics"), "{error}");
    }
}

#[test]
fn parse_gateway_workspaces_read() {
    let text =
        format!("{REQUIRED_ONLY}[workspaces]\nquota_tolerance = 20\nrevoke_within = \"5s\"\n");
    let workspaces = parse(&text).unwrap().workspaces;
    assert_eq!(workspaces.revoke_within, Some(Duration::from_secs(5)));
    assert!((workspaces.quota_tolerance - 20.0).abs() < f64::EPSILON);
    let text = format!("{REQUIRED_ONLY}[workspaces]\nquota_tolerance = -1\n");
    assert!(parse(&text).unwrap_err().to_string().contains("workspaces.quota_tolerance"));
}
