//! An extra copy of a server's rejection arrives late, where the answer to the next filing is
//! expected.
//!
//! Two instances serve filings on five servers. The servers reject part of the requests, and of a few
//! answers of three of them a second copy follows late. A filing that runs more than once breaks TWICE;
//! one that is answered 503 and has run breaks REFUSED.

use review_standins::backend::{Backend, Faults, Spec};
use review_standins::client::{Request, connect, send_on};
use review_standins::gateway::{Deployment, Gateway};
use review_standins::http::Conn;
use review_standins::record::Record;
use review_standins::store::Store;
use review_standins::{Outcome, finish, net, with_trouble};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Time of the calm traffic before the disruption.
const CALM: Duration = Duration::from_secs(4);

/// Number of times that the disruption comes, and the pause between.
const ROUNDS: usize = 5;
const ROUND_PAUSE: Duration = Duration::from_secs(2);

/// How long the servers reject requests, and how long copies of answers follow meanwhile: the
/// longest of the site file.
const SHED_FOR: Duration = Duration::from_millis(8_500);
const EXTRA_FOR: Duration = Duration::from_millis(5_000);

/// Number of the servers, and of those that send copies: the share of the site file.
const SERVERS: u8 = 5;
const GARBLING: usize = 3;

/// Numbers of the addresses of the instances.
const INSTANCES: [u8; 2] = [11, 12];

/// Share of the requests that the servers reject, and of the answers that are followed by a second
/// copy: the doses of the site file.
const SHED: f64 = 0.55;
const EXTRA: f64 = 0.03;

/// Callers, and the pause between two requests of one.
const CALLERS: usize = 24;
const PAUSE: Duration = Duration::from_millis(60);

/// Statuses which promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What the identifier of a caller's second attempt ends with.
const RETRY: &str = "r";

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

/// The status of the answer to each request; 0 without an answer.
type Answers = Mutex<BTreeMap<String, u16>>;

fn run() -> io::Result<Outcome> {
    let usage = || io::Error::other("usage: late_rejection DIR TEMP");
    let dir = std::env::args().nth(1).ok_or_else(usage)?;
    let temp = std::env::args().nth(2).ok_or_else(usage)?;
    let record = Arc::new(Record::default());
    let store = Store::start(net::ip(1))?;
    store.put("op/config", CONFIG);
    let backends = start_backends(&store)?;
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
    record.say("two instances are ready");

    let is_over = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Answers::default());
    let targets: Vec<SocketAddr> = gateways.iter().map(Gateway::callers).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (record, is_over, answers) = (record.clone(), is_over.clone(), answers.clone());
            let to = targets[n % targets.len()];
            thread::spawn(move || call_on(&record, &is_over, &answers, to, n))
        })
        .collect();
    thread::sleep(CALM);
    let extra = if with_trouble() { EXTRA } else { 0.0 };
    for _ in 0..ROUNDS {
        set_faults(&backends, Faults { shed: SHED, extra });
        set_faults(&backends[GARBLING..], Faults { shed: SHED, extra: 0.0 });
        record.add("servers reject requests, and copies of answers follow");
        thread::sleep(EXTRA_FOR);
        set_faults(&backends, Faults { shed: SHED, extra: 0.0 });
        thread::sleep(SHED_FOR - EXTRA_FOR);
        set_faults(&backends, Faults::default());
        record.add("servers are well");
        thread::sleep(ROUND_PAUSE);
    }
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    if !gateways.iter_mut().all(Gateway::is_running) {
        return Err(io::Error::other("an instance has ended"));
    }
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    let outcome = judge(&record, &backends, &answers);
    record.write(&Path::new(&dir).join("record.txt"))?;
    Ok(outcome)
}

fn set_faults(backends: &[Backend], faults: Faults) {
    backends.iter().for_each(|backend| backend.set_faults(faults));
}

fn start_backends(store: &Store) -> io::Result<Vec<Backend>> {
    let mut backends = Vec::new();
    for n in 0..SERVERS {
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

/// A caller that files one certificate after the other on one connection. It tries again once after
/// an answer which promises that the filing has not run.
fn call_on(record: &Record, is_over: &AtomicBool, answers: &Answers, to: SocketAddr, n: usize) {
    let mut conn = None;
    for count in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{n:02x}{count:06x}");
        let path = format!("/file/{n}/{count}");
        let retry_after = file(record, answers, &mut conn, to, &id, &path);
        if let Some(pause) = retry_after {
            thread::sleep(pause);
            file(record, answers, &mut None, to, &format!("{id}{RETRY}"), &path);
        }
        thread::sleep(PAUSE);
    }
}

/// Files one certificate. Returns when to come back if the answer promises that it has not run.
fn file(
    record: &Record,
    answers: &Answers,
    conn: &mut Option<Conn>,
    to: SocketAddr,
    id: &str,
    path: &str,
) -> Option<Duration> {
    let request = Request {
        method: "POST",
        path,
        host: "hulo84.example",
        id,
        limit_ms: 1_500,
        body: "certificate",
    };
    record.add(&format!("{id} is sent to {to}"));
    let open = conn.take().map_or_else(|| connect(to), Ok);
    let result = open.and_then(|mut open| {
        let (head, _) = send_on(&mut open, request)?;
        Ok((open, head))
    });
    let (status, retry_after) = match result {
        Ok((open, head)) => {
            record.add(&format!("{id} is answered {}", head.status()));
            *conn = Some(open);
            let seconds = head.get("retry-after").and_then(|text| text.parse().ok());
            (head.status(), Duration::from_secs_f64(seconds.unwrap_or(0.0)))
        }
        Err(e) => {
            record.add(&format!("{id} gets no answer: {e}"));
            (0, Duration::ZERO)
        }
    };
    answers.lock().unwrap_or_else(PoisonError::into_inner).insert(id.to_owned(), status);
    PROMISES.contains(&status).then_some(retry_after)
}

fn judge(record: &Record, backends: &[Backend], answers: &BTreeMap<String, u16>) -> Outcome {
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for backend in backends {
        for run in backend.runs() {
            record.add_at(run.at, &format!("{} runs {}", backend.id(), run.id));
            runs.entry(run.id).or_default().push(backend.id().to_owned());
        }
    }
    let twice: Vec<_> = runs.iter().filter(|(_, at)| at.len() > 1).collect();
    let is_refused = |id: &String| answers.get(id).is_some_and(|s| PROMISES.contains(s));
    let refused: Vec<_> = runs.iter().filter(|(id, _)| is_refused(id)).collect();
    for (id, at) in &twice {
        let status = answers.get(*id).copied().unwrap_or(0);
        record.add(&format!("TWICE: {id} ran at {}, answered {status}", at.join(" and ")));
    }
    for (id, at) in &refused {
        let status = answers.get(*id).copied().unwrap_or(0);
        record.add(&format!("REFUSED: {id} ran at {}, answered {status}", at.join(" and ")));
    }
    let doubled = refused.iter().filter(|(id, _)| runs.contains_key(&format!("{id}{RETRY}")));
    let doubled = doubled.count();
    let extras: usize = backends.iter().map(Backend::extras).sum();
    let rejections: usize = backends.iter().map(Backend::rejections).sum();
    record.say(&format!(
        "{} attempts, {rejections} rejections, {extras} extra copies: {} attempts ran more than once, \
         {} were refused and ran, {doubled} of these ran again with the caller's retry",
        answers.len(),
        twice.len(),
        refused.len()
    ));
    if twice.is_empty() && refused.is_empty() { Outcome::Held } else { Outcome::Broken }
}
