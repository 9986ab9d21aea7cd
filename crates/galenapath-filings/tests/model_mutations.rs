//! Each guard of the filing protocol turned off: the checker finds what it protects against.

mod model;

use galenapath_filings::Guards;
use model::violated;
use model::world::Bounds;

const ON: Guards = Guards::ON;
const TWICE: &str = "a key ran twice";
const DENIED: &str = "\"not run\" told of a request that ran";
const FOREIGN: &str = "the answer of another request replayed";
const ISSUED: Bounds = Bounds { sends: 2, ..Bounds::ONE };
const OWN: Bounds = Bounds { attempts: 1, own_keys: 1, ..ISSUED };

fn off(name: &str, guards: Guards, bounds: Bounds, by: &str) {
    violated(name, Bounds { guards, ..bounds }, by);
}

#[test]
fn incarnation_binds_off() {
    off("incarnation_binds", Guards { incarnation_binds: false, ..ON }, ISSUED, TWICE);
}

#[test]
fn own_key_claimed_off() {
    off("own_key_claimed", Guards { own_key_claimed: false, ..ON }, OWN, TWICE);
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
fn expired_refused_off() {
    let b = Bounds { ticks: 2, ..ISSUED };
    off("expired_refused", Guards { expired_refused: false, ..ON }, b, TWICE);
}

#[test]
fn full_refuses_off() {
    let b = Bounds { keys: 2, sends: 3, max_records: 1, ..ISSUED };
    off("full_refuses", Guards { full_refuses: false, ..ON }, b, TWICE);
}

#[test]
fn claim_age_checked_off() {
    let b = Bounds { ticks: 2, ..OWN };
    off("claim_age_checked", Guards { claim_age_checked: false, ..ON }, b, TWICE);
}

#[test]
fn stale_claim_refused_off() {
    let b = Bounds { ticks: 4, fine: false, ..OWN };
    off("stale_claim_refused", Guards { stale_claim_refused: false, ..ON }, b, TWICE);
}

#[test]
fn sent_checked_off() {
    let b = Bounds { ticks: 4, fine: false, ..OWN };
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
    let b = Bounds { store_faults: 1, ..OWN };
    off("unclaimed_not_denied", Guards { unclaimed_not_denied: false, ..ON }, b, DENIED);
}

#[test]
fn unclaimed_unbound_off() {
    let b = Bounds { fingerprints: 2, sends: 3, fine: false, ..OWN };
    off("unclaimed_unbound", Guards { unclaimed_unbound: false, ..ON }, b, DENIED);
}

/// Not a guard of the table but a duty of its user: see `FilingTable::claim_lease_use`.
#[test]
fn claim_lease_used_too_long() {
    violated("claim_lease_use", Bounds { ticks: 2, lease_use: 9, ..OWN }, TWICE);
}
