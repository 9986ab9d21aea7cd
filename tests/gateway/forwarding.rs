//! Requests that an instance without paths to the servers forwards to another one.

use crate::support::{
    Answer, Gateway, WAIT_TIMEOUT, World, config, fleet, read_some, send_request, wait_until,
};
use galenapath_dev::link::LinkFault;
use serde_json::{Value, json};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// A fleet of three whose first instance has lost its paths, and serves lookups and filings through
/// the others.
pub fn cut_fleet(world: &World) -> Vec<Gateway> {
    let gateways = fleet(world);
    for n in 0..10 {
        assert_eq!(gateways[0].send_lookup(&format!("before-l{n}")).status, 200);
        assert_eq!(gateways[0].send_filing(&format!("before-f{n}")).status, 200);
    }
    world.set_paths(&gateways[0], LinkFault::Cut);
    let is_served = |answer: Answer| answer.status == 200;
    wait_until("forwarded requests", || {
        is_served(gateways[0].send_lookup("first-l"))
            && is_served(gateways[0].send_filing("first-f"))
            && is_served(gateways[0].request("GET", "/load/1", "first-d", 1_500, b""))
    });
    gateways
}

/// Value of a metric with labels, by the beginning of its line.
fn metric(gateway: &Gateway, line: &str) -> u64 {
    let metrics = gateway.metrics();
    let value = metrics.lines().find_map(|l| l.strip_prefix(line)?.trim().parse().ok());
    value.unwrap_or(0)
}

#[test]
fn filing_forwarded_runs_at_most_once_though_its_instance_is_killed() {
    let world = World::start_linked();
    let mut gateways = cut_fleet(&world);
    world.servers.iter().for_each(|(_, server)| server.set_work(Duration::from_millis(60)));
    let next = AtomicUsize::new(0);
    let (cut, others) = gateways.split_first_mut().unwrap();
    let answers: Vec<(String, u16)> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..8)
            .map(|_| {
                scope.spawn(|| {
                    let mut answers = Vec::new();
                    while answers.len() < 40 {
                        let id = format!("once{}", next.fetch_add(1, Ordering::Relaxed));
                        answers.push((id.clone(), cut.send_filing(&id).status));
                    }
                    answers
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(300));
        others[0].kill_and_start();
        std::thread::sleep(Duration::from_millis(1_500));
        others[1].kill_and_start();
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    });
    let servers = world.servers_of("file");
    let ran: Vec<String> =
        servers.iter().flat_map(|s| s.executed_requests()).map(|ran| ran.id).collect();
    let answered = answers.iter().filter(|(_, status)| *status == 200).count();
    assert!(answered > answers.len() / 2, "{answers:?}");
    for (id, status) in answers {
        let runs = ran.iter().filter(|ran| **ran == id).count();
        assert!(runs <= 1, "{id} ran {runs} times");
        assert!(status != 503 || runs == 0, "{id} ran, but was reported as not run");
        assert!(status != 200 || runs == 1, "{id} was answered {runs} times");
    }
}

#[test]
fn requests_of_others_than_instances_refused_at_the_peers_address() {
    let world = World::start();
    let gateways = fleet(&world);
    let head = "GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: intruder\r\n";
    let forged = "Galenapath-Forward: mwHDGc0F3KRsb29rAKRsb29rzQGQAqA\r\n";
    for more in ["", forged, "Galenapath-Forward: ?\r\n"] {
        let answer = send_request(gateways[0].peers(), &format!("{head}{more}"), b"");
        assert_eq!(answer.status, 403, "{more}");
    }
    assert_eq!(world.run_count("look"), 0);
    // At a caller's address the header means nothing.
    assert_eq!(send_request(gateways[0].callers(), &format!("{head}{forged}"), b"").status, 200);
}

#[test]
fn request_forwarded_once_and_no_further() {
    let world = World::start_linked();
    let gateways = cut_fleet(&world);
    for gateway in &gateways {
        world.set_paths(gateway, LinkFault::Cut);
    }
    let forwards = || {
        let all = gateways.iter().map(|gateway| {
            let metrics = gateway.metrics();
            let lines = metrics.lines().filter(|l| l.starts_with("galenapath_forwards_total"));
            lines.filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok()).sum::<u64>()
        });
        all.sum::<u64>()
    };
    let before = forwards();
    for n in 0..10 {
        let began = Instant::now();
        let answer = gateways[0].send_lookup(&format!("none{n}"));
        assert_ne!(answer.status, 200);
        assert!(began.elapsed() < Duration::from_secs(2));
    }
    assert!(forwards() - before <= 20, "{} forwards", forwards() - before);
    world.set_paths(&gateways[1], LinkFault::None);
    wait_until("the instance that reaches the servers again", || {
        gateways[0].send_lookup("one").status == 200
    });
}

#[test]
fn caller_that_leaves_ends_its_request_at_the_server() {
    let world = World::start_linked();
    let gateways = cut_fleet(&world);
    world.servers.iter().for_each(|(_, server)| server.set_work(Duration::from_secs(1)));
    let cancelled =
        || world.servers_of("look").iter().map(|server| server.cancelled()).sum::<usize>();
    let before = cancelled();
    let runs = world.run_count("look");
    let mut io = TcpStream::connect(gateways[0].callers()).unwrap();
    io.write_all(
        b"GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: leaves\r\n\
          X-Request-Deadline-Ms: 1500\r\n\r\n",
    )
    .unwrap();
    wait_until("the request to run", || world.run_count("look") > runs);
    drop(io);
    wait_until("the request to end", || cancelled() > before);
}

#[test]
fn large_answer_forwarded_whole() {
    /// More than an instance buffers.
    const SIZE: usize = 3 << 20;
    let world = World::start_linked();
    let gateways = cut_fleet(&world);
    world.servers_of("load").iter().for_each(|server| server.set_body(SIZE));
    let answer = gateways[0].request("GET", "/load/1", "large", 5_000, b"");
    assert_eq!((answer.status, answer.body.len(), answer.is_whole), (200, SIZE, true));
    assert!(answer.header("x-response-signature").is_some());
    assert_eq!(answer.header("galenapath-forward-result"), None);
}

#[test]
fn connection_of_a_caller_stays_open_across_forwarded_requests() {
    let world = World::start_linked();
    let gateways = cut_fleet(&world);
    let mut io = TcpStream::connect(gateways[0].callers()).unwrap();
    io.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    for n in 0..5 {
        let head = format!(
            "GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: kept{n}\r\n\
             X-Request-Deadline-Ms: 1500\r\n\r\n"
        );
        io.write_all(head.as_bytes()).unwrap();
        let mut text = String::new();
        let mut chunk = [0; 4096];
        while !text.ends_with(&"x".repeat(20)) {
            let n = read_some(&mut io, &mut chunk).unwrap();
            assert_ne!(n, 0, "{text}");
            text.push_str(&String::from_utf8_lossy(&chunk[..n]));
        }
        assert!(text.to_ascii_lowercase().contains(&format!("x-attempt-id: kept{n}")), "{text}");
    }
}

/// A configuration whose workspace has a quota.
fn config_with_quota(version: u64, per_second: f64) -> Value {
    let mut config = config(version, &[]);
    config["resources"].as_array_mut().unwrap().push(json!({
        "resource_type": "tenants", "metadata": { "name": "acme" },
        "spec": { "api_keys": ["k-acme"], "priority": 1, "rate_per_s": per_second,
                  "burst": per_second },
    }));
    config
}

#[test]
fn request_forwarded_for_its_workspace_and_charged_once() {
    let world = World::start_linked();
    let gateways = cut_fleet(&world);
    world.store.put("op/config", &config_with_quota(2, 1_000.0));
    for gateway in &gateways {
        wait_until("the configuration", || gateway.metric("galenapath_config_version ") == 2);
    }
    let granted =
        |gateway: &Gateway| metric(gateway, "galenapath_quota_total{result=\"granted\"} ");
    for n in 0..20 {
        let head = format!(
            "GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: keyed{n}\r\n\
             Authorization: Bearer k-acme\r\nX-Tenant: other\r\nX-Request-Deadline-Ms: 1500\r\n"
        );
        assert_eq!(send_request(gateways[0].callers(), &head, b"").status, 200);
    }
    assert_eq!(granted(&gateways[0]), 20);
    assert_eq!(granted(&gateways[1]) + granted(&gateways[2]), 0);
    let servers = world.servers_of("look");
    let ran: Vec<_> = servers
        .iter()
        .flat_map(|server| server.executed_requests())
        .filter(|ran| ran.id.starts_with("keyed"))
        .collect();
    assert_eq!(ran.len(), 20);
    assert!(ran.iter().all(|ran| ran.workspace.as_deref() == Some("acme") && !ran.has_key));
}

#[test]
fn instance_that_stops_finishes_forwarded_requests() {
    let world = World::start_linked();
    let mut gateways = cut_fleet(&world);
    world.servers.iter().for_each(|(_, server)| server.set_work(Duration::from_millis(200)));
    let (cut, others) = gateways.split_first_mut().unwrap();
    let served = AtomicUsize::new(0);
    let statuses: Vec<u16> = std::thread::scope(|scope| {
        let send = |id: String| {
            let status = cut.send_filing(&id).status;
            served.fetch_add(usize::from(status == 200), Ordering::Relaxed);
            status
        };
        let callers: Vec<_> = (0..4)
            .map(|caller| {
                scope.spawn(move || {
                    let ids = (0..12).map(move |n| format!("stop{caller}-{n}"));
                    ids.map(send).collect::<Vec<_>>()
                })
            })
            .collect();
        // Further ones are in flight at each signal.
        wait_until("filings", || served.load(Ordering::Relaxed) > 4);
        for other in others.iter() {
            other.signal("-TERM");
            std::thread::sleep(Duration::from_millis(500));
        }
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    });
    // Rejected at once and truthfully where no instance is left, but never lost.
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    assert!(statuses.iter().filter(|status| **status == 200).count() > 4, "{statuses:?}");
}
