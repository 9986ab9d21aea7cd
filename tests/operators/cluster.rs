//! A store and entry instances as processes, and plain HTTP calls on them.

#![allow(dead_code, reason = "each test binary uses some")]

use galenapath_dev::scenario::Programs;
use galenapath_dev::store::Counters;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

pub const TOKEN: &str = "a-token-of-the-operators";
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const FIRST_PORT: u16 = 10_000;
const POLL: Duration = Duration::from_millis(5);

static NEXT_CLUSTER: AtomicU32 = AtomicU32::new(0);

/// A process that is killed when the guard is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An answer to an HTTP call.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// A store and instances; dropping it kills them and, unless the test panics, removes their files.
pub struct Cluster {
    programs: Programs,
    dir: PathBuf,
    pub store: SocketAddr,
    /// Addresses of the operators' interfaces.
    pub instances: Vec<SocketAddr>,
    seeds: Vec<SocketAddr>,
    addresses: Addresses,
    processes: Vec<Process>,
}

impl Cluster {
    pub fn start(instances: usize) -> Self {
        let number = NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed);
        let name = format!("operators-{}-{number}", std::process::id());
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&dir).unwrap();
        std::fs::write(dir.join("token"), format!("{TOKEN}\n")).unwrap();
        let programs = Programs::beside_test().unwrap();
        let store = Command::new(&programs.store).stdout(Stdio::piped()).spawn();
        let mut store = Process(store.unwrap());
        let mut line = String::new();
        BufReader::new(store.0.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening ").unwrap().parse().unwrap();
        let mut cluster = Self {
            programs,
            dir,
            store: address,
            instances: Vec::new(),
            seeds: Vec::new(),
            addresses: Addresses::new(number),
            processes: vec![store],
        };
        (0..instances).for_each(|_| cluster.add_instance());
        cluster.wait_until(|cluster| cluster.has_metric_everywhere("members", instances as u64));
        cluster
    }

    pub fn add_instance(&mut self) {
        let n = self.instances.len();
        let addresses = &mut self.addresses;
        let [callers, peers, operators] =
            [addresses.next_free(), addresses.next_free(), addresses.next_free()];
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let settings = format!(
            "[instance]\nname = \"e{n}\"\ndomain = \"d{}\"\n[listen]\ncallers = \"{callers}\"\n\
             peers = \"{peers}\"\noperators = \"{operators}\"\nseeds = [{}]\n\
             [platform]\naddress = \"{}\"\n[operators]\ntoken_file = \"{}\"\n\
             [log]\nlevel = \"warn\"\n",
            n % 3,
            seeds.join(", "),
            self.store,
            self.dir.join("token").display(),
        );
        let file = self.dir.join(format!("e{n}.toml"));
        std::fs::write(&file, settings).unwrap();
        let log = std::fs::File::create(self.dir.join(format!("e{n}.log"))).unwrap();
        let mut command = Command::new(&self.programs.instance);
        let child = command.arg("--settings").arg(file).stderr(log).spawn().unwrap();
        self.processes.push(Process(child));
        self.instances.push(operators);
        self.seeds.push(peers);
        self.wait_until(|_| try_call(operators, "GET", "/healthz", "", b"").is_some());
    }

    pub fn get(&self, n: usize, path: &str) -> Answer {
        call(self.instances[n], "GET", path, "", b"")
    }

    pub fn change(&self, n: usize, id: &str, base: u64, change: Value) -> Answer {
        let req = json!({ "id": id, "author": "ada", "base": base, "change": change });
        let head = format!("authorization: Bearer {TOKEN}\r\n");
        call(self.instances[n], "POST", "/v1/changes", &head, req.to_string().as_bytes())
    }

    pub fn version(&self, n: usize) -> u64 {
        self.get(n, "/v1/status").json()["version"].as_u64().unwrap()
    }

    /// Runs `galenactl` against an instance, with the token.
    pub fn galenactl(&self, n: usize, args: &[&str]) -> Output {
        let mut command = Command::new(&self.programs.operator);
        command.arg("--instance").arg(self.instances[n].to_string());
        command.arg("--token-file").arg(self.dir.join("token"));
        command.args(args).output().unwrap()
    }

    /// Path of a file in the cluster's directory.
    pub fn file(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    pub fn counters(&self) -> Counters {
        let answer = call(self.store, "GET", "/admin/counters", "", b"");
        serde_json::from_slice(&answer.body).unwrap()
    }

    /// Waits until a condition holds; panics with the logs of all instances after [`WAIT_TIMEOUT`].
    pub fn wait_until(&self, holds: impl Fn(&Self) -> bool) {
        let began = Instant::now();
        while !holds(self) {
            assert!(
                began.elapsed() < WAIT_TIMEOUT,
                "condition not met within {WAIT_TIMEOUT:?}: {}",
                self.logs()
            );
            std::thread::sleep(POLL);
        }
    }

    fn logs(&self) -> String {
        let log = |n| std::fs::read_to_string(self.dir.join(format!("e{n}.log")));
        (0..self.instances.len())
            .map(|n| format!("e{n}: {}\n", log(n).unwrap_or_default()))
            .collect()
    }

    fn has_metric_everywhere(&self, name: &str, value: u64) -> bool {
        let line = format!("galenapath_{name} {value}");
        let has = |n| {
            let text = String::from_utf8(self.get(n, "/metrics").body).unwrap();
            text.lines().any(|l| l == line)
        };
        (0..self.instances.len()).all(has)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.processes.clear();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

pub fn call(to: SocketAddr, method: &str, path: &str, head: &str, body: &[u8]) -> Answer {
    try_call(to, method, path, head, body).unwrap()
}

fn try_call(to: SocketAddr, method: &str, path: &str, head: &str, body: &[u8]) -> Option<Answer> {
    let mut io = TcpStream::connect(to).ok()?;
    let len = body.len();
    write!(io, "{method} {path} HTTP/1.1\r\nhost: x\r\n{head}content-length: {len}\r\n\r\n")
        .ok()?;
    io.write_all(body).ok()?;
    let mut reader = BufReader::new(io);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length?.parse().ok()?];
    reader.read_exact(&mut body).ok()?;
    Some(Answer { status, head, body })
}

/// Addresses on a loopback IP that only this cluster uses. The ports are below those that the
/// system assigns to outgoing connections, so that no other process takes one before the instance starts.
struct Addresses {
    ip: Ipv4Addr,
    next: u16,
}

impl Addresses {
    fn new(number: u32) -> Self {
        let seed = [std::process::id().to_be_bytes(), number.to_be_bytes()].concat();
        let [a, b, c, ..] = galenapath_protocol::hash64(0, &seed).to_be_bytes();
        Self { ip: Ipv4Addr::new(127, a.clamp(1, 254), b, c.clamp(2, 254)), next: FIRST_PORT }
    }

    fn next_free(&mut self) -> SocketAddr {
        loop {
            let address = SocketAddr::new(self.ip.into(), self.next);
            self.next += 1;
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    }
}
