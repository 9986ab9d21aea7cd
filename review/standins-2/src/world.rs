//! A small deployment: the store, backend servers in three zones, and three instances.

use crate::backend::{Backend, Run, Runs};
use crate::client;
use crate::gateway::{Gateway, free_ports, instance_ips, wait_until};
use crate::record::Record;
use crate::store::Store;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Host of all routes.
pub const HOST: &str = "h.example";

/// Time within which an accepted configuration is in force (`config_apply_ms`).
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// Time after which instances that are not disturbed are in touch (`stable_window_ms`).
pub const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

pub struct World {
    pub store: Store,
    pub runs: Runs,
    pub backends: Vec<Backend>,
    pub gateways: Vec<Gateway>,
    pub record: Record,
    dir: PathBuf,
}

impl World {
    /// Starts the store and the servers of `services`, `per_zone` of each in every zone.
    pub fn start(
        services: &[&str],
        per_zone: usize,
        work: Duration,
        out: &Path,
    ) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("galenapath-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let (store, runs) = (Store::start()?, Runs::default());
        let mut backends = Vec::new();
        for service in services {
            for (zone, _) in ZONES.iter().flat_map(|zone| (0..per_zone).map(move |n| (*zone, n))) {
                let id = format!("i-{:04x}", 0x10 + backends.len());
                let backend = Backend::start(&id, service, work, &runs)?;
                let (key, value) = backend.entry(zone, "ready");
                store.put(&key, &value);
                backends.push(backend);
            }
        }
        let record = Record::create(&out.join("record.txt"))?;
        Ok(Self { store, runs, backends, gateways: Vec::new(), record, dir })
    }

    /// Starts `per_zone` instances in each zone and waits until all are ready.
    pub fn start_gateways(&mut self, per_zone: usize) -> io::Result<()> {
        // One after the other by zone, so that the seeds are in different ones.
        let ips = instance_ips(ZONES.len() * per_zone);
        let ports = free_ports(&ips)?;
        for (at, ip) in ips.iter().enumerate() {
            let (zone, number) = (ZONES[at % ZONES.len()], at / ZONES.len() + 1);
            let name = format!("front-{zone}-{number}");
            let gateway =
                Gateway::start((&name, zone), (ip, &ips), ports, self.store.address, &self.dir)?;
            self.gateways.push(gateway);
        }
        let is_ready = || self.gateways.iter().all(Gateway::is_ready);
        if wait_until(Duration::from_secs(10), is_ready) {
            Ok(())
        } else {
            Err(io::Error::other("the instances are not ready"))
        }
    }

    /// An address that a consumer in `zone` is told to use.
    pub fn resolve(&self, zone: &str) -> io::Result<SocketAddr> {
        let nearest = ZONES.iter().position(|z| *z == zone).unwrap_or(0);
        let order = (0..ZONES.len()).map(|n| &self.gateways[(nearest + n) % ZONES.len()]);
        for gateway in order {
            if let Ok(addresses) = client::resolve(gateway.directory(), HOST, zone)
                && let Some(address) = addresses.first()
            {
                return Ok(*address);
            }
        }
        Err(io::Error::other("no node names an address"))
    }

    /// Name of the instance with this address.
    pub fn name_of(&self, address: SocketAddr) -> &str {
        let found = self.gateways.iter().find(|gateway| gateway.front() == address);
        found.map_or("?", |gateway| &gateway.name)
    }

    /// What the servers ran so far of the request `id`.
    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        self.runs.lock().unwrap().iter().filter(|run| run.id == id).cloned().collect()
    }

    /// Writes a configuration to the store, which acknowledges it.
    pub fn put_config(&self, version: u64, routes: &[String], services: &[&str]) {
        let services = services.iter().map(|name| {
            format!(
                "{{\"resource_type\":\"services\",\"metadata\":{{\"name\":\"{name}\"}},\
                 \"spec\":{{\"health_path\":\"/health\",\"max_conns\":240,\"protocol\":\"h1\",\
                 \"tls\":false}}}}"
            )
        });
        let limits = "{\"resource_type\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":\
                      16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\
                      \"idle_timeout_ms\":15000}}";
        let resources: Vec<String> =
            routes.iter().cloned().chain(services).chain([limits.to_owned()]).collect();
        let text =
            format!("{{\"version\":\"{version:08x}\",\"resources\":[{}]}}", resources.join(","));
        let revision = self.store.put("op/config", &text);
        self.record.line(&format!("version {version} is acknowledged at revision {revision}"));
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.gateways.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// A route to one service; `kind` is `idempotent` or `non_idempotent`.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str) -> String {
    split_route(name, prefix, kind, &[(service, 1)])
}

/// A route with a split; `kind` is `idempotent` or `non_idempotent`.
pub fn split_route(name: &str, prefix: &str, kind: &str, split: &[(&str, u32)]) -> String {
    let split: Vec<String> = split
        .iter()
        .map(|(service, weight)| format!("{{\"service\":\"{service}\",\"weight\":{weight}}}"))
        .collect();
    format!(
        "{{\"resource_type\":\"routes\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\
         \"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_ms\":1500,\
         \"target_latency_ms\":400,\"priority\":1,\"traffic_split\":[{}],\"max_attempts\":2}}}}",
        split.join(",")
    )
}
