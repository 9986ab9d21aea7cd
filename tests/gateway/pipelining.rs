//! Requests that callers send before the first one is answered, and uploads.

use crate::support::{Gateway, WAIT_TIMEOUT, World, config, read_some, wait_until};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

const WORK: Duration = Duration::from_millis(200);

fn slow_world() -> World {
    let world = World::start();
    world.servers.iter().for_each(|(_, server)| server.set_work(WORK));
    world
}

fn lookup(id: &str) -> String {
    format!(
        "GET /look/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\n\
         X-Request-Deadline-Ms: 5000\r\n\r\n"
    )
}

fn filing(id: &str) -> String {
    format!(
        "POST /file/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\n\
         X-Request-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nfile"
    )
}

/// Sends `text` on a new connection.
fn open(gateway: &Gateway, text: &str) -> TcpStream {
    let mut io = TcpStream::connect(gateway.callers()).unwrap();
    io.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    io.write_all(text.as_bytes()).unwrap();
    io
}

/// Identifiers and statuses of the answers, until there are `count` or the connection ends.
fn read_answers(io: &mut TcpStream, count: usize) -> Vec<(String, u16)> {
    let mut text = String::new();
    let mut chunk = [0; 4096];
    loop {
        let answers = parse(&text);
        if answers.len() >= count {
            return answers;
        }
        match read_some(io, &mut chunk) {
            Ok(n) if n > 0 => text.push_str(&String::from_utf8_lossy(&chunk[..n])),
            _ => return answers,
        }
    }
}

fn parse(text: &str) -> Vec<(String, u16)> {
    let heads = text.split("HTTP/1.1 ").skip(1);
    let whole = heads.filter_map(|answer| {
        let (head, body) = answer.split_once("\r\n\r\n")?;
        let head = head.to_ascii_lowercase();
        let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
        let length: usize = header("content-length: ")?.parse().ok()?;
        let status = head.get(..3)?.parse().ok()?;
        (body.len() >= length).then(|| (header("x-attempt-id: ").unwrap_or("").to_owned(), status))
    });
    whole.collect()
}

fn run_ids(world: &World, service: &str) -> Vec<String> {
    let servers = world.servers_of(service);
    servers.iter().flat_map(|s| s.executed_requests()).map(|request| request.id).collect()
}

#[test]
fn lookups_sent_ahead_run_side_by_side_and_are_answered_in_order() {
    let world = slow_world();
    let gateway = Gateway::start_ready(&world, &[]);
    let begin = Instant::now();
    let text: String = ["a", "b", "c", "d"].iter().map(|id| lookup(id)).collect();
    let answers = read_answers(&mut open(&gateway, &text), 4);
    let ids: Vec<&str> = answers.iter().map(|(id, _)| id.as_str()).collect();
    assert_eq!(ids, ["a", "b", "c", "d"]);
    assert!(answers.iter().all(|(_, status)| *status == 200), "{answers:?}");
    assert!(begin.elapsed() < 2 * WORK, "{:?}", begin.elapsed());
}

#[test]
fn lookup_that_arrives_while_another_runs_starts_at_once() {
    let world = slow_world();
    let gateway = Gateway::start_ready(&world, &[]);
    let mut io = open(&gateway, &lookup("a"));
    std::thread::sleep(WORK / 2);
    io.write_all(lookup("b").as_bytes()).unwrap();
    wait_until("the second to run", || run_ids(&world, "look").len() == 2);
    assert_eq!(read_answers(&mut io, 2).len(), 2);
}

#[test]
fn filing_does_not_start_before_answers_to_requests_ahead() {
    let world = slow_world();
    let gateway = Gateway::start_ready(&world, &[]);
    let mut io = open(&gateway, &(lookup("a") + &filing("f") + &lookup("b")));
    std::thread::sleep(WORK / 2);
    assert_eq!(run_ids(&world, "file"), [""; 0]);
    let answers = read_answers(&mut io, 1);
    assert_eq!(answers[0], ("a".to_owned(), 200));
    wait_until("the filing to run", || run_ids(&world, "file") == ["f"]);
    // What stands behind the filing has to wait for it.
    assert_eq!(run_ids(&world, "look"), ["a"]);
    wait_until("the last lookup to run", || run_ids(&world, "look").len() == 2);
}

#[test]
fn requests_behind_answer_that_closes_not_run() {
    let world = slow_world();
    let gateway = Gateway::start_ready(&world, &[]);
    let closing = lookup("a").replace("Host:", "Connection: close\r\nHost:");
    let mut io = open(&gateway, &(closing + &lookup("b") + &filing("f")));
    assert_eq!(read_answers(&mut io, 3), [("a".to_owned(), 200)]);
    // The first one may have had a hedge.
    let mut lookups = run_ids(&world, "look");
    lookups.dedup();
    assert_eq!((lookups, run_ids(&world, "file")), (vec!["a".into()], vec![]));
}

#[test]
fn requests_sent_ahead_end_when_caller_leaves() {
    let world = slow_world();
    world.servers.iter().for_each(|(_, server)| server.set_work(Duration::from_secs(3)));
    let gateway = Gateway::start_ready(&world, &[]);
    let io = open(&gateway, &(lookup("a") + &lookup("b")));
    wait_until("both to run", || run_ids(&world, "look").len() == 2);
    drop(io);
    let cancelled = || world.servers_of("look").iter().map(|s| s.cancelled()).sum::<usize>();
    wait_until("both to be cancelled", || cancelled() == 2);
    let outcome = |id: &str| gateway.log_of(id)["outcome"].clone();
    assert_eq!((outcome("a"), outcome("b")), (json!("caller_left"), json!("caller_left")));
}

#[test]
fn requests_sent_ahead_answered_when_instance_stops() {
    let world = slow_world();
    let mut gateway = Gateway::start_ready(&world, &[]);
    let mut io = open(&gateway, &(lookup("a") + &lookup("b") + &filing("f")));
    wait_until("both to run", || run_ids(&world, "look").len() == 2);
    gateway.signal("-TERM");
    // The connection closes with the answer to the last one that had arrived.
    let answers = read_answers(&mut io, 4);
    assert_eq!(answers, ["a", "b", "f"].map(|id| (id.to_owned(), 200)));
    assert_eq!(run_ids(&world, "file"), ["f"]);
    gateway.wait();
}

#[test]
fn mixes_sent_ahead_answered_in_order_and_filings_run_once() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    for seed in 0..12 {
        let mut rng = StdRng::seed_from_u64(seed);
        let work = Duration::from_millis(rng.random_range(1..20));
        world.servers.iter().for_each(|(_, server)| server.set_work(work));
        let ids: Vec<String> =
            (0..rng.random_range(2..12)).map(|n| format!("{seed}-{n}")).collect();
        let is_filing: Vec<bool> = ids.iter().map(|_| rng.random_bool(0.3)).collect();
        let text: String = ids
            .iter()
            .zip(&is_filing)
            .map(|(id, is_filing)| if *is_filing { filing(id) } else { lookup(id) })
            .collect();
        // Cut into pieces, so that heads arrive in parts.
        let mut io = open(&gateway, "");
        let mut rest = text.as_str();
        while !rest.is_empty() {
            let (piece, more) = rest.split_at(rng.random_range(1..=rest.len().min(150)));
            io.write_all(piece.as_bytes()).unwrap();
            rest = more;
        }
        let answers = read_answers(&mut io, ids.len());
        let answered: Vec<&String> = answers.iter().map(|(id, _)| id).collect();
        assert_eq!(answered, ids.iter().collect::<Vec<_>>(), "seed {seed}");
        let filings = run_ids(&world, "file");
        for (id, _) in ids.iter().zip(&is_filing).filter(|(_, is_filing)| **is_filing) {
            assert_eq!(filings.iter().filter(|run| *run == id).count(), 1, "seed {seed}");
        }
    }
}

#[test]
fn upload_arrives_whole_and_runs_once() {
    let world = World::start();
    world.store.put("op/config", &config(2, &[("file", "kind", json!("upload"))]));
    let gateway = Gateway::start_ready(&world, &[]);
    let body: Vec<u8> = (0..90_000_u32).map(|n| (n % 251) as u8).collect();
    assert_eq!(gateway.request("POST", "/file/1", "up", 3_000, &body).status, 200);
    let servers = world.servers_of("file");
    let runs: Vec<_> = servers.iter().flat_map(|s| s.executed_requests()).collect();
    assert_eq!(runs.len(), 1);
    assert!(runs[0].body == body, "{} of {} bytes", runs[0].body.len(), body.len());
    assert_eq!(gateway.log_of("up")["route"], "file");
}

#[test]
fn upload_without_room_rejected_before_its_body_is_read() {
    let world = World::start();
    world.store.put("op/config", &config(2, &[("file", "kind", json!("upload"))]));
    let gateway = Gateway::start_ready(&world, &[]);
    let settings = gateway.settings_text().replace("[listen]", "memory_mb = 0.4\n[listen]");
    gateway.rewrite_settings(&settings);
    gateway.signal("-HUP");
    wait_until("the settings", || {
        gateway.log().iter().any(|l| l["event"] == "reload: settings changed")
    });
    let head = |id: &str| {
        format!(
            "POST /file/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\n\
             X-Request-Deadline-Ms: 5000\r\nContent-Length: 60000\r\n\r\n"
        )
    };
    // The first takes all the room and does not send its body.
    let mut first = open(&gateway, &head("first"));
    std::thread::sleep(Duration::from_millis(200));
    let mut second = open(&gateway, &head("second"));
    assert_eq!(read_answers(&mut second, 1), [("second".to_owned(), 503)]);
    first.write_all(&vec![b'x'; 60_000]).unwrap();
    assert_eq!(read_answers(&mut first, 1), [("first".to_owned(), 200)]);
}
