//! A store and entry instances as processes, and plain HTTP calls on them.

use galenapath_dev::scenario::Programs;
use galenapath_dev::store::Counters;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

pub const TOKEN: &str = "a-token-of-the-operators";
const LIMIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(5);

static CLUSTERS: AtomicU32 = AtomicU32::new(0);

/// A process that is killed when the guard is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An answer.
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

/// Everything that a test started; gone with it.
pub struct Cluster {
    programs: Programs,
    dir: PathBuf,
    pub store: SocketAddr,
    /// Operators' addresses.
    pub instances: Vec<SocketAddr>,
    seeds: Vec<SocketAddr>,
    processes: Vec<Process>,
}

impl Cluster {
    pub fn start(instances: usize) -> Self {
        let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
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
            processes: vec![store],
        };
        (0..instances).for_each(|_| cluster.add_instance());
        cluster.wait(|cluster| cluster.metric_everywhere("members", instances as u64));
        cluster
    }

    pub fn add_instance(&mut self) {
        let n = self.instances.len();
        let [callers, peers, operators] = [free_port(), free_port(), free_port()];
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
        self.wait(|_| try_call(operators, "GET", "/healthz", "", b"").is_some());
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

    pub fn counters(&self) -> Counters {
        let answer = call(self.store, "GET", "/admin/counters", "", b"");
        serde_json::from_slice(&answer.body).unwrap()
    }

    /// Waits until a condition holds.
    pub fn wait(&self, holds: impl Fn(&Self) -> bool) {
        let began = Instant::now();
        while !holds(self) {
            assert!(began.elapsed() < LIMIT, "not within {LIMIT:?}");
            std::thread::sleep(POLL);
        }
    }

    fn metric_everywhere(&self, name: &str, value: u64) -> bool {
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

fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}
