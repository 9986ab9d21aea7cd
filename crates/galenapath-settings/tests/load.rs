//! Settings files: what is taken, and one clear error for what is not.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use galenapath_settings::{LogLevel, SettingsError, parse};
use proptest::prelude::*;
use std::path::Path;
use std::time::Duration;

const GOOD: &str = r#"[instance]
name = "entry-1"
domain = "d1"

[listen]
callers = "127.0.0.1:7000"
peers = "127.0.0.1:7001"
operators = "127.0.0.1:7002"

[platform]
address = "127.0.0.1:8500"

[operators]
token_file = "token"

[limits]
header_timeout = "2s"
"#;

fn fault(text: &str) -> String {
    let error = parse(Path::new("entry.toml"), text).unwrap_err().to_string();
    assert_eq!(error.lines().count(), 1, "one line: {error}");
    error
}

/// Asserts that the error of `GOOD` with `from` replaced names file, line and every part.
fn assert_fault(from: &str, to: &str, line: usize, parts: &[&str]) {
    assert!(GOOD.contains(from));
    let error = fault(&GOOD.replace(from, to));
    assert!(error.starts_with(&format!("entry.toml:{line}:")), "{error}");
    for part in parts {
        assert!(error.contains(part), "{part} in {error}");
    }
}

#[test]
fn parse_good_taken() {
    let settings = parse(Path::new("entry.toml"), GOOD).unwrap();
    assert_eq!(settings.instance.name.0, "entry-1");
    assert_eq!(settings.limits.header_timeout, Duration::from_secs(2));
    assert_eq!(settings.limits.idle_timeout, Duration::from_secs(60));
    assert_eq!(settings.log_level, LogLevel::Info);
}

#[test]
fn parse_unknown_key_named() {
    assert_fault("header_timeout", "header_timeuot", 17, &["header_timeuot"]);
    assert_fault("[limits]", "[limit]", 16, &["limit"]);
}

#[test]
fn parse_bad_unit_named() {
    let key = "limits.header_timeout";
    for value in ["2", "2 parsecs", "soon", "-2s", ""] {
        assert_fault("\"2s\"", &format!("{value:?}"), 17, &[key, "unit"]);
    }
    assert_fault("\"2s\"", "\"0s\"", 17, &[key, "longer than zero"]);
    assert_fault("\"2s\"", "\"2 days\"", 17, &[key, "a day at most"]);
}

#[test]
fn parse_bad_type_named() {
    assert_fault("\"2s\"", "2", 17, &["string"]);
}

#[test]
fn parse_bad_address_named() {
    for value in ["127.0.0.1", "localhost:7000", ":7000", "127.0.0.1:70000", ""] {
        let to = format!("callers = {value:?}");
        assert_fault("callers = \"127.0.0.1:7000\"", &to, 6, &["listen.callers", "IP:PORT"]);
    }
}

#[test]
fn parse_missing_address_named() {
    assert_fault("peers = \"127.0.0.1:7001\"\n", "", 5, &["peers"]);
    assert_fault("address = \"127.0.0.1:8500\"\n", "", 10, &["address"]);
}

#[test]
fn parse_missing_table_named() {
    let error = fault(&GOOD.replace("[platform]\naddress = \"127.0.0.1:8500\"\n", ""));
    assert!(error.starts_with("entry.toml:") && error.contains("platform"), "{error}");
}

#[test]
fn parse_equal_addresses_named() {
    assert_fault("127.0.0.1:7001", "127.0.0.1:7000", 7, &["listen.peers", "another key"]);
    assert_fault("127.0.0.1:7002", "127.0.0.1:7001", 8, &["listen.operators", "another key"]);
}

#[test]
fn parse_free_ports_not_equal() {
    let free = GOOD.replace(":7000", ":0").replace(":7001", ":0").replace(":7002", ":0");
    assert!(parse(Path::new("entry.toml"), &free).is_ok());
}

#[test]
fn parse_empty_name_named() {
    assert_fault("\"entry-1\"", "\" \"", 2, &["instance.name", "empty"]);
}

#[test]
fn parse_zero_limit_named() {
    assert_fault("header_timeout = \"2s\"", "caller_connections = 0", 17, &["zero"]);
}

#[test]
fn parse_not_toml_line_told() {
    assert_fault("name = \"entry-1\"", "name = ", 2, &[]);
}

#[test]
fn load_missing_file_told() {
    let error = galenapath_settings::load(Path::new("no-such-file.toml")).unwrap_err();
    assert!(matches!(error, SettingsError::Unreadable { .. }));
    assert!(error.to_string().starts_with("no-such-file.toml: cannot be read"));
}

proptest! {
    #[test]
    fn parse_any_text_no_panic(text in "\\PC*", at in any::<prop::sample::Index>()) {
        let _ = parse(Path::new("entry.toml"), &text);
        let (start, end) = GOOD.split_at(at.index(GOOD.len()));
        let _ = parse(Path::new("entry.toml"), &format!("{start}{text}{end}"));
    }
}
