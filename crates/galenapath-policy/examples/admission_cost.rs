//! Time per request of admission's decisions: offer, poll, finish and the next wake.
//!
//! `cargo run --release -p galenapath-policy --example admission_cost`

use galenapath_policy::{
    Admission, AdmissionConfig, ClassIndex, ClassPolicy, Decision, Offer, Outcome, QueuedDecision,
    Ticket, WorkLength, WorkspaceIndex,
};
use galenapath_protocol::Micros;
use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Instant;

const REQUESTS: u64 = 1_000_000;
const SLOTS: u32 = 40;
/// Time between two ends of requests when all slots are busy with 5 ms of work.
const GAP: u64 = 125;

fn main() {
    println!("| load | workspaces | ns per request | let in |");
    println!("|---|---|---|---|");
    for (name, offers_per_end) in [("below capacity", 1), ("three times the capacity", 3)] {
        for workspaces in [1, 10, 100] {
            let (nanos, started) = play(offers_per_end, workspaces);
            let share = started as f64 / REQUESTS as f64 * 100.0;
            println!("| {name} | {workspaces} | {nanos:.0} | {share:.0}% |");
        }
    }
    println!("\nbytes of a service without requests: {}", size_of::<Admission>());
}

/// Offers all requests, ending the oldest one in flight after each group of offers.
fn play(offers_per_end: u64, workspaces: u64) -> (f64, u64) {
    let mut admission = Admission::new(AdmissionConfig::default(), 1);
    let class = ClassIndex(0);
    let target = Micros::from_millis(50);
    admission.set_classes(&[ClassPolicy { class, length: WorkLength::Short, target }]);
    let indices: Vec<WorkspaceIndex> =
        (0..workspaces).map(|i| admission.workspace_index(&i.to_string())).collect();
    let mut running: VecDeque<Ticket> = VecDeque::new();
    let mut decisions = Vec::new();
    let mut started = 0;
    let begin = Instant::now();
    for ticket in 0..REQUESTS {
        let now = Micros(ticket / offers_per_end * GAP);
        let workspace = indices[(ticket % workspaces) as usize];
        let deadline = now + Micros::from_secs(1);
        let free = SLOTS.saturating_sub(running.len() as u32);
        admission.set_capacity(now, running.len() as u32 + free);
        if admission.offer(now, Offer { ticket, class, workspace, deadline }) == Decision::Start {
            running.push_back(ticket);
            started += 1;
        }
        if ticket % offers_per_end == 0 && running.len() >= SLOTS as usize {
            let ended = running.pop_front().unwrap_or_default();
            let latency = Micros(GAP * running.len() as u64);
            admission.finish(now, ended, Outcome::Answered, latency);
        }
        admission.poll(now, &mut decisions);
        for decision in decisions.drain(..) {
            if let QueuedDecision::Start(ticket) = decision {
                running.push_back(ticket);
                started += 1;
            }
        }
        black_box(admission.next_wake());
    }
    (begin.elapsed().as_nanos() as f64 / REQUESTS as f64, started)
}
