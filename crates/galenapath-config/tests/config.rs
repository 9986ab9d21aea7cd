//! Classification of requests.

#![expect(clippy::unwrap_used, reason = "helpers of tests fail as the tests do")]

mod support;

use galenapath_config::{Chain, Change, Class, Config, Limits, Refusal, propose};
use support::{accept, class, create, request};

fn config_of(classes: &[Class]) -> std::sync::Arc<Config> {
    let mut chain = Chain::default();
    for class in classes {
        let req = request(&class.name, 0, Change::CreateClass(class.clone()));
        chain = accept(&chain, &req, Limits::DEFAULT);
    }
    chain.config().clone()
}

#[test]
fn classify_longest_prefix_wins() {
    let config = config_of(&[class("all", "/"), class("maps", "/maps"), class("old", "/maps/old")]);
    let name = |path| config.classify("timetable", "GET", path).map(|c| c.name.as_str());
    assert_eq!(name("/maps/old/1"), Some("old"));
    assert_eq!(name("/maps/1"), Some("maps"));
    assert_eq!(name("/maps"), Some("maps"));
    assert_eq!(name("/mapsets"), Some("all"));
}

#[test]
fn classify_method_and_service_must_match() {
    let any_method = Class { methods: vec![], ..class("rest", "/book") };
    let config = config_of(&[class("maps", "/maps"), any_method]);
    assert!(config.classify("timetable", "POST", "/maps").is_none());
    assert!(config.classify("booking", "GET", "/maps").is_none());
    assert!(config.classify("timetable", "POST", "/book/1").is_some());
}

#[test]
fn classify_method_falls_to_shorter_prefix() {
    let post = Class { methods: vec!["POST".into()], ..class("file", "/") };
    let config = config_of(&[class("maps", "/maps"), post]);
    let found = config.classify("timetable", "POST", "/maps/1").unwrap();
    assert_eq!(found.name, "file");
}

#[test]
fn create_overlap_refused() {
    let chain = accept(&Chain::default(), &create("1", "maps"), Limits::DEFAULT);
    let twin = Class { methods: vec![], ..class("twin", "/maps/") };
    let req = request("2", 0, Change::CreateClass(twin));
    let refusal = propose(&chain, &req, 0, Limits::DEFAULT).unwrap_err();
    assert_eq!(refusal, Refusal::Overlap { other: "maps".into() });
}
