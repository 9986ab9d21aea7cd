//! The times on the path of a change from the store to the last instance.

use galenapath_membership::FollowTimes;
use galenapath_protocol::Micros;

/// Times within which changes take effect.
const APPLY_WITHIN_MS: [u64; 7] = [500, 1_000, 2_000, 2_500, 3_000, 4_000, 18_000];

/// Time by which the answer to a watch may be late, as in the program.
const WATCH_OVERDUE: Micros = Micros::from_millis(150);

fn ms(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

/// Guards against changes that take effect late because one of the times on their path does not
/// follow the settings.
#[test]
fn within_all_paths_of_a_change_in_time() {
    for apply_within in APPLY_WITHIN_MS.map(ms) {
        let times = FollowTimes::within(apply_within);
        // The rest is for the store's answers and for passing the change on.
        let rest = Micros(apply_within.0 / 10);
        let paths = [
            ("store back", times.until_asked() + rest),
            ("watch without events", times.watch_wait + times.call_timeout.min(rest)),
            ("watch without an answer", times.watch_wait + WATCH_OVERDUE),
            ("all that follow lost", times.max_silence + times.role_check + times.call_timeout),
        ];
        for (path, took) in paths {
            assert!(took <= apply_within, "{path}: {took:?} of {apply_within:?}");
        }
    }
}

/// Guards against a fleet that asks a failing store as one. A pause is three quarters of the longest
/// on average.
#[test]
fn retry_pause_of_bounds_the_calls_of_any_fleet() {
    for (fleet, apply_ms) in [(16, 2_000), (134, 2_500), (300, 2_500), (983, 3_000)] {
        let pause = FollowTimes::within(ms(apply_ms)).retry_pause_of(fleet);
        let calls = fleet as f64 / (0.75 * pause.0 as f64 / 1e6);
        assert!(calls <= 100.0, "{fleet}: {calls} calls a second");
    }
}

/// A third of a large fleet is answered again: one of them asks in time.
#[test]
fn retry_pause_of_some_of_many_ask_in_time() {
    for (fleet, apply_ms) in [(134, 2_500), (300, 2_500), (983, 3_000)] {
        let times = FollowTimes::within(ms(apply_ms));
        // Drawn pauses spread the calls evenly, so that one of these comes in this time.
        let between = Micros(times.retry_pause_of(fleet).0 / (fleet as u64 / 3));
        assert!(between <= times.retry_pause, "{fleet}: {between:?}");
    }
}
