//! Tests of the classification of requests.

#![expect(clippy::unwrap_used, reason = "helpers of tests fail as the tests do")]

mod support;

use galenapath_config::{Chain, Change, ChangeRejection, Class, Config, TailLimits, propose};
use support::{accept, class, create, request};

fn config_of(classes: &[Class]) -> std::sync::Arc<Config> {
    let mut chain = Chain::default();
    for class in classes {
        let req = request(&class.name, 0, Change::CreateClass(class.clone()));
        chain = accept(&chain, &req, TailLimits::DEFAULT);
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
fn classify_other_method_matches_shorter_prefix() {
    let post = Class { methods: vec!["POST".into()], ..class("file", "/") };
    let config = config_of(&[class("maps", "/maps"), post]);
    let found = config.classify("timetable", "POST", "/maps/1").unwrap();
    assert_eq!(found.name, "file");
}

#[test]
fn create_overlap_rejected() {
    let chain = accept(&Chain::default(), &create("1", "maps"), TailLimits::DEFAULT);
    let twin = Class { methods: vec![], ..class("twin", "/maps/") };
    let req = request("2", 0, Change::CreateClass(twin));
    let rejection = propose(&chain, &req, 0, TailLimits::DEFAULT).unwrap_err();
    assert_eq!(rejection, ChangeRejection::Overlap { other: "maps".into() });
}

/// Prints the time of one classification: `--release -- --ignored --nocapture`.
#[test]
#[ignore = "a benchmark"]
fn measure_classify() {
    const CALLS: u32 = 1_000_000;
    let in_services =
        |n: usize| Class { service: format!("service-{n}"), ..class(&n.to_string(), "/") };
    let in_one = |n: usize| class(&n.to_string(), &format!("/part-{n:03}"));
    let cases: [(&str, Vec<Class>, &str, &str); 3] = [
        ("1 class", vec![in_services(0)], "service-0", "/sessions/17"),
        ("1,400 services", (0..1_400).map(in_services).collect(), "service-700", "/sessions/17"),
        ("100 classes in a service", (0..100).map(in_one).collect(), "timetable", "/part-050/1"),
    ];
    for (what, classes, service, path) in cases {
        let config = config_of(&classes);
        let began = std::time::Instant::now();
        let found = (0..CALLS)
            .filter(|_| std::hint::black_box(&config).classify(service, "GET", path).is_some())
            .count();
        assert_eq!(found, CALLS as usize);
        println!("{what}: {:.0} ns", began.elapsed().as_nanos() as f64 / f64::from(CALLS));
    }
}
