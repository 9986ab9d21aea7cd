//! Backend servers that send bytes without end.

use crate::support::{Gateway, ProcessorTimes, WAIT_TIMEOUT, World, wait_until};
use galenapath_dev::users_platform::{EndlessPart, ServerFault};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const PARTS: [EndlessPart; 7] = [
    EndlessPart::StatusLine,
    EndlessPart::Fields,
    EndlessPart::Interim,
    EndlessPart::Body,
    EndlessPart::Chunks,
    EndlessPart::Extension,
    EndlessPart::Trailers,
];

/// Memory that an instance may take in addition while servers send without end, in kilobytes. Each
/// of the concurrent requests may hold the part of an answer that is buffered.
const MAX_MORE_KB: u64 = 16 * 1024;

/// Time that a caller states for a request.
const CALLER_TIME: Duration = Duration::from_secs(1);

/// Time after its caller's time by which an answer without end has ended.
const MAX_LATE: Duration = Duration::from_millis(500);

/// Period at which a caller notes the times of the instance.
const SAMPLE_PERIOD: Duration = Duration::from_millis(5);

/// Number of callers that send requests at the same time.
const CALLERS: usize = 8;

fn endless(world: &World) -> usize {
    world.servers.iter().map(|(_, server)| server.endless()).sum()
}

/// A caller that reads the answer to a request.
struct Reader<'a> {
    gateway: &'a Gateway,
    io: TcpStream,
    /// Times of the instance when the first bytes of the answer were read.
    at_first: Option<ProcessorTimes>,
    /// Times of the instance while the answer is read, and when they were taken.
    last: (Instant, ProcessorTimes),
}

impl<'a> Reader<'a> {
    /// Sends a request whose caller waits for [`CALLER_TIME`].
    fn begin(gateway: &'a Gateway, path: &str) -> Self {
        let mut io = TcpStream::connect(gateway.callers()).unwrap();
        let head = format!(
            "GET {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: e\r\n\
             X-Request-Deadline-Ms: {}\r\nConnection: close\r\n\r\n",
            CALLER_TIME.as_millis()
        );
        io.write_all(head.as_bytes()).unwrap();
        Self { gateway, io, at_first: None, last: (Instant::now(), gateway.processor_times()) }
    }

    /// Reads until `end`; returns whether the other end closed before. The last times of the instance
    /// are from before `end`.
    fn read_until(&mut self, end: Instant) -> bool {
        let mut chunk = vec![0; 64 * 1024];
        loop {
            let now = Instant::now();
            let left = end.saturating_duration_since(now);
            if left.is_zero() {
                return false;
            }
            if now - self.last.0 > SAMPLE_PERIOD {
                self.last = (now, self.gateway.processor_times());
            }
            self.io.set_read_timeout(Some(left.min(SAMPLE_PERIOD))).unwrap();
            match self.io.read(&mut chunk) {
                Ok(n) if n > 0 => {
                    self.at_first.get_or_insert_with(|| self.gateway.processor_times());
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                _ => return true,
            }
        }
    }
}

/// Checks that an answer without end ends [`MAX_LATE`] after its caller's time at the latest. Time for
/// which the instance was ready to run and had no processor is added where it delays the end: before
/// the answer began, because the request was read later, and once the caller's time was over. What
/// the instance then does in the processor time that it gets has the same bound in any case.
fn assert_ends(gateway: &Gateway, path: &str, what: &str) {
    let at_begin = gateway.processor_times();
    let began = Instant::now();
    let mut reader = Reader::begin(gateway, path);
    if reader.read_until(began + CALLER_TIME) {
        return;
    }
    let used_at_limit = gateway.processor_times().used;
    let (_, at_limit) = reader.last;
    let at_first = reader.at_first.unwrap_or(at_limit);
    assert!(reader.read_until(began + WAIT_TIMEOUT), "{what} {path} does not end");
    let late = began.elapsed() - CALLER_TIME;
    let at_end = gateway.processor_times();
    let held_up = (at_first.waited - at_begin.waited) + (at_end.waited - at_limit.waited);
    let worked = at_end.used - used_at_limit;
    assert!(late < MAX_LATE + held_up, "{what} {path} late by {late:?}, held up for {held_up:?}");
    assert!(worked < MAX_LATE, "{what} {path} took {worked:?} of processor time to end");
}

/// Sends a lookup, which is answered unless the instance had no processor for [`MAX_LATE`] meanwhile;
/// then it is sent again.
fn warm_up(gateway: &Gateway, n: usize) {
    wait_until("an answered lookup", || {
        let wait = gateway.time_without_processor();
        let id = format!("b{n}");
        let status = gateway.send_lookup(&id).status;
        let held_up = gateway.time_without_processor() - wait;
        let is_excused = status == 200 || held_up > MAX_LATE;
        assert!(is_excused, "{status}, held up for {held_up:?}: {}", gateway.log_of(&id));
        status == 200
    });
}

/// Lets one of two servers of each service send without end, and checks that requests are served,
/// that memory stays bounded, and that no connection stays open for it.
fn assert_bounded(part: EndlessPart) {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    (0..10).for_each(|n| warm_up(&gateway, n));
    let before = gateway.memory_kb();
    let healthy = world.servers_of("look")[1];
    for service in ["look", "file", "load"] {
        world.servers_of(service)[0].set_fault(ServerFault::Endless(part));
    }
    let mut peak = before;
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                let gateway = &gateway;
                scope.spawn(move || {
                    for n in 0..12 {
                        let path = if n % 2 == 0 { "/look/1" } else { "/load/1" };
                        assert_ends(gateway, path, &format!("{part:?} {caller}"));
                    }
                })
            })
            .collect();
        while callers.iter().any(|caller| !caller.is_finished()) {
            peak = peak.max(gateway.memory_kb());
            std::thread::sleep(Duration::from_millis(5));
        }
    });
    assert!(peak < before + MAX_MORE_KB, "{part:?}: {before} kB before, {peak} kB at the peak");
    let ran = healthy.executed_requests().len();
    wait_until("a server that answers", || {
        gateway.send_lookup("after").status == 200 && healthy.executed_requests().len() > ran
    });
    world.servers.iter().for_each(|(_, server)| server.set_fault(ServerFault::None));
    wait_until("the end of all connections without end", || endless(&world) == 0);
}

#[test]
fn answers_without_end_bounded() {
    PARTS.into_iter().for_each(assert_bounded);
}

#[test]
fn load_queries_without_end_do_not_hold_up_requests() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    let slow = world.servers_of("file")[0];
    for part in PARTS {
        slow.set_fault(ServerFault::EndlessProbes(part));
        let mut served = 0;
        for n in 0..20 {
            let began = Instant::now();
            served += usize::from(gateway.send_filing(&format!("{part:?}{n}")).status == 200);
            assert!(began.elapsed() < Duration::from_millis(600), "{part:?}");
        }
        assert_eq!(served, 20, "{part:?}");
    }
}

#[test]
fn answer_without_end_ends_with_its_caller() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for server in world.servers_of("load") {
        server.set_fault(ServerFault::Endless(EndlessPart::Body));
    }
    // The caller leaves while the answer is on its way.
    let mut reader = Reader::begin(&gateway, "/load/1");
    assert!(!reader.read_until(Instant::now() + Duration::from_millis(300)));
    drop(reader);
    wait_until("the end of the answer", || endless(&world) == 0);
}

#[test]
fn answer_without_end_ends_though_its_caller_reads_nothing() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for server in world.servers_of("load") {
        server.set_fault(ServerFault::Endless(EndlessPart::Chunks));
    }
    let mut io = TcpStream::connect(gateway.callers()).unwrap();
    io.write_all(
        b"GET /load/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: e\r\n\
          X-Request-Deadline-Ms: 1000\r\n\r\n",
    )
    .unwrap();
    wait_until("the answer", || endless(&world) > 0);
    // The connection stays open, and the caller reads nothing.
    let began = Instant::now();
    wait_until("the end of the answer", || endless(&world) == 0);
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    drop(io);
}
