//! Tests of reading an entry instance's settings: valid files are accepted, and an invalid one
//! results in one error of one line.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

use galenapath_settings::{LogLevel, SettingsError, parse};
use proptest::prelude::*;
use std::path::Path;
use std::time::Duration;

const VALID: &str = r#"[instance]
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

fn error_of(text: &str) -> String {
    let error = parse(Path::new("entry.toml"), text).unwrap_err().to_string();
    assert_eq!(error.lines().count(), 1, "one line: {error}");
    error
}

/// Asserts that the error of `VALID`, with `from` replaced by `to`, names the file, the line and
/// every part.
fn assert_error(from: &str, to: &str, line: usize, parts: &[&str]) {
    assert!(VALID.contains(from));
    let error = error_of(&VALID.replace(from, to));
    assert!(error.starts_with(&format!("entry.toml:{line}:")), "{error}");
    for part in parts {
        assert!(error.contains(part), "{part} in {error}");
    }
}

#[test]
fn parse_valid_accepted() {
    let settings = parse(Path::new("entry.toml"), VALID).unwrap();
    assert_eq!(settings.instance.name.0, "entry-1");
    assert_eq!(settings.limits.header_timeout, Duration::from_secs(2));
    assert_eq!(settings.limits.idle_timeout, Duration::from_secs(60));
    assert_eq!(settings.log_level, LogLevel::Info);
}

#[test]
fn parse_unknown_key_named() {
    assert_error("header_timeout", "header_timeuot", 17, &["header_timeuot"]);
    assert_error("[limits]", "[limit]", 16, &["limit"]);
}

#[test]
fn parse_bad_unit_named() {
    let key = "limits.header_timeout";
    for value in ["2", "2 parsecs", "soon", "-2s", ""] {
        assert_error("\"2s\"", &format!("{value:?}"), 17, &[key, "unit"]);
    }
    assert_error("\"2s\"", "\"0s\"", 17, &[key, "longer than zero"]);
    assert_error("\"2s\"", "\"2 days\"", 17, &[key, "a day at most"]);
}

#[test]
fn parse_bad_type_named() {
    assert_error("\"2s\"", "2", 17, &["string"]);
}

#[test]
fn parse_bad_address_named() {
    for value in ["127.0.0.1", "localhost:7000", ":7000", "127.0.0.1:70000", ""] {
        let to = format!("callers = {value:?}");
        assert_error("callers = \"127.0.0.1:7000\"", &to, 6, &["listen.callers", "IP:PORT"]);
    }
}

#[test]
fn parse_missing_address_named() {
    assert_error("peers = \"127.0.0.1:7001\"\n", "", 5, &["peers"]);
    assert_error("address = \"127.0.0.1:8500\"\n", "", 10, &["address"]);
}

#[test]
fn parse_missing_table_named() {
    let error = error_of(&VALID.replace("[platform]\naddress = \"127.0.0.1:8500\"\n", ""));
    assert!(error.starts_with("entry.toml:") && error.contains("platform"), "{error}");
}

#[test]
fn parse_equal_addresses_named() {
    assert_error("127.0.0.1:7001", "127.0.0.1:7000", 7, &["listen.peers", "another key"]);
    assert_error("127.0.0.1:7002", "127.0.0.1:7001", 8, &["listen.operators", "another key"]);
}

#[test]
fn parse_free_ports_not_equal() {
    let free = VALID.replace(":7000", ":0").replace(":7001", ":0").replace(":7002", ":0");
    assert!(parse(Path::new("entry.toml"), &free).is_ok());
}

#[test]
fn parse_empty_name_named() {
    assert_error("\"entry-1\"", "\" \"", 2, &["instance.name", "empty"]);
}

#[test]
fn parse_zero_limit_named() {
    assert_error("header_timeout = \"2s\"", "caller_connections = 0", 17, &["zero"]);
}

#[test]
fn parse_not_toml_line_named() {
    assert_error("name = \"entry-1\"", "name = ", 2, &[]);
}

#[test]
fn load_missing_file_named() {
    let error = galenapath_settings::load(Path::new("no-such-file.toml")).unwrap_err();
    assert!(matches!(error, SettingsError::Unreadable { .. }));
    assert!(error.to_string().starts_with("no-such-file.toml: cannot be read"));
}

proptest! {
    #[test]
    fn parse_any_text_no_panic(text in "\\PC*", at in any::<prop::sample::Index>()) {
        let _ = parse(Path::new("entry.toml"), &text);
        let (start, end) = VALID.split_at(at.index(VALID.len()));
        let _ = parse(Path::new("entry.toml"), &format!("{start}{text}{end}"));
    }
}
