//! All routes, services, workspaces and limits of one version of the configuration.
//!
//! A new release of the operator's tools may write kinds, fields and entries that this release does
//! not know. Rejecting the whole document would stop every later change, and an instance that
//! starts would have no configuration at all, so an entry that cannot be used costs no more than
//! itself: a route of an unknown kind runs its requests at most once, and a route that cannot be
//! served is kept as [`RouteMatch::Unusable`], because its requests would otherwise match a route
//! with a shorter prefix.

use crate::resource::{Resource, ResourceFault, ResourceProblem, ResourceType, UnreadableResource};
use crate::workspace::Workspaces;
use crate::{CallerLimits, KeyDigest, Route, RouteKind, ServiceSpec, Workspace};
use galenapath_protocol::FastMap;
use std::sync::Arc;

/// The route that a request matches.
#[derive(Clone, Copy, Debug)]
pub enum RouteMatch<'a> {
    /// The route.
    Route(&'a Arc<Route>),
    /// The configuration has a route, but it cannot be used.
    Unusable,
    /// There is no route.
    None,
}

impl<'a> RouteMatch<'a> {
    /// The route, if there is one that can be used.
    pub fn route(self) -> Option<&'a Arc<Route>> {
        match self {
            Self::Route(route) => Some(route),
            Self::Unusable | Self::None => None,
        }
    }
}

#[derive(Clone, Debug)]
enum Entry {
    Usable(Arc<Route>),
    Unusable,
}

/// One version of the operator's configuration.
///
/// Invariant: `by_host` holds each route under its host and prefix, and each service that a usable
/// route names is in `services`.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: u64,
    by_host: FastMap<String, FastMap<String, Entry>>,
    services: FastMap<String, ServiceSpec>,
    /// `None` if the configuration has no workspaces, so that requests need no key.
    workspaces: Option<Workspaces>,
    limits: CallerLimits,
    problems: Vec<ResourceProblem>,
}

impl RouteTable {
    /// Builds the table of `version`. Entries that cannot be used are in [`Self::problems`].
    pub fn new(version: u64, resources: Vec<Resource>) -> Self {
        let mut table = Self { version, ..Self::default() };
        let mut routes = Vec::new();
        for resource in resources {
            match resource {
                Resource::Route { route, unknown_kind } => routes.push((route, unknown_kind)),
                Resource::Service { name, spec } => {
                    table.services.insert(name, spec);
                }
                Resource::Workspace { workspace, keys } => {
                    table.workspaces.get_or_insert_default().insert(workspace, keys);
                }
                Resource::Limits(limits) => table.limits = limits,
                Resource::Unreadable(unreadable) => table.add_unreadable(unreadable),
            }
        }
        for (route, unknown_kind) in routes {
            table.add_route(route, unknown_kind);
        }
        table
    }

    fn add_route(&mut self, mut route: Route, unknown_kind: Option<String>) {
        let fault = check(&route, &self.services);
        if let Some(kind) = unknown_kind {
            route.kind = RouteKind::NonIdempotent;
            self.add_problem(ResourceType::Route, &route.name, ResourceFault::UnknownKind(kind));
        }
        let (host, prefix) = (route.host.clone(), route.prefix.clone());
        let entry = match fault {
            None => Entry::Usable(Arc::new(route)),
            Some(fault) => {
                self.add_problem(ResourceType::Route, &route.name, fault);
                Entry::Unusable
            }
        };
        self.by_host.entry(host).or_default().insert(prefix, entry);
    }

    fn add_unreadable(&mut self, unreadable: UnreadableResource) {
        let UnreadableResource { resource_type, name, reason, location } = unreadable;
        if let Some((host, prefix)) = location {
            self.by_host.entry(host).or_default().insert(prefix, Entry::Unusable);
        }
        if resource_type == ResourceType::Workspace {
            self.workspaces.get_or_insert_default();
        }
        self.add_problem(resource_type, &name, ResourceFault::Unreadable(reason));
    }

    fn add_problem(&mut self, resource_type: ResourceType, name: &str, fault: ResourceFault) {
        self.problems.push(ResourceProblem { resource_type, name: name.to_owned(), fault });
    }

    /// Version of the configuration; higher is newer.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The entries that are not in force as the operator wrote them.
    pub fn problems(&self) -> &[ResourceProblem] {
        &self.problems
    }

    /// The route with the longest prefix that `path` begins with, among the routes of `host`. The
    /// cost grows with the depth of the path, not with the number of routes.
    pub fn find(&self, host: &str, path: &str) -> RouteMatch<'_> {
        let prefixes =
            self.by_host.get(host).or_else(|| self.by_host.get(&host.to_ascii_lowercase()));
        let Some(prefixes) = prefixes else { return RouteMatch::None };
        let slashes = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/');
        match slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| prefixes.get(prefix)) {
            Some(Entry::Usable(route)) => RouteMatch::Route(route),
            Some(Entry::Unusable) => RouteMatch::Unusable,
            None => RouteMatch::None,
        }
    }

    /// Whether requests on routes that are not public need the key of a workspace.
    pub fn requires_key(&self) -> bool {
        self.workspaces.is_some()
    }

    /// The workspace that holds the key with this digest.
    pub fn workspace(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.workspaces.as_ref()?.by_key(key)
    }

    /// All workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.iter().flat_map(Workspaces::all)
    }

    /// A service of this version.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// All services with their names.
    pub fn services(&self) -> impl Iterator<Item = (&str, &ServiceSpec)> {
        self.services.iter().map(|(name, spec)| (name.as_str(), spec))
    }

    /// Limits on the requests of callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Number of routes, including those that cannot be used.
    pub fn len(&self) -> usize {
        self.by_host.values().map(FastMap::len).sum()
    }

    /// Whether there is no route at all.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Why a route cannot be used; `None` if it can.
fn check(route: &Route, services: &FastMap<String, ServiceSpec>) -> Option<ResourceFault> {
    if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
        return Some(ResourceFault::BadPrefix(route.prefix.clone()));
    }
    if route.services.iter().all(|weighted| weighted.weight == 0) {
        return Some(ResourceFault::NoWeightedService);
    }
    let unknown = route.services.iter().find(|weighted| !services.contains_key(&weighted.service));
    unknown.map(|weighted| ResourceFault::UnknownService(weighted.service.clone()))
}
