//! Compares the latency of lookups and the processor time of several ways to the same backend
//! servers.
//!
//! Every round runs all ways in turn, so that other load on the machine affects all of them. It has
//! two halves: first a closed loop, for the processor time per request; then a fixed rate, half of
//! what the slowest way reached in the first closed loop, with latencies from the time at which
//! each request was due.
//!
//! `cargo run --release -p galenapath-dev --example overhead -- --host s --way direct=ADDR \
//! --way instance=ADDR,PID`

use clap::Parser;
use hdrhistogram::Histogram;
use std::error::Error;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::str::FromStr;
use std::time::{Duration, Instant};

/// Limit for an answer to arrive.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Clock ticks per second in `/proc/PID/stat` on Linux.
const TICKS_PER_S: f64 = 100.0;

type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

/// Compares ways to the same backend servers.
#[derive(Parser)]
struct Options {
    /// A way, `NAME=ADDR[,PID]`; with a PID, its processor time is reported. The first way is the
    /// baseline of the comparison.
    #[arg(long = "way", required = true)]
    ways: Vec<Way>,
    /// Service, sent as `Host`.
    #[arg(long)]
    host: String,
    /// Connections, with one request at a time on each.
    #[arg(long, default_value_t = 24)]
    connections: u32,
    /// Duration of each half of a round, per way.
    #[arg(long, default_value = "2s", value_parser = humantime::parse_duration)]
    duration: Duration,
    /// Number of rounds.
    #[arg(long, default_value_t = 3)]
    rounds: u32,
}

#[derive(Clone)]
struct Way {
    name: String,
    address: SocketAddr,
    pid: Option<u32>,
}

impl FromStr for Way {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        let parse = || {
            let (name, rest) = text.split_once('=')?;
            let (address, pid) = rest.split_once(',').map_or((rest, None), |(a, p)| (a, Some(p)));
            let pid = pid.map(str::parse).transpose().ok()?;
            Some(Self { name: name.to_owned(), address: address.parse().ok()?, pid })
        };
        parse().ok_or_else(|| format!("expected NAME=ADDR[,PID], not {text}"))
    }
}

/// Totals and latencies of one way.
struct Figures {
    requests: u64,
    seconds: f64,
    cpu: f64,
    times: Histogram<u64>,
}

fn main() -> Result<()> {
    let opts = Options::parse();
    let mut all = Vec::new();
    for _ in &opts.ways {
        let times = Histogram::new(3)?;
        all.push(Figures { requests: 0, seconds: 0.0, cpu: 0.0, times });
    }
    let mut rate = f64::MAX;
    for round in 0..opts.rounds {
        for (way, figures) in opts.ways.iter().zip(&mut all) {
            let (cpu, began) = (cpu_seconds(way.pid)?, Instant::now());
            let requests = run(&opts, way, None)?.len();
            figures.cpu += cpu_seconds(way.pid)? - cpu;
            figures.seconds += began.elapsed().as_secs_f64();
            figures.requests += requests;
            if round == 0 {
                rate = rate.min(requests as f64 / began.elapsed().as_secs_f64() / 2.0);
            }
        }
        for (way, figures) in opts.ways.iter().zip(&mut all) {
            figures.times.add(run(&opts, way, Some(rate))?)?;
        }
    }
    print(&opts, rate, &all);
    Ok(())
}

fn print(opts: &Options, rate: f64, all: &[Figures]) {
    println!("times in ms at {rate:.0} requests/s; others against {}", opts.ways[0].name);
    println!(
        "way            closed loop/s  per core-s    p50    p99  p99.9  added: p50    p99  p99.9"
    );
    for (way, figures) in opts.ways.iter().zip(all) {
        let at = |f: &Figures, quantile| f.times.value_at_quantile(quantile) as f64 / 1e6;
        let times = [0.5, 0.99, 0.999].map(|q| at(figures, q));
        let added = [0.5, 0.99, 0.999].map(|q| at(figures, q) - at(&all[0], q));
        let per_core = if figures.cpu > 0.0 { figures.requests as f64 / figures.cpu } else { 0.0 };
        println!(
            "{:<14} {:>13.0} {per_core:>11.0} {:>6.3} {:>6.3} {:>6.3}  {:>10.3} {:>6.3} {:>6.3}",
            way.name,
            figures.requests as f64 / figures.seconds,
            times[0],
            times[1],
            times[2],
            added[0],
            added[1],
            added[2],
        );
    }
}

/// Sends requests at `rate`, or in a closed loop without one. Returns the latencies of the answered
/// requests in nanoseconds.
fn run(opts: &Options, way: &Way, rate: Option<f64>) -> Result<Histogram<u64>> {
    let mut all = Histogram::new(3)?;
    let interval = rate.map(|rate| Duration::from_secs_f64(f64::from(opts.connections) / rate));
    let start = Instant::now() + Duration::from_millis(20);
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..opts.connections)
            .map(|n| {
                let first =
                    interval.map_or(start, |interval| start + interval * n / opts.connections);
                scope.spawn(move || connection(opts, way, first, interval))
            })
            .collect();
        for thread in threads {
            let times = thread.join().map_err(|_| "a thread panicked")??;
            all.add(times)?;
        }
        Ok(all)
    })
}

fn connection(
    opts: &Options,
    way: &Way,
    first: Instant,
    interval: Option<Duration>,
) -> Result<Histogram<u64>> {
    let mut io = TcpStream::connect(way.address)?;
    io.set_nodelay(true)?;
    io.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let req = format!("GET /sessions HTTP/1.1\r\nHost: {}\r\n\r\n", opts.host);
    let mut times = Histogram::new(3)?;
    let mut due = first;
    let end = first + opts.duration;
    while due < end {
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        io.write_all(req.as_bytes())?;
        read_answer(&mut io)?;
        times.record(due.elapsed().as_nanos() as u64)?;
        due = interval.map_or_else(Instant::now, |interval| due + interval);
    }
    Ok(times)
}

/// Reads one answer with a `Content-Length`; fails if the status is not 200.
fn read_answer(io: &mut TcpStream) -> Result<()> {
    let mut buf = [0; 8 * 1024];
    let mut received = 0;
    loop {
        let n = io.read(&mut buf[received..])?;
        if n == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        received += n;
        let text = String::from_utf8_lossy(&buf[..received]);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        if !head.starts_with("HTTP/1.1 200") {
            return Err(text.into_owned().into());
        }
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(": ")?;
            name.eq_ignore_ascii_case("content-length").then(|| value.parse::<usize>().ok())?
        });
        if body.len() >= length.ok_or("answer without a content-length")? {
            return Ok(());
        }
    }
}

/// Returns the processor time that a process has used so far, in seconds.
fn cpu_seconds(pid: Option<u32>) -> Result<f64> {
    let Some(pid) = pid else { return Ok(0.0) };
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after = stat.rsplit_once(')').ok_or("/proc/PID/stat has no process name")?.1;
    let field = |n: usize| after.split_whitespace().nth(n).and_then(|f| f.parse::<f64>().ok());
    let ticks = field(11).zip(field(12)).map(|(user, system)| user + system);
    Ok(ticks.ok_or("/proc/PID/stat has no processor times")? / TICKS_PER_S)
}
