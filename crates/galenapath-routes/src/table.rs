//! All routes, services and limits of one version of the configuration.

use crate::{CallerLimits, Route, ServiceSpec};
use galenapath_protocol::FastMap;
use std::sync::Arc;
use thiserror::Error;

/// Why a configuration is invalid.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum TableError {
    /// A route sends requests to a service that is not in the configuration.
    #[error("route `{route}` names the service `{service}`, which does not exist")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// A route has no service that could get requests.
    #[error("route `{0}` has no service with a weight above zero")]
    NoWeightedService(String),
    /// A prefix that does not begin and end with a slash.
    #[error("route `{route}` has the prefix `{prefix}`, which must begin and end with a slash")]
    BadPrefix {
        /// Name of the route.
        route: String,
        /// The prefix.
        prefix: String,
    },
}

/// One version of the operator's configuration.
///
/// Invariant: `by_host` holds each route under its host and prefix, and each service that a route
/// names is in `services`.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: u64,
    by_host: FastMap<String, FastMap<String, Arc<Route>>>,
    services: FastMap<String, ServiceSpec>,
    limits: CallerLimits,
}

impl RouteTable {
    /// Builds the table of `version`.
    ///
    /// # Errors
    ///
    /// Returns an error for the first route that is invalid.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: FastMap<String, ServiceSpec>,
        limits: CallerLimits,
    ) -> Result<Self, TableError> {
        let mut by_host: FastMap<String, FastMap<String, Arc<Route>>> = FastMap::default();
        for route in routes {
            check(&route, &services)?;
            let prefixes = by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        Ok(Self { version, by_host, services, limits })
    }

    /// Version of the configuration; higher is newer.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The route with the longest prefix that `path` begins with, among the routes of `host`. The
    /// cost grows with the depth of the path, not with the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = match self.by_host.get(host) {
            Some(prefixes) => prefixes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        let slashes = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/');
        slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| prefixes.get(prefix))
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

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.by_host.values().map(FastMap::len).sum()
    }

    /// Whether there is no route at all.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn check(route: &Route, services: &FastMap<String, ServiceSpec>) -> Result<(), TableError> {
    let has_slashes = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    if !has_slashes {
        let (route, prefix) = (route.name.clone(), route.prefix.clone());
        return Err(TableError::BadPrefix { route, prefix });
    }
    if route.services.iter().all(|weighted| weighted.weight == 0) {
        return Err(TableError::NoWeightedService(route.name.clone()));
    }
    match route.services.iter().find(|weighted| !services.contains_key(&weighted.service)) {
        Some(weighted) => Err(TableError::UnknownService {
            route: route.name.clone(),
            service: weighted.service.clone(),
        }),
        None => Ok(()),
    }
}
