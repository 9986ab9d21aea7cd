//! With any guard of the filing protocol off, the model checker finds the violation that the guard
//! prevents.

mod model;

use galenapath_filings::Guards;
use model::find_violation;
use model::world::Bounds;

const ON: Guards = Guards::ON;
const TWICE: &str = "a key ran twice";
const NOT_RUN: &str = "\"not run\" reported for a request that ran";
const FOREIGN: &str = "the answer of another request replayed";
const ISSUED: Bounds = Bounds { sends: 2, ..Bounds::BASE };
const CALLER_CHOSEN: Bounds = Bounds { attempts: 1, caller_chosen_keys: 1, ..ISSUED };

fn off(name: &str, guards: Guards, bounds: Bounds, by: &str) {
    find_violation(name, Bounds { guards, ..bounds }, by);
}

#[test]
fn incarnation_binds_off() {
    off("incarnation_binds", Guards { incarnation_binds: false, ..ON }, ISSUED, TWICE);
}

#[test]
fn caller_chosen_key_claimed_off() {
    off(
        "caller_chosen_key_claimed",
        Guards { caller_chosen_key_claimed: false, ..ON },
        CALLER_CHOSEN,
        TWICE,
    );
}

#[test]
fn record_first_off() {
    off("record_first", Guards { record_first: false, ..ON }, ISSUED, TWICE);
}

#[test]
fn lost_is_final_off() {
    let b = Bounds { sends: 1, ..ISSUED };
    off("lost_is_final", Guards { lost_is_final: false, ..ON }, b, TWICE);
}

#[test]
fn expired_rejected_off() {
    let b = Bounds { ticks: 2, ..ISSUED };
    off("expired_rejected", Guards { expired_rejected: false, ..ON }, b, TWICE);
}

#[test]
fn full_rejects_off() {
    let b = Bounds { keys: 2, sends: 3, max_records: 1, ..ISSUED };
    off("full_rejects", Guards { full_rejects: false, ..ON }, b, TWICE);
}

#[test]
fn claim_age_checked_off() {
    let b = Bounds { ticks: 2, ..CALLER_CHOSEN };
    off("claim_age_checked", Guards { claim_age_checked: false, ..ON }, b, TWICE);
}

#[test]
fn stale_claim_ignored_off() {
    let b = Bounds { ticks: 4, fine_steps: false, ..CALLER_CHOSEN };
    off("stale_claim_ignored", Guards { stale_claim_ignored: false, ..ON }, b, TWICE);
}

#[test]
fn sent_checked_off() {
    let b = Bounds { ticks: 4, fine_steps: false, ..CALLER_CHOSEN };
    off("sent_checked", Guards { sent_checked: false, ..ON }, b, TWICE);
}

#[test]
fn fingerprint_checked_off() {
    let b = Bounds { fingerprints: 2, ..ISSUED };
    off("fingerprint_checked", Guards { fingerprint_checked: false, ..ON }, b, FOREIGN);
}

#[test]
fn successor_replays_only_off() {
    let b = Bounds { stops: 1, ..ISSUED };
    off("successor_replays_only", Guards { successor_replays_only: false, ..ON }, b, TWICE);
}

#[test]
fn unclaimed_not_denied_off() {
    let b = Bounds { store_faults: 1, ..CALLER_CHOSEN };
    off("unclaimed_not_denied", Guards { unclaimed_not_denied: false, ..ON }, b, NOT_RUN);
}

#[test]
fn unclaimed_unbound_off() {
    let b = Bounds { fingerprints: 2, sends: 3, fine_steps: false, ..CALLER_CHOSEN };
    off("unclaimed_unbound", Guards { unclaimed_unbound: false, ..ON }, b, NOT_RUN);
}

/// This limit is not a guard of the table. Its user must respect it: see
/// `FilingTable::claim_lease_max_use`.
#[test]
fn claim_lease_used_too_long() {
    find_violation("claim_lease_use", Bounds { ticks: 2, lease_use: 9, ..CALLER_CHOSEN }, TWICE);
}
