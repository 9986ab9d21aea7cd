//! Measures the memory of filing records and the time of each operation.
//!
//! `cargo run --release -p galenapath-filings --example capacity -- [records] [answer bytes]`

#![allow(clippy::unwrap_used, reason = "a benchmark stops at the first error")]

use bytes::Bytes;
use galenapath_filings::{
    Answer, FilingConfig, FilingDecision, FilingEnd, FilingKey, FilingTable, Fingerprint,
    SuspectConfig, Suspects,
};
use galenapath_protocol::{Incarnation, Micros};
use std::time::Instant;

const NOW: Micros = Micros::from_secs(1);
const PAGE: usize = 4_096;

fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<usize>().unwrap());
    let records = args.next().unwrap_or(200_000);
    let answer_bytes = args.next().unwrap_or(0);
    let mut table = empty_table();
    let keys = keys(&mut table, records);
    println!("records {records}, answer bodies of {answer_bytes} bytes");
    fill(&mut table, &keys, answer_bytes);
    resend(&mut table, &keys);
    free(&mut table);
    judge();
}

fn empty_table() -> FilingTable {
    let cfg = FilingConfig { max_bytes: 8 << 30, ..FilingConfig::default() };
    FilingTable::new(cfg, Incarnation(0x1234_5678_9abc_def0))
}

fn keys(table: &mut FilingTable, n: usize) -> Vec<FilingKey> {
    let prefix = table.key_prefix(NOW);
    (0..n).map(|n| FilingKey::try_from(format!("{prefix}{n:032}").as_str()).unwrap()).collect()
}

fn fill(table: &mut FilingTable, keys: &[FilingKey], answer_bytes: usize) {
    let body = Bytes::from(vec![b'x'; answer_bytes]);
    let before = resident();
    let start = Instant::now();
    for (n, key) in keys.iter().enumerate() {
        let FilingDecision::Run(id) = table.admit(NOW, key, Fingerprint(n as u128)) else {
            panic!("full")
        };
        table.mark_sent(NOW, id).unwrap();
        match answer_bytes {
            0 => table.resolve(NOW, id, FilingEnd::MayHaveRun),
            _ => table.resolve(NOW, id, FilingEnd::Answered(answer(&body))),
        };
    }
    report("admit, sent and resolve", start, keys.len());
    let used = resident() - before;
    println!("resident: {} bytes a record", used / keys.len());
    println!("counted:  {} bytes a record", table.bytes() / keys.len());
    println!("resident records/MB: {}", keys.len() * (1 << 20) / used.max(1));
}

fn answer(body: &Bytes) -> Answer {
    let headers = vec![("content-type".to_owned(), "application/json".to_owned())];
    Answer { status: 201, headers, body: body.clone() }
}

fn resend(table: &mut FilingTable, keys: &[FilingKey]) {
    let start = Instant::now();
    let known = keys.iter().enumerate().filter(|(n, key)| {
        let decision = table.admit(NOW, key, Fingerprint(*n as u128));
        matches!(decision, FilingDecision::Replay(_) | FilingDecision::MayHaveRun)
    });
    assert_eq!(known.count(), keys.len());
    report("admit of a resend", start, keys.len());
}

/// Each call frees a few records. The longest call is the maximum delay of a request.
fn free(table: &mut FilingTable) {
    let late = Micros::from_secs(7_200);
    let (start, mut calls, mut longest) = (Instant::now(), 0, 0);
    while !table.is_empty() {
        let call = Instant::now();
        table.expire(late);
        longest = call.elapsed().as_micros().max(longest);
        calls += 1;
    }
    report("expire call", start, calls);
    println!("longest expire call: {longest} us");
}

fn judge() {
    let mut suspects = Suspects::new(SuspectConfig::default());
    let many: Vec<_> = (0..64).map(Fingerprint).collect();
    let start = Instant::now();
    for backend in 0..32 {
        suspects.record_crash(NOW, backend, &many);
    }
    report("crash of 64 requests", start, 32);
    let start = Instant::now();
    let judged = (0..1_000_000).filter(|n| {
        suspects.check(NOW, Fingerprint(*n)) != galenapath_filings::SuspectVerdict::Clear
    });
    println!("suspects found: {}", judged.count());
    report("judge", start, 1_000_000);
}

fn report(what: &str, start: Instant, n: usize) {
    println!("{what}: {:.0} ns", start.elapsed().as_nanos() as f64 / n as f64);
}

/// Resident memory of this process in bytes.
fn resident() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    statm.split(' ').nth(1).unwrap().parse::<usize>().unwrap() * PAGE
}
