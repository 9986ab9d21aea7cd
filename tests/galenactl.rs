//! `galenactl` against running instances: its output, exit codes and advice in error messages.

#![expect(clippy::unwrap_used, reason = "helpers of tests fail as the tests do")]

#[path = "operators/cluster.rs"]
mod cluster;

use cluster::{Cluster, call};
use serde_json::{Value, json};
use std::process::{Command, Output};

const CREATE: [&str; 10] = [
    "class",
    "create",
    "looks",
    "--service",
    "timetable",
    "--kind",
    "lookup",
    "--latency-ms",
    "50",
    "--method=GET",
];

fn run_galenactl(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_galenactl")).args(args).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

#[track_caller]
fn assert_exit(output: &Output, code: i32) -> String {
    let all = text(&output.stdout) + &text(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{all}");
    all
}

#[test]
fn help_every_command_has_example() {
    let commands: [&[&str]; 8] = [
        &["class", "create"],
        &["class", "list"],
        &["class", "set-target"],
        &["class", "remove"],
        &["status"],
        &["audit"],
        &["explain"],
        &["settings", "check"],
    ];
    for command in commands {
        let help = assert_exit(&run_galenactl(&[command, &["--help"]].concat()), 0);
        let example = command.join(" ");
        let after = help.split("Example:").nth(1).unwrap_or_else(|| panic!("{help}"));
        assert!(after.contains(&example), "{help}");
    }
    assert!(assert_exit(&run_galenactl(&["--help"]), 0).contains("Exit codes:"));
}

#[test]
fn run_wrong_arguments_is_2() {
    assert!(assert_exit(&run_galenactl(&["status"]), 2).contains("--instance"));
    assert_exit(&run_galenactl(&["class", "paint"]), 2);
    let without_base = [&CREATE[..], &["--id", "1"]].concat();
    assert!(assert_exit(&run_galenactl(&without_base), 2).contains("--base"));
    let missing = ["--instance", "127.0.0.1:9", "--token-file", "no-such-file", "status"];
    assert!(assert_exit(&run_galenactl(&missing), 2).contains("no-such-file"));
}

#[test]
fn run_unreachable_is_1() {
    let output = run_galenactl(&["--instance", "127.0.0.1:9", "status"]);
    assert!(assert_exit(&output, 1).contains("try another instance"));
}

#[test]
fn settings_check_names_file_and_key() {
    let cluster = Cluster::start(1);
    let good = cluster.file("e0.toml");
    assert_exit(&run_galenactl(&["settings", "check", good.to_str().unwrap()]), 0);
    let bad = cluster.file("bad.toml");
    let broken = std::fs::read_to_string(&good).unwrap().replace("domain =", "domian =");
    std::fs::write(&bad, broken).unwrap();
    let message = assert_exit(&run_galenactl(&["settings", "check", bad.to_str().unwrap()]), 2);
    assert!(message.contains("bad.toml") && message.contains("domian"), "{message}");
}

#[test]
fn class_created_listed_changed_removed() {
    let cluster = Cluster::start(1);
    let created = assert_exit(&cluster.galenactl(0, &CREATE), 0);
    assert_eq!(created, "VERSION  KNOWN-BY\n1        1\n");
    let listed = assert_exit(&cluster.galenactl(0, &["class", "list"]), 0);
    let row = listed.lines().nth(1).unwrap();
    let cells: Vec<&str> = row.split_whitespace().collect();
    assert_eq!(cells, ["looks", "timetable", "lookup", "GET", "/", "50", "ms", "0.99", "1"]);
    let change = ["class", "set-target", "looks", "--latency-ms", "40", "--share", "0.995"];
    assert_exit(&cluster.galenactl(0, &change), 0);
    let json = assert_exit(&cluster.galenactl(0, &["--output", "json", "class", "list"]), 0);
    let document: Value = serde_json::from_str(&json).unwrap();
    assert_eq!(document["classes"][0]["target"], json!({ "latency_ms": 40, "share": 0.995 }));
    assert_exit(&cluster.galenactl(0, &["class", "remove", "looks"]), 0);
    assert_exit(&cluster.galenactl(0, &["class", "remove", "looks"]), 7);
    assert_exit(&cluster.galenactl(0, &CREATE), 0);
    let audit = assert_exit(&cluster.galenactl(0, &["audit", "--after", "2"]), 0);
    assert_eq!(audit.lines().count(), 3, "{audit}");
    assert!(assert_exit(&cluster.galenactl(0, &["status"]), 0).contains("version"));
    assert!(
        assert_exit(&cluster.galenactl(0, &["explain", "no-such"]), 7).contains("ask the instance")
    );
}

#[test]
fn class_conflict_is_3() {
    let cluster = Cluster::start(1);
    assert_exit(&cluster.galenactl(0, &CREATE), 0);
    let change = ["class", "set-target", "looks", "--latency-ms", "40", "--base", "1"];
    assert_exit(&cluster.galenactl(0, &change), 0);
    let message = assert_exit(&cluster.galenactl(0, &change), 3);
    assert!(message.contains("decide again"), "{message}");
}

#[test]
fn class_wrong_token_is_4() {
    let cluster = Cluster::start(1);
    std::fs::write(cluster.file("other"), "another token\n").unwrap();
    let file = cluster.file("other");
    let address = cluster.instances[0].to_string();
    let to = ["--instance", &address, "--token-file", file.to_str().unwrap()];
    assert!(assert_exit(&run_galenactl(&[&to, &CREATE[..]].concat()), 4).contains("--token-file"));
}

#[test]
fn class_store_down_is_5_then_accepted() {
    let cluster = Cluster::start(1);
    call(cluster.store, "PUT", "/admin/faults", "", br#"{"down": true}"#);
    assert_exit(&cluster.galenactl(0, &CREATE), 5);
    call(cluster.store, "PUT", "/admin/faults", "", b"{}");
    assert_exit(&cluster.galenactl(0, &CREATE), 0);
}

/// The store applies the write but its reply is lost, so that the outcome is unknown. Running the
/// command again with the printed arguments resolves it without a second change.
#[test]
fn class_unknown_is_6_and_retry_resolves_it() {
    let cluster = Cluster::start(1);
    assert_exit(&cluster.galenactl(0, &CREATE), 0);
    let faults = br#"{"lose_replies": "all", "down_after_write": true}"#;
    let answer = call(cluster.store, "PUT", "/admin/faults", "", faults);
    assert_eq!(answer.status, 200);
    let change = ["class", "set-target", "looks", "--latency-ms", "40"];
    let message = assert_exit(&cluster.galenactl(0, &change), 6);
    let retry_args = message.split("with ").nth(1).unwrap().split(" to find out").next().unwrap();
    let retry_args: Vec<&str> = retry_args.split_whitespace().collect();
    call(cluster.store, "PUT", "/admin/faults", "", b"{}");
    assert_exit(&cluster.galenactl(0, &[&change[..], &retry_args].concat()), 0);
    assert_eq!(cluster.version(0), 2);
}
