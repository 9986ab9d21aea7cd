//! Stand-ins for the users' platform that gateways run with.

use super::Gateway;
use galenapath_dev::link::{LinkFault, Relay};
use galenapath_dev::users_platform::{KvStandIn, ServerStandIn};
use serde_json::{Value, json};
use std::time::Duration;

/// Requests a second that a cold server can run; more of them crash it.
pub const COLD_PER_SECOND: f64 = 6.0;

/// A configuration with one route for each kind of request, each to a different service. `changes`
/// are fields of routes to set: route, field and value.
pub fn config(version: u64, changes: &[(&str, &str, Value)]) -> Value {
    let mut resources = vec![json!({
        "resource_type": "limits", "metadata": {},
        "spec": { "max_header_bytes": 16384, "max_body_bytes": 100_000,
                  "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
    })];
    for (name, kind) in [("look", "idempotent"), ("file", "non_idempotent"), ("load", "download")] {
        let mut spec = json!({
            "host": "h.example", "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 2000, "target_latency_ms": 400, "priority": 1,
            "service": name, "max_attempts": 2,
        });
        for (_, key, value) in changes.iter().filter(|(route, _, _)| *route == name) {
            spec[*key] = value.clone();
        }
        resources.push(json!({
            "resource_type": "routes", "metadata": { "name": name }, "spec": spec,
        }));
        resources.push(json!({
            "resource_type": "services", "metadata": { "name": name },
            "spec": { "health_path": "/health", "max_conns": 240, "protocol": "h1", "tls": false,
                      "warmup_s": 3, "warmup_per_s": COLD_PER_SECOND },
        }));
    }
    json!({ "version": format!("{version:08x}"), "resources": resources })
}

/// The stand-ins of a test: a store and two servers for each service.
pub struct World {
    /// The store.
    pub store: KvStandIn,
    /// Servers with their service: lookups, filings and downloads.
    pub servers: Vec<(&'static str, ServerStandIn)>,
    /// Relays in front of the servers, in their order; empty without relays.
    pub links: Vec<Relay>,
}

impl World {
    /// Starts a store with a configuration, and listed servers whose work takes 20 ms.
    pub fn start() -> Self {
        let store = KvStandIn::default();
        store.put("op/config", &config(1, &[]));
        let mut servers = Vec::new();
        for service in ["look", "file", "load"] {
            for n in 0..2 {
                let id = format!("i-{service}{n}");
                let server = ServerStandIn::start(&id, Duration::from_millis(20)).unwrap();
                let (key, entry) = server.entry(service, "ready");
                store.put(&key, &entry);
                servers.push((service, server));
            }
        }
        Self { store, servers, links: Vec::new() }
    }

    /// Starts the same with a relay in front of each server, on which link faults can be set.
    pub fn start_linked() -> Self {
        let mut world = Self::start();
        for (service, server) in &world.servers {
            let relay = Relay::start_on_thread(server.address()).unwrap();
            let (key, mut entry) = server.entry(service, "ready");
            entry["address"] = json!(relay.addr.to_string());
            world.store.put(&key, &entry);
            world.links.push(relay);
        }
        world
    }

    /// Sets the fault of one instance's paths to all servers.
    pub fn set_paths(&self, gateway: &Gateway, fault: LinkFault) {
        self.links.iter().for_each(|link| link.set_fault_of(gateway.pid(), fault));
    }

    /// Sets the fault of one instance's paths to the servers of a service.
    pub fn set_paths_to(&self, service: &str, gateway: &Gateway, fault: LinkFault) {
        for ((name, _), link) in self.servers.iter().zip(&self.links) {
            if *name == service {
                link.set_fault_of(gateway.pid(), fault);
            }
        }
    }

    /// Failure domain in which [`Self::spread_over_domains`] lists the server with this index.
    pub fn domain_of(at: usize) -> &'static str {
        if at.is_multiple_of(2) { "d1" } else { "d2" }
    }

    /// Lists the first server of each service in failure domain `d1`, the second one in `d2`.
    pub fn spread_over_domains(&self) {
        for (at, (service, server)) in self.servers.iter().enumerate() {
            let (key, mut entry) = server.entry(service, "ready");
            entry["zone"] = json!(Self::domain_of(at));
            if let Some(link) = self.links.get(at) {
                entry["address"] = json!(link.addr.to_string());
            }
            self.store.put(&key, &entry);
        }
    }

    /// Evacuates a failure domain.
    pub fn evacuate(&self, domain: &str) {
        self.store.put(&format!("op/evacuate/{domain}"), &json!({}));
    }

    /// Ends the evacuation of a failure domain.
    pub fn restore(&self, domain: &str) {
        self.store.delete(&format!("op/evacuate/{domain}"));
    }

    /// The servers of a service.
    pub fn servers_of(&self, service: &str) -> Vec<&ServerStandIn> {
        self.servers.iter().filter(|(name, _)| *name == service).map(|(_, s)| s).collect()
    }

    /// Number of requests that the servers of a service ran.
    pub fn run_count(&self, service: &str) -> usize {
        self.servers_of(service).iter().map(|server| server.executed_requests().len()).sum()
    }
}
