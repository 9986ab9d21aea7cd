//! A backend server leaves while the instances that watch the store are lost.
//!
//! One instance runs, and seven are added. Then the instances that have used the store are killed: the
//! first one, and those that watch the store now. Right after that a server leaves without reporting
//! `draining`: its entry is removed. It serves for `drain_ms` and a little longer, and exits.
//! Requests that reach it later than `drain_ms` break DRAIN. That is played several times, each time
//! with a new fleet.

use review_standins::backend::{Backend, Faults, Spec};
use review_standins::client::{Request, send};
use review_standins::gateway::{Deployment, Gateway};
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::{Outcome, finish, net, with_trouble};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The bound `drain_ms` of the small site.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time for which the server that leaves goes on beyond `drain_ms`.
const A_LITTLE_LONGER: Duration = Duration::from_millis(800);

/// Time for which the first instance runs alone.
const ALONE: Duration = Duration::from_millis(1_500);

/// The bound `stable_window_ms`, with a margin.
const CALM: Duration = Duration::from_millis(4_000);

/// Number of times that the case is played.
const ROUNDS: u8 = 7;

/// Time between the starts of two machines: all start within 0.3 s.
const START_INTERVAL: Duration = Duration::from_millis(27);

/// Number of the address of the first instance in the first round, and of instances in each.
const FIRST: u8 = 11;
const INSTANCES: u8 = 8;

/// The largest share of the instances that is killed at once, as in the site file.
const MAX_KILLED: f64 = 0.55;

/// Callers, and the pause between two requests of one.
const CALLERS: usize = 12;
const PAUSE: Duration = Duration::from_millis(60);

const CONFIG: &str = r#"{"version":"00000001","resources":[
{"resource_type":"routes","metadata":{"name":"r-file"},"spec":{"host":"hulo84.example",
"prefix":"/file/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":400,
"priority":1,"service":"cert-office","max_attempts":2}},
{"resource_type":"services","metadata":{"name":"cert-office"},
"spec":{"health_path":"/health","max_conns":240,"protocol":"h1","tls":false}},
{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,
"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]}"#;

fn main() -> ExitCode {
    finish(run())
}

fn run() -> io::Result<Outcome> {
    let usage = || io::Error::other("usage: left_server DIR TEMP");
    let dir = std::env::args().nth(1).ok_or_else(usage)?;
    let temp = std::env::args().nth(2).ok_or_else(usage)?;
    let record = Arc::new(Record::default());
    let mut broken = 0;
    for round in 0..ROUNDS {
        record.say(&format!("round {}", round + 1));
        if play(&record, Path::new(&temp), FIRST + round * INSTANCES)? > 0 {
            broken += 1;
        }
    }
    record.say(&format!("the rule was broken in {broken} of {ROUNDS} rounds"));
    record.write(&Path::new(&dir).join("record.txt"))?;
    Ok(if broken > 0 { Outcome::Broken } else { Outcome::Held })
}

/// Plays one round, whose instances have addresses from the number `first` on. Returns the number of
/// requests that reached the server too late.
fn play(record: &Arc<Record>, temp: &Path, first: u8) -> io::Result<usize> {
    let store = Store::start(net::ip(1))?;
    store.put("op/config", CONFIG);
    let backends = start_backends(&store)?;
    let numbers: Vec<u8> = (first..first + INSTANCES).collect();
    let deployment = Deployment {
        dir: temp.to_owned(),
        ports: net::free_ports(&numbers)?,
        store: store.address,
        seeds: vec![first],
        cores: 0.2,
    };
    let mut gateways = start_all(&deployment, &numbers[..1])?;
    thread::sleep(ALONE);
    gateways.extend(start_all(&deployment, &numbers[1..])?);
    record.add("all instances are ready");
    thread::sleep(CALM);
    let (mut used, mut others): (Vec<Gateway>, Vec<Gateway>) =
        gateways.into_iter().partition(has_used_store);
    let share = used.len() as f64 / (used.len() + others.len()) as f64;
    if share > MAX_KILLED {
        return Err(io::Error::other(format!("{} instances have used the store", used.len())));
    }

    let is_over = Arc::new(AtomicBool::new(false));
    let targets: Vec<SocketAddr> = others.iter().map(Gateway::callers).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (record, is_over) = (record.clone(), is_over.clone());
            let to = targets[n % targets.len()];
            thread::spawn(move || call_on(&record, &is_over, to, first, n))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));

    if with_trouble() {
        for gateway in &mut used {
            gateway.kill()?;
        }
        record.say(&format!("{} instances that have used the store are killed", used.len()));
        thread::sleep(Duration::from_millis(50));
    }
    let leaving = &backends[0];
    store.delete(&leaving.key());
    let acked = Instant::now();
    record.add(&format!("the entry of {} is removed", leaving.id()));
    thread::sleep(DRAIN + A_LITTLE_LONGER);
    leaving.end();
    record.add(&format!("{} exits", leaving.id()));
    thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| drop(caller.join()));

    if !others.iter_mut().all(Gateway::is_running) {
        return Err(io::Error::other("an instance that was not killed has ended"));
    }
    for backend in &backends {
        for run in backend.runs() {
            let cut = if run.is_cut { ", cut by the server's exit" } else { "" };
            record.add_at(run.at, &format!("{} runs {}{cut}", backend.id(), run.id));
        }
    }
    judge(record, leaving, acked);
    Ok(late_runs(leaving, acked))
}

fn start_backends(store: &Store) -> io::Result<Vec<Backend>> {
    let mut backends = Vec::new();
    for n in 0..4_u8 {
        let spec = Spec {
            id: format!("i-7f3a91c{n}"),
            service: "cert-office".to_owned(),
            domain: "ikeja".to_owned(),
            slots: 6,
            queue: 12,
            work: Duration::from_millis(130),
            tells_load: true,
            faults: Faults::default(),
        };
        let backend = Backend::start(net::ip(50 + n), spec)?;
        store.put(&backend.key(), &backend.entry("ready"));
        backends.push(backend);
    }
    Ok(backends)
}

/// Whether the log of an instance shows that it has read or watched the store.
fn has_used_store(gateway: &Gateway) -> bool {
    let log = std::fs::read_to_string(&gateway.log).unwrap_or_default();
    log.contains("watching the store") || log.contains("\"source\":\"store\"")
}

fn start_all(deployment: &Deployment, numbers: &[u8]) -> io::Result<Vec<Gateway>> {
    let mut started = Vec::new();
    for number in numbers {
        started.push(deployment.start(*number, "ikeja")?);
        thread::sleep(START_INTERVAL);
    }
    started.iter().try_for_each(Gateway::wait_until_ready)?;
    Ok(started)
}

/// A caller that files one certificate after the other.
fn call_on(record: &Record, is_over: &AtomicBool, to: SocketAddr, first: u8, n: usize) {
    for count in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{first:02x}{n:02x}{count:06x}");
        let path = format!("/file/{n}/{count}");
        let request = Request {
            method: "POST",
            path: &path,
            host: "hulo84.example",
            id: &id,
            limit_ms: 1_500,
            body: "certificate",
        };
        record.add(&format!("{id} is sent to {to}"));
        match send(to, request) {
            Ok((head, _)) => record.add(&format!("{id} is answered {}", head.status())),
            Err(e) => record.add(&format!("{id} gets no answer: {e}")),
        }
        thread::sleep(PAUSE);
    }
}

fn late_runs(leaving: &Backend, acked: Instant) -> usize {
    leaving.runs().iter().filter(|run| run.at > acked + DRAIN).count()
}

fn judge(record: &Record, leaving: &Backend, acked: Instant) {
    let runs = leaving.runs();
    let late = late_runs(leaving, acked);
    let last = runs.iter().map(|run| run.at).max();
    let last = last.map_or(0, |at| at.saturating_duration_since(acked).as_millis());
    let cut = runs.iter().filter(|run| run.is_cut && run.at > acked + DRAIN).count();
    record.say(&format!(
        "{} got {late} requests later than {} ms after the removal of its entry was acknowledged, \
         the last one after {last} ms; {cut} of them were cut by its exit",
        leaving.id(),
        DRAIN.as_millis(),
    ));
}
