//! Model checking of the filing protocol with all guards on.

mod model;

use model::check_no_violation;
use model::world::Bounds;

const ISSUED: Bounds = Bounds { sends: 3, ..Bounds::BASE };
const CALLER_CHOSEN: Bounds = Bounds { attempts: 1, caller_chosen_keys: 1, ..ISSUED };

#[test]
fn issued_key_crashes() {
    check_no_violation("issued_key_crashes", Bounds { sends: 4, crashes: 2, ..ISSUED });
}

#[test]
fn issued_key_three_instances() {
    let b = Bounds { instances: 3, crashes: 1, stops: 1, ..ISSUED };
    check_no_violation("issued_key_three_instances", b);
}

#[test]
fn issued_key_planned_stop_and_crash() {
    check_no_violation(
        "issued_key_planned_stop_and_crash",
        Bounds { stops: 2, crashes: 1, ..ISSUED },
    );
}

#[test]
fn issued_key_expiry() {
    check_no_violation("issued_key_expiry", Bounds { ticks: 3, crashes: 1, ..ISSUED });
}

#[test]
fn issued_key_of_clock_ahead() {
    check_no_violation("issued_key_of_clock_ahead", Bounds { key_window: 1, ticks: 4, ..ISSUED });
}

#[test]
fn two_keys_full_table() {
    check_no_violation(
        "two_keys_full_table",
        Bounds { keys: 2, sends: 4, max_records: 1, ..ISSUED },
    );
}

#[test]
fn two_keys_issued_and_caller_chosen() {
    let b = Bounds {
        keys: 2,
        caller_chosen_keys: 1,
        attempts: 1,
        store_faults: 1,
        crashes: 1,
        ..ISSUED
    };
    check_no_violation("two_keys_issued_and_caller_chosen", b);
}

#[test]
fn two_fingerprints_issued() {
    check_no_violation("two_fingerprints_issued", Bounds { fingerprints: 2, sends: 4, ..ISSUED });
}

#[test]
fn caller_chosen_key_store_faults() {
    check_no_violation(
        "caller_chosen_key_store_faults",
        Bounds { sends: 4, store_faults: 2, ..CALLER_CHOSEN },
    );
}

#[test]
fn caller_chosen_key_three_instances() {
    let b = Bounds { instances: 3, store_faults: 1, fine_steps: false, ..CALLER_CHOSEN };
    check_no_violation("caller_chosen_key_three_instances", b);
}

#[test]
fn caller_chosen_key_crash_and_planned_stop() {
    let b = Bounds { crashes: 1, stops: 1, store_faults: 1, fine_steps: false, ..CALLER_CHOSEN };
    check_no_violation("caller_chosen_key_crash_and_planned_stop", b);
}

#[test]
fn caller_chosen_key_lease_expires() {
    let b = Bounds { sends: 2, ticks: 5, store_faults: 1, fine_steps: false, ..CALLER_CHOSEN };
    check_no_violation("caller_chosen_key_lease_expires", b);
}

#[test]
fn caller_chosen_key_two_fingerprints() {
    check_no_violation(
        "caller_chosen_key_two_fingerprints",
        Bounds { fingerprints: 2, store_faults: 2, ..CALLER_CHOSEN },
    );
}

#[test]
fn caller_chosen_key_expiry_crash_and_planned_stop() {
    let faults = Bounds { crashes: 1, stops: 1, store_faults: 1, ..CALLER_CHOSEN };
    let b = Bounds { sends: 2, ticks: 2, fine_steps: false, ..faults };
    check_no_violation("caller_chosen_key_expiry_crash_and_planned_stop", b);
}
