//! Finding routes, and configurations that are invalid.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use galenapath_protocol::{Quota, WorkspaceId};
use galenapath_routes::{
    KeyDigest, Resource, ResourceFault, ResourceType, Route, RouteKind, RouteMatch, RouteTable,
    ServiceSpec, UnreadableResource, WeightedService, Workspace,
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
        is_public: false,
    }
}

fn service() -> Resource {
    let spec = ServiceSpec { health_path: "/health".into(), max_connections: 240, warm_up: None };
    Resource::Service { name: "s".into(), spec }
}

fn known(route: Route) -> Resource {
    Resource::Route { route, unknown_kind: None }
}

fn table(routes: Vec<Route>) -> RouteTable {
    // A service may stand behind the routes that name it.
    RouteTable::new(7, routes.into_iter().map(known).chain([service()]).collect())
}

fn find_name(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).route().map(|route| route.name.clone())
}

fn workspace(name: &str) -> Workspace {
    Workspace { id: WorkspaceId::of(name), name: name.into(), rank: None, quota: None }
}

#[test]
fn find_longest_prefix() {
    let table = table(vec![route("short", "h", "/a/", "s"), route("long", "h", "/a/b/", "s")]);
    assert_eq!(table.problems(), []);
    assert_eq!(find_name(&table, "h", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(find_name(&table, "h", "/a/b/").as_deref(), Some("long"));
    assert_eq!(find_name(&table, "h", "/a/bc/d").as_deref(), Some("short"));
    assert_eq!(find_name(&table, "h", "/a").as_deref(), None);
    assert_eq!(find_name(&table, "h", "/ab/").as_deref(), None);
}

#[test]
fn find_by_host_in_any_case() {
    let table = table(vec![route("r", "h.example", "/", "s")]);
    assert_eq!(find_name(&table, "H.Example", "/x").as_deref(), Some("r"));
    assert_eq!(find_name(&table, "other", "/x"), None);
}

#[test]
fn new_bad_route_unusable_and_reported() {
    let mut no_weight = route("r", "h", "/", "s");
    no_weight.services[0].weight = 0;
    let bad =
        |prefix: &str| (route("r", "h", prefix, "s"), ResourceFault::BadPrefix(prefix.into()));
    let unknown_service =
        (route("r", "h", "/", "none"), ResourceFault::UnknownService("none".into()));
    let no_weight = (no_weight, ResourceFault::NoWeightedService);
    for (bad, fault) in [unknown_service, bad("a/"), bad("/a"), bad(""), no_weight] {
        let table = table(vec![bad, route("good", "h", "/g/", "s")]);
        let [problem] = table.problems() else { panic!("{:?}", table.problems()) };
        assert_eq!((problem.name.as_str(), &problem.fault), ("r", &fault));
        assert_eq!(find_name(&table, "h", "/a/x"), None);
        assert_eq!(find_name(&table, "h", "/g/x").as_deref(), Some("good"));
    }
}

#[test]
fn find_unusable_route_not_replaced_by_shorter_prefix() {
    let table = table(vec![route("short", "h", "/a/", "s"), route("long", "h", "/a/b/", "none")]);
    assert!(matches!(table.find("h", "/a/b/c"), RouteMatch::Unusable));
    assert_eq!(find_name(&table, "h", "/a/c").as_deref(), Some("short"));
    let unreadable = |location| UnreadableResource {
        resource_type: ResourceType::Route,
        name: "long".into(),
        reason: "no kind".into(),
        location,
    };
    let located = unreadable(Some(("h".into(), "/a/b/".into())));
    let resources = vec![
        service(),
        known(route("short", "h", "/a/", "s")),
        Resource::Unreadable(located),
        Resource::Unreadable(unreadable(None)),
    ];
    let table = RouteTable::new(8, resources);
    assert!(matches!(table.find("h", "/a/b/c"), RouteMatch::Unusable));
    assert_eq!(table.problems().len(), 2);
}

#[test]
fn new_unknown_kind_runs_at_most_once() {
    let unknown = Resource::Route {
        route: route("r", "h", "/", "s"),
        unknown_kind: Some("sometimes".into()),
    };
    let table = RouteTable::new(7, vec![unknown, service()]);
    assert_eq!(table.find("h", "/x").route().unwrap().kind, RouteKind::NonIdempotent);
    assert_eq!(table.problems()[0].fault, ResourceFault::UnknownKind("sometimes".into()));
}

#[test]
fn workspace_found_by_each_of_its_keys() {
    let keys = |keys: &[&str]| keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect();
    let quota = Some(Quota { per_second: 2.0, burst: 4.0 });
    let first = Workspace { quota, ..workspace("first") };
    let table = RouteTable::new(
        1,
        vec![
            Resource::Workspace { workspace: first, keys: keys(&["a", "b"]) },
            Resource::Workspace { workspace: workspace("second"), keys: keys(&["c"]) },
        ],
    );
    assert!(table.requires_key());
    let name = |key: &str| Some(table.workspace(&KeyDigest::of(key.as_bytes()))?.name.as_str());
    assert_eq!((name("a"), name("b"), name("c")), (Some("first"), Some("first"), Some("second")));
    assert_eq!((name(""), name("d")), (None, None));
    assert_eq!(table.workspaces().count(), 2);
}

#[test]
fn requires_key_only_with_workspaces() {
    assert!(!table(vec![]).requires_key());
    let unreadable = UnreadableResource {
        resource_type: ResourceType::Workspace,
        name: "w".into(),
        reason: "no keys".into(),
        location: None,
    };
    // Its keys are unknown, which must not open the routes to everybody.
    assert!(RouteTable::new(1, vec![Resource::Unreadable(unreadable)]).requires_key());
}

#[test]
fn key_digest_debug_shows_no_key() {
    assert_eq!(format!("{:?}", KeyDigest::of(b"secret")), "KeyDigest(..)");
}
