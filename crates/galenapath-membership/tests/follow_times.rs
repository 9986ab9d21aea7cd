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

/// While the store answers nobody, every instance calls it, with reads that cost a tenth: together no
/// more than a fiftieth of the reads that the store serves.
#[test]
fn within_calls_while_nobody_is_answered() {
    for (fleet, apply_ms, reads) in
        [(16, 2_000, 2_000), (134, 2_500, 6_000), (300, 2_500, 6_000), (983, 3_000, 16_000)]
    {
        let pause = FollowTimes::within(ms(apply_ms)).retry_pause;
        let calls = fleet * 1_000_000 / pause.0;
        assert!(calls / 10 <= reads / 50, "{fleet}: {calls} calls a second");
    }
}
