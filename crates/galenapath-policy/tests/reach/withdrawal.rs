use galenapath_policy::reach::{PathSummary, Withdrawal, WithdrawalChange};
use galenapath_protocol::Micros;

const GOOD: PathSummary = PathSummary { open: 6, closing: 0, silent: 0, cut_off: 0 };
const LOST: PathSummary = PathSummary { open: 0, closing: 0, silent: 0, cut_off: 6 };

fn update(withdrawal: &mut Withdrawal, ms: u64, paths: PathSummary) -> Option<WithdrawalChange> {
    withdrawal.update(Micros::from_millis(ms), paths)
}

#[test]
fn update_with_most_paths_lost_withdraws() {
    let mut withdrawal = Withdrawal::default();
    assert_eq!(update(&mut withdrawal, 0, GOOD), None);
    assert_eq!(update(&mut withdrawal, 10, LOST), Some(WithdrawalChange::Withdrawn));
    assert!(withdrawal.is_withdrawn());
}

#[test]
fn update_with_lost_paths_to_a_small_service_does_not_withdraw() {
    let mut withdrawal = Withdrawal::default();
    let small = PathSummary { cut_off: 2, ..PathSummary::default() };
    assert_eq!(update(&mut withdrawal, 0, GOOD.plus(small)), None);
    assert_eq!(update(&mut withdrawal, 10, LOST.plus(small)), Some(WithdrawalChange::Withdrawn));
}

#[test]
fn update_with_servers_that_failed_for_all_does_not_withdraw() {
    let mut withdrawal = Withdrawal::default();
    let failed = PathSummary { open: 0, closing: 0, silent: 6, cut_off: 0 };
    assert_eq!(update(&mut withdrawal, 0, failed), None);
}

#[test]
fn update_with_a_third_of_the_paths_lost_neither_withdraws_nor_returns() {
    let third = PathSummary { open: 4, closing: 0, silent: 0, cut_off: 2 };
    let mut withdrawal = Withdrawal::default();
    assert_eq!(update(&mut withdrawal, 0, third), None);
    update(&mut withdrawal, 10, LOST);
    assert_eq!(update(&mut withdrawal, 60_000, third), None);
    assert_eq!(update(&mut withdrawal, 120_000, third), None);
    assert!(withdrawal.is_withdrawn());
}

#[test]
fn update_returns_once_the_paths_have_held() {
    let mut withdrawal = Withdrawal::default();
    update(&mut withdrawal, 0, LOST);
    assert_eq!(update(&mut withdrawal, 2_000, GOOD), None);
    assert_eq!(update(&mut withdrawal, 2_900, GOOD), None);
    assert_eq!(update(&mut withdrawal, 2_950, LOST), None);
    assert_eq!(update(&mut withdrawal, 3_100, GOOD), None);
    assert_eq!(update(&mut withdrawal, 4_100, GOOD), Some(WithdrawalChange::Returned));
}

/// Plays links that come and go each second for a minute; returns how often the instance withdrew.
#[test]
fn update_with_links_that_come_and_go_rarely_moves_callers() {
    let mut withdrawal = Withdrawal::default();
    let mut withdrawn = 0;
    for ms in (0..60_000).step_by(50) {
        // Good for a little longer than an instance waits at first.
        let paths = if ms % 2_200 < 1_100 { LOST } else { GOOD };
        let change = update(&mut withdrawal, ms, paths);
        withdrawn += u32::from(change == Some(WithdrawalChange::Withdrawn));
    }
    assert!(withdrawn <= 2, "{withdrawn}");
}

#[test]
fn update_after_a_lasting_return_waits_no_longer_than_at_first() {
    let mut withdrawal = Withdrawal::default();
    for round in 0..5 {
        let at = round * 60_000;
        update(&mut withdrawal, at, LOST);
        update(&mut withdrawal, at + 100, GOOD);
        let change = update(&mut withdrawal, at + 1_100, GOOD);
        assert_eq!(change, Some(WithdrawalChange::Returned), "round {round}");
    }
}
