//! Finding routes, and configurations that are invalid.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use galenapath_protocol::FastMap;
use galenapath_routes::{
    CallerLimits, Route, RouteKind, RouteTable, ServiceSpec, TableError, WeightedService,
};
use std::time::Duration;

fn route(name: &str, host: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        services: vec![WeightedService { service: service.into(), weight: 1 }],
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(400),
        max_attempts: 2,
        rank: 1,
    }
}

fn services() -> FastMap<String, ServiceSpec> {
    let spec = ServiceSpec { health_path: "/health".into(), max_connections: 240, warm_up: None };
    [("s".to_owned(), spec)].into_iter().collect()
}

fn table(routes: Vec<Route>) -> Result<RouteTable, TableError> {
    RouteTable::new(7, routes, services(), CallerLimits::default())
}

fn find_name(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|route| route.name.clone())
}

#[test]
fn find_longest_prefix() {
    let table =
        table(vec![route("short", "h", "/a/", "s"), route("long", "h", "/a/b/", "s")]).unwrap();
    assert_eq!(find_name(&table, "h", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(find_name(&table, "h", "/a/b/").as_deref(), Some("long"));
    assert_eq!(find_name(&table, "h", "/a/bc/d").as_deref(), Some("short"));
    assert_eq!(find_name(&table, "h", "/a").as_deref(), None);
    assert_eq!(find_name(&table, "h", "/ab/").as_deref(), None);
}

#[test]
fn find_by_host_in_any_case() {
    let table = table(vec![route("r", "h.example", "/", "s")]).unwrap();
    assert_eq!(find_name(&table, "H.Example", "/x").as_deref(), Some("r"));
    assert_eq!(find_name(&table, "other", "/x"), None);
}

#[test]
fn new_bad_routes_rejected() {
    let unknown = table(vec![route("r", "h", "/", "none")]).unwrap_err();
    assert!(matches!(unknown, TableError::UnknownService { .. }));
    for prefix in ["a/", "/a", ""] {
        let bad = table(vec![route("r", "h", prefix, "s")]).unwrap_err();
        assert!(matches!(bad, TableError::BadPrefix { .. }), "{prefix}");
    }
    let mut no_weight = route("r", "h", "/", "s");
    no_weight.services[0].weight = 0;
    assert_eq!(table(vec![no_weight]).unwrap_err(), TableError::NoWeightedService("r".into()));
}
