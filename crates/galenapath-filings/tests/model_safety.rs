//! Model checking of the filing protocol with all guards on.

mod model;

use model::holds;
use model::world::Bounds;

const ISSUED: Bounds = Bounds { sends: 3, ..Bounds::ONE };
const OWN: Bounds = Bounds { attempts: 1, own_keys: 1, ..ISSUED };

#[test]
fn issued_key_crashes() {
    holds("issued_key_crashes", Bounds { sends: 4, crashes: 2, ..ISSUED });
}

#[test]
fn issued_key_three_instances() {
    let b = Bounds { instances: 3, crashes: 1, stops: 1, ..ISSUED };
    holds("issued_key_three_instances", b);
}

#[test]
fn issued_key_planned_stop_and_crash() {
    holds("issued_key_planned_stop_and_crash", Bounds { stops: 2, crashes: 1, ..ISSUED });
}

#[test]
fn issued_key_expiry() {
    holds("issued_key_expiry", Bounds { ticks: 3, crashes: 1, ..ISSUED });
}

#[test]
fn issued_key_of_clock_ahead() {
    holds("issued_key_of_clock_ahead", Bounds { key_window: 1, ticks: 4, ..ISSUED });
}

#[test]
fn two_keys_full_table() {
    holds("two_keys_full_table", Bounds { keys: 2, sends: 4, max_records: 1, ..ISSUED });
}

#[test]
fn two_keys_issued_and_own() {
    let b = Bounds { keys: 2, own_keys: 1, attempts: 1, store_faults: 1, crashes: 1, ..ISSUED };
    holds("two_keys_issued_and_own", b);
}

#[test]
fn two_fingerprints_issued() {
    holds("two_fingerprints_issued", Bounds { fingerprints: 2, sends: 4, ..ISSUED });
}

#[test]
fn own_key_store_faults() {
    holds("own_key_store_faults", Bounds { sends: 4, store_faults: 2, ..OWN });
}

#[test]
fn own_key_three_instances() {
    let b = Bounds { instances: 3, store_faults: 1, fine: false, ..OWN };
    holds("own_key_three_instances", b);
}

#[test]
fn own_key_crash_and_planned_stop() {
    let b = Bounds { crashes: 1, stops: 1, store_faults: 1, fine: false, ..OWN };
    holds("own_key_crash_and_planned_stop", b);
}

#[test]
fn own_key_lease_lapses() {
    let b = Bounds { sends: 2, ticks: 5, store_faults: 1, fine: false, ..OWN };
    holds("own_key_lease_lapses", b);
}

#[test]
fn own_key_two_fingerprints() {
    holds("own_key_two_fingerprints", Bounds { fingerprints: 2, store_faults: 2, ..OWN });
}

#[test]
fn own_key_expiry_crash_and_planned_stop() {
    let faults = Bounds { crashes: 1, stops: 1, store_faults: 1, ..OWN };
    let b = Bounds { sends: 2, ticks: 2, fine: false, ..faults };
    holds("own_key_expiry_crash_and_planned_stop", b);
}
