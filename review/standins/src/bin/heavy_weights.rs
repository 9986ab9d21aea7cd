//! A configuration splits the routes by weights that add up to a billion.
//!
//! Three instances serve six routes. A new version splits each of them over two services, nine to one. Requests that have no answer half a second after their route's `timeout_ms` break CONFIG.

use review_standins::backend::{Backend, Faults, Spec};
use review_standins::client::{Request, connect, send_on};
use review_standins::gateway::{Deployment, Gateway};
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::{Outcome, finish, net, with_trouble};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The bound `stable_window_ms`, with a margin.
const CALM: Duration = Duration::from_millis(4_000);

/// Time from the change of the configuration to the end of the traffic.
const AFTER: Duration = Duration::from_secs(30);

/// Numbers of the addresses of the instances.
const INSTANCES: [u8; 3] = [11, 12, 13];

/// The routes, all of them split by the new version.
const ROUTES: [&str; 6] = [
    "record-lookup",
    "dossier-pull",
    "plant-list",
    "notice-list",
    "inspector-list",
    "drawing-list",
];

/// `timeout_ms` of the routes, and how long callers wait.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(800);
const CALLER_LIMIT_MS: u64 = 30_000;

/// Time after the route's timeout by which the answer has to be there.
const SLACK: Duration = Duration::from_millis(500);

/// Callers, and the pause between two requests of one.
const CALLERS: usize = 24;
const PAUSE: Duration = Duration::from_millis(100);

/// Weights of nine to one.
const SMALL: [u32; 2] = [90, 10];
const LARGE: [u32; 2] = [900_000_000, 100_000_000];

/// An answer: when its request was sent, and how long it took.
struct Answered {
    sent: Instant,
    took: Duration,
}

fn main() -> ExitCode {
    finish(run())
}

/// A configuration whose routes are split by `weights`, or not at all.
fn config(version: u64, weights: Option<[u32; 2]>) -> String {
    let mut resources = Vec::new();
    for name in ROUTES {
        let to = match weights {
            None => "\"service\":\"s0\"".to_owned(),
            Some([a, b]) => format!(
                "\"traffic_split\":[{{\"service\":\"s0\",\"weight\":{a}}},\
                 {{\"service\":\"s1\",\"weight\":{b}}}]"
            ),
        };
        resources.push(format!(
            "{{\"resource_type\":\"routes\",\"metadata\":{{\"name\":\"r-{name}\"}},\
             \"spec\":{{\"host\":\"hulo84.example\",\"prefix\":\"/{name}/\",\
             \"kind\":\"idempotent\",\"timeout_ms\":{},\"target_latency_ms\":400,\
             \"priority\":1,{to},\"max_attempts\":2}}}}",
            ROUTE_TIMEOUT.as_millis()
        ));
    }
    for name in ["s0", "s1"] {
        resources.push(format!(
            "{{\"resource_type\":\"services\",\"metadata\":{{\"name\":\"{name}\"}},\
             \"spec\":{{\"health_path\":\"/health\",\"max_conns\":240,\"protocol\":\"h1\",\
             \"tls\":false}}}}"
        ));
    }
    resources.push(
        "{\"resource_type\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,\
         \"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
            .to_owned(),
    );
    format!("{{\"version\":\"{version:08x}\",\"resources\":[{}]}}", resources.join(","))
}

fn run() -> io::Result<Outcome> {
    let usage = || io::Error::other("usage: heavy_weights DIR TEMP");
    let dir = std::env::args().nth(1).ok_or_else(usage)?;
    let temp = std::env::args().nth(2).ok_or_else(usage)?;
    let record = Arc::new(Record::default());
    let store = Store::start(net::ip(1))?;
    store.put("op/config", &config(1, None));
    let _backends = start_backends(&store)?;
    let deployment = Deployment {
        dir: temp.into(),
        ports: net::free_ports(&INSTANCES)?,
        store: store.address,
        seeds: INSTANCES.to_vec(),
        cores: 0.2,
    };
    let gateways: io::Result<Vec<Gateway>> =
        INSTANCES.iter().map(|number| deployment.start(*number, "ikeja")).collect();
    let mut gateways = gateways?;
    gateways.iter().try_for_each(Gateway::wait_until_ready)?;
    record.say("three instances are ready");

    let is_over = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let targets: Vec<SocketAddr> = gateways.iter().map(Gateway::callers).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (record, is_over, answers) = (record.clone(), is_over.clone(), answers.clone());
            let to = targets[n % targets.len()];
            thread::spawn(move || call_on(&record, &is_over, &answers, to, n))
        })
        .collect();
    thread::sleep(CALM);
    let weights = if with_trouble() { LARGE } else { SMALL };
    store.put("op/config", &config(2, Some(weights)));
    let acked = Instant::now();
    record.say(&format!("version 2 splits the routes by {weights:?}"));
    thread::sleep(AFTER);
    is_over.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    if !gateways.iter_mut().all(Gateway::is_running) {
        return Err(io::Error::other("an instance has ended"));
    }
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    let outcome = judge(&record, acked, &answers);
    record.write(&Path::new(&dir).join("record.txt"))?;
    Ok(outcome)
}

fn start_backends(store: &Store) -> io::Result<Vec<Backend>> {
    let mut backends = Vec::new();
    for n in 0..8_u8 {
        let spec = Spec {
            id: format!("i-7f3a91c{n}"),
            service: format!("s{}", n % 2),
            domain: "ikeja".to_owned(),
            slots: 6,
            queue: 12,
            work: Duration::from_millis(50),
            tells_load: true,
            faults: Faults::default(),
        };
        let backend = Backend::start(net::ip(50 + n), spec)?;
        store.put(&backend.key(), &backend.entry("ready"));
        backends.push(backend);
    }
    Ok(backends)
}

/// A caller that sends one request after the other on one connection.
fn call_on(
    record: &Record,
    is_over: &AtomicBool,
    answers: &Mutex<Vec<Answered>>,
    to: SocketAddr,
    n: usize,
) {
    let mut conn = None;
    for count in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{n:02x}{count:06x}");
        let path = format!("/{}/{n}/{count}", ROUTES[count % ROUTES.len()]);
        let request = Request {
            method: "GET",
            path: &path,
            host: "hulo84.example",
            id: &id,
            limit_ms: CALLER_LIMIT_MS,
            body: "",
        };
        let sent = Instant::now();
        record.add(&format!("{id} is sent to {to}: GET {path}"));
        let open = conn.take().map_or_else(|| connect(to), Ok);
        let result = open.and_then(|mut open| {
            let (head, _) = send_on(&mut open, request)?;
            Ok((open, head.status()))
        });
        let took = sent.elapsed();
        match result {
            Ok((open, status)) => {
                record.add(&format!("{id} is answered {status} after {} ms", took.as_millis()));
                conn = Some(open);
            }
            Err(e) => record.add(&format!("{id} gets no answer: {e}")),
        }
        answers.lock().unwrap_or_else(PoisonError::into_inner).push(Answered { sent, took });
        thread::sleep(PAUSE);
    }
}

fn judge(record: &Record, acked: Instant, answers: &[Answered]) -> Outcome {
    // Requests under way when the configuration changes are left out.
    let after: Vec<&Answered> = answers.iter().filter(|answer| answer.sent > acked).collect();
    let reached: Vec<_> = after.iter().filter(|answer| answer.took >= ROUTE_TIMEOUT).collect();
    let late = reached.iter().filter(|answer| answer.took > ROUTE_TIMEOUT + SLACK).count();
    let longest = after.iter().map(|answer| answer.took).max().unwrap_or_default();
    record.say(&format!(
        "of {} requests after the change, {} had no answer at their route's timeout and {late} none \
         half a second later; the longest took {} ms",
        after.len(),
        reached.len(),
        longest.as_millis()
    ));
    // Eight or more, over a quarter of those that last so long, and more than half.
    if late >= 8 && late * 2 > reached.len() { Outcome::Broken } else { Outcome::Held }
}
