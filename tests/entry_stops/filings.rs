//! Filings at an instance that stops: each runs at most once, and its outcome is known elsewhere.

use crate::lateness::Lateness;
use crate::support::{Answer, Client, Instance};
use crate::world::{Sent, World, exchange, key_prefix, no_answer, sleep_until};
use rustix::process::Signal;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const LIMITS: &str = "drain_timeout = \"5s\"";

/// Sends a filing; a connection that is refused gives no answer.
fn file(callers: SocketAddr, key: &str, path: &str, deadline_ms: u32) -> Answer {
    let Ok(mut client) = Client::try_connect(callers) else { return no_answer() };
    let headers = format!("Idempotency-Key: {key}\r\nGalenapath-Deadline-Ms: {deadline_ms}\r\n");
    exchange(&mut client, "POST", path, &headers)
}

fn stop_in_thread(mut instance: Instance) -> std::thread::JoinHandle<Instance> {
    instance.signal(Signal::TERM);
    std::thread::spawn(move || {
        assert_eq!(instance.wait_end().code(), Some(0));
        instance
    })
}

#[test]
fn filings_that_end_last_known_to_successors() {
    let world = World::new();
    let [first, second] = world.start_all(LIMITS);
    let prefix = key_prefix(&first);
    let callers = first.callers;
    let signal = Instant::now();
    let stopping = stop_in_thread(first);
    // They end one after the other, until the instance ends.
    let threads: Vec<_> = (0..20)
        .map(|n| {
            let key = format!("{prefix}{n}");
            std::thread::spawn(move || {
                sleep_until(signal + Duration::from_millis(100));
                let path = format!("/book/{n}?work_ms={}", 400 + 180 * n);
                let answer = file(callers, &key, &path, 20_000);
                (key, Sent { path, at: signal.elapsed(), answer })
            })
        })
        .collect();
    let sent: Vec<_> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    let _stopped = stopping.join().unwrap();
    let mut answered = 0;
    for (key, first) in &sent {
        // Each has an answer that tells what became of it.
        assert!(first.answer.is_whole, "{first}");
        let again = file(second.callers, key, &first.path, 2_000);
        let runs = world.run_count(&first.path);
        assert!(runs <= 1, "{first} ran {runs} times");
        assert!(runs == 0 || !first.is_not_run(), "{first}");
        if first.is_answered() {
            answered += 1;
            assert_eq!(again.verdict(), "answered", "{first}, then {again:?}");
            assert_eq!(again.body, first.answer.body);
        } else {
            assert_ne!(again.verdict(), "answered", "{first}, then {again:?}");
        }
    }
    println!("{answered} of {} answered", sent.len());
}

/// Sends a filing again at the other instances while its own one stops, beside a lookup there that
/// works for `work_ms`; each resend has to be answered.
fn resend_elsewhere(work_ms: u32) {
    let world = World::new();
    let [first, second, third, fourth] = world.start_all(LIMITS);
    let key = key_prefix(&first) + "resent";
    let answer = file(first.callers, &key, "/book/resent", 2_000);
    assert_eq!((answer.status, answer.verdict()), (200, "answered"));
    let mut client = Client::connect(first.callers);
    client.get(&format!("/look/beside?work_ms={work_ms}"), "");
    std::thread::sleep(Duration::from_millis(50));
    let stopping = stop_in_thread(first);
    let signal = Instant::now();
    let mut failed = Vec::new();
    let mut count = 0;
    // The instance itself, then its successors, of which one of these is none, answer.
    while signal.elapsed() < Duration::from_secs(7) {
        for other in [&second, &third, &fourth] {
            let again = file(other.callers, &key, "/book/resent", 2_000);
            count += 1;
            if again.verdict() != "answered" || again.body != answer.body {
                failed.push((signal.elapsed(), again.status, again.verdict().to_owned()));
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let _stopped = stopping.join().unwrap();
    assert!(failed.is_empty(), "{} of {count}: {failed:?}", failed.len());
    assert_eq!(world.run_count("/book/resent"), 1);
    assert!(client.answer().is_whole);
}

#[test]
fn resends_elsewhere_during_the_stop_answered() {
    resend_elsewhere(0);
}

#[test]
fn resends_elsewhere_while_the_stop_is_held_up_answered() {
    resend_elsewhere(3_300);
}

/// Sends new filings to one instance with keys of another while `stopping` stops.
fn forward_while_stopping(is_owner_stopping: bool) {
    let world = World::new();
    let [first, second] = world.start_all(LIMITS);
    let (owner, receiver) = if is_owner_stopping { (&first, &second) } else { (&second, &first) };
    let prefix = key_prefix(owner);
    let callers = receiver.callers;
    let lateness = Lateness::watch();
    let stopping = stop_in_thread(first);
    let signal = Instant::now();
    let threads: Vec<_> = (0..100)
        .map(|n| {
            let key = format!("{prefix}{n}");
            std::thread::spawn(move || {
                sleep_until(signal + Duration::from_millis(50) * n);
                let at = signal.elapsed();
                let path = format!("/book/{n}?work_ms=300");
                let answer = file(callers, &key, &path, 2_000);
                (key, Sent { path, at, answer })
            })
        })
        .collect();
    let sent: Vec<_> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    let _stopped = stopping.join().unwrap();
    let early_until = lateness.early_until(Duration::from_millis(1_500), Duration::from_secs(1));
    for (_, sent) in &sent {
        let runs = world.run_count(&sent.path);
        assert!(runs <= 1, "{sent} ran {runs} times");
        assert_eq!(runs == 1, sent.is_answered(), "{}", world.describe(sent));
        assert!(sent.answer.is_whole || !is_owner_stopping && sent.is_unanswered(), "{sent}");
        if sent.at < early_until {
            assert!(sent.is_answered(), "{sent}");
        }
    }
    drop(second);
}

#[test]
fn filings_forwarded_to_a_stopping_instance_none_lost() {
    forward_while_stopping(true);
}

#[test]
fn filings_forwarded_by_a_stopping_instance_none_lost() {
    forward_while_stopping(false);
}

#[test]
fn frozen_successor_delays_neither_the_end_nor_the_other() {
    let world = World::new();
    let [first, second, third] = world.start_all(LIMITS);
    let key = key_prefix(&first) + "kept";
    let answer = file(first.callers, &key, "/book/kept", 2_000);
    assert_eq!((answer.status, answer.verdict()), (200, "answered"));
    let signal = Instant::now();
    let stopping = stop_in_thread(first);
    sleep_until(signal + Duration::from_secs(2));
    second.signal(Signal::STOP);
    let _stopped = stopping.join().unwrap();
    let took = signal.elapsed();
    let again = file(third.callers, &key, "/book/kept", 2_000);
    second.signal(Signal::CONT);
    assert_eq!((again.verdict(), &again.body), ("answered", &answer.body));
    assert!(took < Duration::from_secs(4), "{took:?}");
}
