//! Gateway instances as processes, with stand-ins for the rest of the users' platform.

#![allow(dead_code, unused_imports, reason = "each test program uses a part of it")]

use serde_json::Value;
use std::io::{BufRead, BufReader, Read};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[path = "addresses.rs"]
pub mod addresses;
#[path = "callers.rs"]
pub mod callers;
#[path = "kept.rs"]
pub mod kept;
#[path = "load.rs"]
mod load;
#[path = "memory.rs"]
mod memory;
#[path = "processor.rs"]
mod processor;
#[path = "read.rs"]
mod read;
#[path = "world.rs"]
mod world;

use addresses::unique_ip;
pub use callers::{Answer, send_request};
pub use load::{fleet, send_lookups};
pub use processor::ProcessorTimes;
pub use read::read_some;
pub use world::{COLD_PER_SECOND, World, config};

/// Longest time to wait for a condition or an answer.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const CALLERS: u16 = 8101;
const READINESS: u16 = 8102;
const ADDRESSES: u16 = 8103;
const PEERS: u16 = 8104;
const METRICS: u16 = 8105;

/// Waits until `condition` holds; panics after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out after {WAIT_TIMEOUT:?} waiting for {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A running instance; killed when dropped.
pub struct Gateway {
    ip: Ipv4Addr,
    /// Address at which it reaches the store, a different one for each instance.
    pub store: SocketAddr,
    settings: PathBuf,
    base_settings: String,
    child: Child,
    /// Its standard output, if no thread reads it.
    unread: Option<ChildStdout>,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Gateway {
    /// Starts an instance that learns the other instances from `seeds`.
    pub fn start(world: &World, seeds: &[&Gateway]) -> Self {
        Self::start_at(world.store.listen().unwrap(), seeds)
    }

    /// Starts an instance that reaches the store at `store`.
    pub fn start_at(store: SocketAddr, seeds: &[&Gateway]) -> Self {
        Self::start_as("domain = \"d1\"", store, seeds)
    }

    /// Starts the same with these lines in the section `instance` of its settings.
    pub fn start_as(instance: &str, store: SocketAddr, seeds: &[&Gateway]) -> Self {
        let ip = unique_ip();
        // All instances of a deployment have the same seeds. The first one is its own seed.
        let own_seed = seeds.is_empty().then_some(ip);
        let seeds = seeds.iter().map(|seed| seed.ip).chain(own_seed);
        let seeds: Vec<String> = seeds.map(|seed| format!("\"{seed}:1\"")).collect();
        let text = format!(
            "[instance]\nname = \"g{ip}\"\n{instance}\n\
             [listen]\ncallers = \"{ip}:{CALLERS}\"\nreadiness = \"{ip}:{READINESS}\"\n\
             addresses = \"{ip}:{ADDRESSES}\"\npeers = \"{ip}:{PEERS}\"\n\
             metrics = \"{ip}:{METRICS}\"\nseeds = [{}]\n[platform]\naddress = \"{store}\"\n",
            seeds.join(", ")
        );
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let settings = dir.join(format!("gateway-{ip}.toml"));
        std::fs::write(&settings, &text).unwrap();
        let lines = Arc::default();
        let child = spawn(&settings, &lines);
        Self { ip, store, settings, base_settings: text, child, unread: None, lines }
    }

    /// Starts an instance whose log is not read before [`Self::kill_and_read_log`].
    pub fn start_unread(world: &World) -> Self {
        let mut gateway = Self::start(world, &[]);
        gateway.kill();
        gateway.child = start_process(&gateway.settings);
        gateway.unread = gateway.child.stdout.take();
        gateway
    }

    /// Kills an instance whose log was not read and returns the lines that it wrote.
    pub fn kill_and_read_log(&mut self) -> Vec<String> {
        self.kill();
        let mut text = String::new();
        self.unread.take().unwrap().read_to_string(&mut text).unwrap();
        text.lines().map(str::to_owned).collect()
    }

    /// Starts an instance and waits until it is ready.
    pub fn start_ready(world: &World, seeds: &[&Gateway]) -> Self {
        let gateway = Self::start(world, seeds);
        wait_until("readiness", || gateway.is_ready());
        gateway
    }

    /// Starts an instance whose grace period no request of a test outlasts, and waits until it is
    /// ready.
    pub fn start_with_ample_grace(world: &World, seeds: &[&Gateway]) -> Self {
        let settings = "domain = \"d1\"\n[stop]\ngrace = \"60s\"";
        let gateway = Self::start_as(settings, world.store.listen().unwrap(), seeds);
        wait_until("readiness", || gateway.is_ready());
        gateway
    }

    /// Kills the process and starts it again with the same settings.
    pub fn kill_and_start(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        self.child = spawn(&self.settings, &self.lines);
    }

    /// Waits for the end of the process and starts it again with the same settings.
    pub fn wait_and_start(&mut self) {
        self.child.wait().unwrap();
        self.child = spawn(&self.settings, &self.lines);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Identifier of the process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    /// Whether the readiness check of the instance succeeds.
    pub fn is_ready(&self) -> bool {
        let at = SocketAddr::from((self.ip, READINESS));
        send_request(at, "GET /-/ready HTTP/1.1\r\nHost: x\r\n", b"").status == 200
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CALLERS))
    }

    /// Where callers ask for addresses.
    pub fn directory(&self) -> SocketAddr {
        SocketAddr::from((self.ip, ADDRESSES))
    }

    /// Where other instances send datagrams.
    pub fn peers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, PEERS))
    }

    /// The answer to a caller that resolves the name of its service to addresses.
    pub fn address_answer(&self) -> Value {
        let at = SocketAddr::from((self.ip, ADDRESSES));
        let head = "GET /-/resolve?name=h.example&zone=d1 HTTP/1.1\r\nHost: x\r\n";
        serde_json::from_slice(&send_request(at, head, b"").body).unwrap_or_default()
    }

    /// Waits until this instance knows of `count` evacuated failure domains.
    pub fn wait_for_evacuated(&self, count: usize) {
        let line = format!("galenapath_evacuated_domains {count}\n");
        wait_until(&line, || self.metrics().contains(&line));
    }

    /// Waits until this instance counts `count` others as reachable.
    pub fn wait_for_peers(&self, count: usize) {
        let line = format!("galenapath_peers {count}\n");
        wait_until(&line, || self.metrics().contains(&line));
    }

    /// Rewrites the settings file as the settings at the first start followed by `more`.
    pub fn change_settings(&self, more: &str) {
        let text = format!("{}\n{more}", self.base_settings);
        std::fs::write(&self.settings, text).unwrap();
    }

    /// The settings at the first start.
    pub fn settings_text(&self) -> &str {
        &self.base_settings
    }

    /// Replaces the settings file.
    pub fn rewrite_settings(&self, text: &str) {
        std::fs::write(&self.settings, text).unwrap();
    }

    /// The addresses in the answer to a caller that resolves the name of its service.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let body = self.address_answer();
        let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
        addresses.iter().filter_map(|text| text.as_str()?.parse().ok()).collect()
    }

    /// Sends a lookup.
    pub fn send_lookup(&self, id: &str) -> Answer {
        self.request("GET", "/look/1", id, 1_500, b"")
    }

    /// Sends a filing.
    pub fn send_filing(&self, id: &str) -> Answer {
        self.request("POST", "/file/1", id, 1_500, b"a filing")
    }

    /// Sends a request with the identifier `id` and a caller timeout of `timeout_ms`.
    pub fn request(
        &self,
        method: &str,
        path: &str,
        id: &str,
        timeout_ms: u64,
        body: &[u8],
    ) -> Answer {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\n\
             X-Request-Deadline-Ms: {timeout_ms}\r\n"
        );
        send_request(self.callers(), &head, body)
    }

    /// Where operators ask for metrics.
    pub fn metrics_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, METRICS))
    }

    /// Where the platform asks for readiness.
    pub fn readiness_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, READINESS))
    }

    /// Where callers ask for addresses.
    pub fn directory_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, ADDRESSES))
    }

    /// Metrics as text.
    pub fn metrics(&self) -> String {
        let answer =
            send_request(self.metrics_address(), "GET /metrics HTTP/1.1\r\nHost: x\r\n", b"");
        String::from_utf8_lossy(&answer.body).into_owned()
    }

    /// Value of a metric without labels; zero if there is none.
    pub fn metric(&self, name: &str) -> u64 {
        let metrics = self.metrics();
        let value = metrics.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
        value.unwrap_or(0)
    }

    /// Log lines so far, as JSON objects.
    pub fn log(&self) -> Vec<Value> {
        let lines = self.lines.lock().unwrap();
        lines.iter().map(|line| serde_json::from_str(line).expect(line)).collect()
    }

    /// The log line about the end of a request.
    pub fn log_of(&self, id: &str) -> Value {
        let mut found = Value::Null;
        wait_until("the log line", || {
            found = self.log().into_iter().find(|line| line["request"] == id).unwrap_or_default();
            !found.is_null()
        });
        found
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("log of instance {}:\n{}", self.ip, self.lines.lock().unwrap().concat());
        }
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn start_process(settings: &Path) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_galenapath"));
    command.arg("gateway").arg("--settings").arg(settings).stdout(Stdio::piped());
    command.spawn().unwrap()
}

fn spawn(settings: &Path, lines: &Arc<Mutex<Vec<String>>>) -> Child {
    let mut child = start_process(settings);
    let stdout = child.stdout.take().unwrap();
    let lines = Arc::clone(lines);
    std::thread::spawn(move || {
        let mut output = BufReader::new(stdout);
        let mut line = String::new();
        // A process that ends may leave the last line unfinished.
        while output.read_line(&mut line).is_ok_and(|n| n > 0) && line.ends_with('\n') {
            lines.lock().unwrap().push(std::mem::take(&mut line));
        }
    });
    child
}
