//! Backend servers that send bytes without end.

use crate::support::{Gateway, WAIT_TIMEOUT, World, wait_until};
use galenapath_dev::users_platform::{EndlessPart, ServerFault};
use std::io::{Read, Write};
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

/// Number of callers that send requests at the same time.
const CALLERS: usize = 8;

/// Resident memory of a process in kilobytes.
fn memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

fn endless(world: &World) -> usize {
    world.servers.iter().map(|(_, server)| server.endless()).sum()
}

/// Sends a request and reads for at most `span`; returns whether the other end closed.
fn read_for(gateway: &Gateway, path: &str, span: Duration) -> bool {
    let mut io = TcpStream::connect(gateway.callers()).unwrap();
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: e\r\n\
         X-Request-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n"
    );
    io.write_all(head.as_bytes()).unwrap();
    io.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let end = Instant::now() + span;
    let mut chunk = vec![0; 64 * 1024];
    while Instant::now() < end {
        if !matches!(io.read(&mut chunk), Ok(n) if n > 0) {
            return true;
        }
    }
    false
}

/// Lets one of two servers of each service send without end, and checks that requests are served,
/// that memory stays bounded, and that no connection stays open for it.
fn assert_bounded(part: EndlessPart) {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for n in 0..10 {
        assert_eq!(gateway.send_lookup(&format!("b{n}")).status, 200);
    }
    let before = memory_kb(gateway.pid());
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
                        let began = Instant::now();
                        read_for(gateway, path, WAIT_TIMEOUT);
                        // The caller's own time, and a moment for the end.
                        let took = began.elapsed();
                        assert!(
                            took < Duration::from_millis(1_500),
                            "{part:?} {caller} {path} {took:?}"
                        );
                    }
                })
            })
            .collect();
        while callers.iter().any(|caller| !caller.is_finished()) {
            peak = peak.max(memory_kb(gateway.pid()));
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
    assert!(!read_for(&gateway, "/load/1", Duration::from_millis(300)));
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
