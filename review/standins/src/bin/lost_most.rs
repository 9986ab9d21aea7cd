//! Most instances of a fleet are lost at once, those that watch the store among them.
//!
//! Of 30 instances 24 are killed and stay away. Right after that the operator moves a route to another
//! service. A request that the old service runs although it was sent later than `config_apply_ms`
//! after the acknowledgement breaks CONFIG.

use review_standins::backend::{Backend, Faults, Spec};
use review_standins::client::{Request, connect, send_on};
use review_standins::gateway::{Deployment, Gateway};
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::{Outcome, finish, net, with_trouble};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The bound `config_apply_ms` of the grown site.
const CONFIG_APPLY: Duration = Duration::from_millis(2_500);

/// The bound `stable_window_ms`, with a margin.
const CALM: Duration = Duration::from_millis(5_000);

/// Time from the change of the configuration to the end of the traffic.
const AFTER: Duration = Duration::from_secs(20);

/// Number of the address of the first instance, and how many there are.
const FIRST: u8 = 101;
const INSTANCES: u8 = 30;

/// Time between the starts of two machines: all start within 0.3 s.
const START_INTERVAL: Duration = Duration::from_millis(10);

/// Instances that are not killed.
const SURVIVORS: usize = 6;

const DOMAINS: [&str; 3] = ["ikeja", "apapa", "lekki"];

/// Callers, and the pause between two requests of one.
const CALLERS: usize = 12;
const PAUSE: Duration = Duration::from_millis(100);

/// A request and when it was sent.
type Sent = Mutex<Vec<(String, Instant)>>;

fn main() -> ExitCode {
    finish(run())
}

/// A configuration whose route leads to `service`.
fn config(version: u64, service: &str) -> String {
    format!(
        r#"{{"version":"{version:08x}","resources":[
{{"resource_type":"routes","metadata":{{"name":"r-look"}},"spec":{{"host":"jepu9.example",
"prefix":"/look/","kind":"idempotent","timeout_ms":1200,"target_latency_ms":300,
"priority":2,"service":"{service}","max_attempts":2}}}},
{{"resource_type":"services","metadata":{{"name":"before"}},
"spec":{{"health_path":"/health","max_conns":240,"protocol":"h1","tls":false}}}},
{{"resource_type":"services","metadata":{{"name":"after"}},
"spec":{{"health_path":"/health","max_conns":240,"protocol":"h1","tls":false}}}},
{{"resource_type":"limits","metadata":{{}},"spec":{{"max_header_bytes":16384,
"max_body_bytes":1048576,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}]}}"#
    )
}

fn run() -> io::Result<Outcome> {
    let usage = || io::Error::other("usage: lost_most DIR TEMP");
    let dir = std::env::args().nth(1).ok_or_else(usage)?;
    let temp = std::env::args().nth(2).ok_or_else(usage)?;
    let record = Arc::new(Record::default());
    let store = Store::start(net::ip(1))?;
    store.put("op/config", &config(1, "before"));
    let before = start_backends(&store, "before", 40)?;
    let after = start_backends(&store, "after", 50)?;
    let numbers: Vec<u8> = (FIRST..FIRST + INSTANCES).collect();
    let deployment = Deployment {
        dir: temp.into(),
        ports: net::free_ports(&numbers)?,
        store: store.address,
        seeds: numbers[..3].to_vec(),
        cores: 0.2,
    };
    let mut gateways = Vec::new();
    for number in numbers {
        gateways.push(deployment.start(number, DOMAINS[usize::from(number) % DOMAINS.len()])?);
        thread::sleep(START_INTERVAL);
    }
    gateways.iter().try_for_each(Gateway::wait_until_ready)?;
    record.say(&format!("{INSTANCES} instances are ready"));
    thread::sleep(CALM);

    // The instances that watch the store go first, and the others in the order of their addresses.
    let (mut lost, others): (Vec<_>, Vec<_>) = gateways.into_iter().partition(is_watching);
    record.say(&format!("{} of them watch the store", lost.len()));
    let mut others = others.into_iter();
    let more = usize::from(INSTANCES) - SURVIVORS - lost.len();
    lost.extend(others.by_ref().take(more));
    let mut survivors: Vec<Gateway> = others.collect();

    let is_over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Sent::default());
    let targets: Vec<SocketAddr> = survivors.iter().map(Gateway::callers).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (record, is_over, sent) = (record.clone(), is_over.clone(), sent.clone());
            let to = targets[n % targets.len()];
            thread::spawn(move || call_on(&record, &is_over, &sent, to, n))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));

    if with_trouble() {
        for gateway in &mut lost {
            gateway.kill()?;
        }
        record.say(&format!("{} instances are killed", lost.len()));
        thread::sleep(Duration::from_millis(50));
    }
    store.put("op/config", &config(2, "after"));
    let acked = Instant::now();
    record.say("version 2 moves the route to another service");
    thread::sleep(AFTER);
    is_over.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    if !survivors.iter_mut().all(Gateway::is_running) {
        return Err(io::Error::other("an instance that was not killed has ended"));
    }
    let sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
    let outcome = judge(&record, acked, &sent, &before, &after);
    record.write(&Path::new(&dir).join("record.txt"))?;
    Ok(outcome)
}

/// Whether an instance watches the store now.
fn is_watching(gateway: &Gateway) -> bool {
    let log = std::fs::read_to_string(&gateway.log).unwrap_or_default();
    let last = log.lines().rfind(|line| line.contains("watching the store"));
    last.is_some_and(|line| !line.contains("no longer"))
}

fn start_backends(store: &Store, service: &str, first: u8) -> io::Result<Vec<Backend>> {
    let mut backends = Vec::new();
    for n in 0..3_u8 {
        let spec = Spec {
            id: format!("i-{service}{n}"),
            service: service.to_owned(),
            domain: DOMAINS[usize::from(n)].to_owned(),
            slots: 6,
            queue: 12,
            work: Duration::from_millis(30),
            tells_load: true,
            faults: Faults::default(),
        };
        let backend = Backend::start(net::ip(first + n), spec)?;
        store.put(&backend.key(), &backend.entry("ready"));
        backends.push(backend);
    }
    Ok(backends)
}

/// A caller that looks up one record after the other on one connection.
fn call_on(record: &Record, is_over: &AtomicBool, sent: &Sent, to: SocketAddr, n: usize) {
    let mut conn = None;
    for count in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{n:02x}{count:06x}");
        let path = format!("/look/{n}/{count}");
        let request = Request {
            method: "GET",
            path: &path,
            host: "jepu9.example",
            id: &id,
            limit_ms: 1_200,
            body: "",
        };
        record.add(&format!("{id} is sent to {to}"));
        sent.lock().unwrap_or_else(PoisonError::into_inner).push((id.clone(), Instant::now()));
        let open = conn.take().map_or_else(|| connect(to), Ok);
        let result = open.and_then(|mut open| {
            let (head, _) = send_on(&mut open, request)?;
            Ok((open, head.status()))
        });
        match result {
            Ok((open, status)) => {
                record.add(&format!("{id} is answered {status}"));
                conn = Some(open);
            }
            Err(e) => record.add(&format!("{id} gets no answer: {e}")),
        }
        thread::sleep(PAUSE);
    }
}

fn judge(
    record: &Record,
    acked: Instant,
    sent: &[(String, Instant)],
    before: &[Backend],
    after: &[Backend],
) -> Outcome {
    for backend in before.iter().chain(after) {
        for run in backend.runs() {
            record.add_at(run.at, &format!("{} runs {}", backend.id(), run.id));
        }
    }
    let run_ids = |backends: &[Backend]| -> BTreeSet<String> {
        backends.iter().flat_map(Backend::runs).map(|run| run.id).collect()
    };
    let (by_old, by_new) = (run_ids(before), run_ids(after));
    let due: Vec<_> = sent.iter().filter(|(_, at)| *at > acked + CONFIG_APPLY).collect();
    let stale: Vec<_> = due.iter().filter(|(id, _)| by_old.contains(id)).collect();
    let last = stale.iter().map(|(_, at)| at.saturating_duration_since(acked).as_millis()).max();
    record.say(&format!(
        "of {} requests that were sent later than {} ms after the acknowledgement, the old service \
         ran {} and the new one {}; the last one of the old service was sent after {} ms",
        due.len(),
        CONFIG_APPLY.as_millis(),
        stale.len(),
        due.iter().filter(|(id, _)| by_new.contains(id)).count(),
        last.unwrap_or(0)
    ));
    if stale.is_empty() { Outcome::Held } else { Outcome::Broken }
}
