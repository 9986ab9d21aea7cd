use galenapath_policy::reach::{Contacts, Exchange, FailedTry, NoAnswer, PathState};
use galenapath_protocol::{BackendId, FastSet, Incarnation, Micros};

const OTHER: Incarnation = Incarnation(7);

fn id(n: usize) -> BackendId {
    BackendId(format!("i-{n}").into())
}

fn ms(ms: u64) -> Micros {
    Micros::from_millis(1_000 + ms)
}

fn new(started_at: Micros) -> Exchange {
    Exchange { started_at, is_new_connection: true }
}

fn kept(started_at: Micros) -> Exchange {
    Exchange { started_at, is_new_connection: false }
}

/// Contacts with a server that answered at 0 ms and has not answered two exchanges since.
fn silent() -> Contacts {
    let mut contacts = Contacts::default();
    contacts.record_answer(ms(0), &id(0), new(ms(0)));
    contacts.record_failure(&id(0), new(ms(10)));
    contacts.record_failure(&id(0), new(ms(20)));
    contacts
}

#[test]
fn state_of_server_that_answers_open() {
    let mut contacts = Contacts::default();
    assert_eq!(contacts.state(ms(0), &id(0)), PathState::Unknown);
    contacts.record_answer(ms(0), &id(0), new(ms(0)));
    assert_eq!(contacts.state(ms(1), &id(0)), PathState::Open);
    assert!(!contacts.needs_attention());
}

#[test]
fn state_after_one_failure_open() {
    let mut contacts = Contacts::default();
    contacts.record_answer(ms(0), &id(0), new(ms(0)));
    contacts.record_failure(&id(0), kept(ms(10)));
    assert_eq!(contacts.state(ms(20), &id(0)), PathState::Open);
    assert!(contacts.needs_attention());
}

#[test]
fn state_of_server_that_no_one_reaches_silent() {
    let contacts = silent();
    assert_eq!(contacts.state(ms(30), &id(0)), PathState::Silent);
    assert!(!contacts.summary(ms(30)).is_impaired());
}

#[test]
fn state_of_server_that_others_reach_cut_off() {
    let mut contacts = silent();
    contacts.record_reached_by(OTHER, &id(0), ms(25));
    assert_eq!(contacts.state(ms(30), &id(0)), PathState::CutOff);
    assert!(contacts.is_nothing_reached(ms(30)));
    assert_eq!(contacts.helpers(ms(30)).collect::<Vec<_>>(), [(OTHER, 1.0)]);
}

#[test]
fn state_not_cut_off_by_what_others_reached_before() {
    let mut contacts = silent();
    contacts.record_reached_by(OTHER, &id(0), ms(9));
    assert_eq!(contacts.state(ms(30), &id(0)), PathState::Silent);
}

#[test]
fn state_not_cut_off_for_long_by_one_report() {
    let mut contacts = silent();
    contacts.record_reached_by(OTHER, &id(0), ms(25));
    assert_eq!(contacts.state(ms(6_000), &id(0)), PathState::Silent);
    assert_eq!(contacts.helpers(ms(6_000)).count(), 0);
}

#[test]
fn record_failure_of_exchange_begun_before_an_answer_ignored() {
    let mut contacts = Contacts::default();
    contacts.record_answer(ms(100), &id(0), new(ms(90)));
    contacts.record_failure(&id(0), new(ms(10)));
    contacts.record_failure(&id(0), new(ms(20)));
    assert_eq!(contacts.state(ms(110), &id(0)), PathState::Open);
    assert!(!contacts.needs_attention());
}

#[test]
fn state_of_server_that_takes_no_new_connections_closing() {
    let mut contacts = Contacts::default();
    contacts.record_answer(ms(0), &id(0), new(ms(0)));
    for n in 1..3 {
        contacts.record_failure(&id(0), new(ms(10 * n)));
        contacts.record_answer(ms(10 * n + 1), &id(0), kept(ms(10 * n + 1)));
    }
    assert_eq!(contacts.state(ms(30), &id(0)), PathState::Open);
    assert!(contacts.is_unconnectable(&id(0)));
    contacts.record_reached_by(OTHER, &id(0), ms(25));
    assert_eq!(contacts.state(ms(30), &id(0)), PathState::Closing);
    let paths = contacts.summary(ms(30));
    assert!(paths.is_most_lost() && !paths.is_nothing_reached());
    contacts.record_answer(ms(40), &id(0), new(ms(35)));
    assert_eq!(contacts.state(ms(41), &id(0)), PathState::Open);
}

#[test]
fn begin_checks_with_growing_delays() {
    let mut contacts = silent();
    let mut checked = Vec::new();
    for at in 30..2_000 {
        if !contacts.begin_checks(ms(at), 8).is_empty() {
            checked.push(at);
            contacts.end_check(&id(0));
        }
    }
    assert_eq!(checked, [30, 130, 380, 880, 1_380, 1_880]);
}

#[test]
fn begin_checks_one_at_a_time_for_each_server() {
    let mut contacts = silent();
    assert_eq!(contacts.begin_checks(ms(30), 8), [id(0)]);
    assert!(contacts.begin_checks(ms(5_000), 8).is_empty());
}

#[test]
fn failed_check_since_for_servers_that_do_not_answer() {
    let mut contacts = silent();
    assert_eq!(contacts.failed_check_since(&id(0), Micros::ZERO), None);
    contacts.begin_checks(ms(1_000), 8);
    contacts.record_failure(&id(0), new(ms(1_000)));
    let failed = FailedTry { began: ms(1_000), how: NoAnswer::Lost };
    assert_eq!(contacts.failed_check_since(&id(0), ms(999)), Some(failed));
    contacts.record_how(&id(0), NoAnswer::Refused);
    let refused = FailedTry { how: NoAnswer::Refused, ..failed };
    assert_eq!(contacts.failed_check_since(&id(0), ms(999)), Some(refused));
    assert_eq!(contacts.failed_check_since(&id(0), ms(1_000)), None);
    contacts.record_answer(ms(1_200), &id(0), new(ms(1_100)));
    assert_eq!(contacts.failed_check_since(&id(0), ms(999)), None);
}

#[test]
fn request_check_of_server_without_failures_checks_it_once() {
    let mut contacts = Contacts::default();
    contacts.request_check(&id(3));
    assert!(contacts.needs_attention());
    assert_eq!(contacts.begin_checks(ms(0), 8), [id(3)]);
    contacts.end_check(&id(3));
    assert!(contacts.begin_checks(ms(5_000), 8).is_empty());
}

#[test]
fn begin_questions_about_all_in_turn() {
    let mut contacts = Contacts::default();
    for n in 0..6 {
        contacts.record_failure(&id(n), new(ms(0)));
        contacts.record_failure(&id(n), new(ms(0)));
    }
    let mut asked = contacts.begin_questions(ms(10), 4);
    asked.extend(contacts.begin_questions(ms(20), 4));
    asked.sort();
    assert_eq!(asked, (0..6).map(id).collect::<Vec<_>>());
    assert!(contacts.begin_questions(ms(30), 4).is_empty());
    assert_eq!(contacts.begin_questions(ms(340), 8).len(), 6);
}

#[test]
fn denials_counted_once_for_each_instance_and_question() {
    let mut contacts = silent();
    contacts.begin_question(ms(30), &id(0));
    for by in [OTHER, OTHER, Incarnation(8)] {
        contacts.record_unreached_by(by, &id(0), true);
    }
    contacts.record_unreached_by(Incarnation(9), &id(0), false);
    assert_eq!(contacts.denials(&id(0)), 2);
    contacts.begin_question(ms(40), &id(0));
    assert_eq!(contacts.denials(&id(0)), 0);
}

#[test]
fn unanswered_and_answered_within_a_window() {
    let mut contacts = silent();
    contacts.record_answer(ms(15), &id(1), new(ms(15)));
    contacts.record_answer(ms(2), &id(2), new(ms(2)));
    assert_eq!(contacts.unanswered_and_answered(ms(5)), (1, 1));
}

#[test]
fn helpers_by_the_part_of_the_servers_that_they_reach() {
    let mut contacts = silent();
    contacts.record_failure(&id(1), new(ms(10)));
    contacts.record_failure(&id(1), new(ms(20)));
    contacts.record_reached_by(OTHER, &id(0), ms(25));
    contacts.record_unreached_by(OTHER, &id(1), false);
    assert_eq!(contacts.helpers(ms(30)).collect::<Vec<_>>(), [(OTHER, 0.5)]);
    contacts.remove_helper(OTHER);
    assert_eq!(contacts.helpers(ms(30)).count(), 0);
}

/// Contacts with servers that answered at 0 ms; exchanges with the first `waiting` of them have
/// taken longer than usual since 10 ms.
fn waiting(servers: usize, waiting: usize) -> Contacts {
    let mut contacts = Contacts::default();
    (0..servers).for_each(|n| contacts.record_answer(ms(0), &id(n), new(ms(0))));
    (0..waiting).for_each(|n| contacts.record_overdue(&id(n), ms(10)));
    contacts
}

#[test]
fn is_nothing_reached_once_the_service_has_stalled_and_others_reach_it() {
    let mut contacts = waiting(18, 3);
    assert!(contacts.is_stalled() && !contacts.is_nothing_reached(ms(30)));
    assert_eq!(contacts.begin_questions(ms(30), 8).len(), 3);
    contacts.record_reached_by(OTHER, &id(1), ms(35));
    assert!(contacts.is_nothing_reached(ms(36)));
    assert_eq!(contacts.helpers(ms(36)).count(), 1);
    // Any answer shows that the paths are good.
    contacts.record_answer(ms(40), &id(7), kept(ms(38)));
    assert!(!contacts.is_nothing_reached(ms(41)));
}

#[test]
fn is_stalled_not_by_few_of_many_servers() {
    let mut contacts = waiting(18, 2);
    assert!(!contacts.is_stalled());
    assert!(contacts.begin_questions(ms(30), 8).is_empty());
}

#[test]
fn is_stalled_by_all_of_few_servers() {
    assert!(waiting(2, 2).is_stalled());
    assert!(!waiting(2, 1).is_stalled());
}

#[test]
fn is_stalled_not_by_exchanges_begun_before_the_last_answer() {
    let mut contacts = waiting(18, 5);
    contacts.record_answer(ms(20), &id(9), kept(ms(15)));
    assert!(!contacts.is_stalled());
}

#[test]
fn is_verdict_due_until_others_have_told_or_time_has_passed() {
    let mut contacts = waiting(18, 3);
    assert!(contacts.is_verdict_due(ms(30)));
    assert!(!contacts.is_verdict_due(ms(200)));
    contacts.record_reached_by(OTHER, &id(0), ms(35));
    assert!(!contacts.is_verdict_due(ms(40)));
    assert!(!waiting(18, 2).is_verdict_due(ms(30)));
}

#[test]
fn helpers_not_by_what_others_reached_before_the_server_was_lost() {
    let mut contacts = silent();
    contacts.record_reached_by(OTHER, &id(0), ms(5));
    assert_eq!(contacts.helpers(ms(30)).count(), 0);
}

#[test]
fn helpers_without_those_that_reject_until_they_reach_a_server_again() {
    let mut contacts = silent();
    contacts.record_reached_by(OTHER, &id(0), ms(25));
    for _ in 0..2 {
        contacts.record_help(OTHER, false);
    }
    contacts.record_help(OTHER, true);
    assert_eq!(contacts.helpers(ms(30)).count(), 1);
    for _ in 0..3 {
        contacts.record_help(OTHER, false);
    }
    assert_eq!(contacts.helpers(ms(30)).count(), 0);
    contacts.record_reached_by(OTHER, &id(0), ms(35));
    assert_eq!(contacts.helpers(ms(40)).count(), 1);
}

#[test]
fn is_unhelped_from_the_second_round_without_helpers() {
    let mut contacts = Contacts::default();
    for n in 0..6 {
        contacts.record_failure(&id(n), new(ms(0)));
        contacts.record_failure(&id(n), new(ms(0)));
    }
    contacts.begin_questions(ms(10), 2);
    assert!(!contacts.is_unhelped());
    contacts.begin_questions(ms(35), 2);
    assert!(contacts.is_unhelped());
    contacts.record_reached_by(OTHER, &id(0), ms(40));
    assert!(!contacts.is_unhelped());
}

#[test]
fn summary_counts_silent_servers_like_those_asked_about() {
    let mut contacts = silent();
    for n in 1..4 {
        contacts.record_failure(&id(n), new(ms(10)));
        contacts.record_failure(&id(n), new(ms(20)));
    }
    assert_eq!(contacts.summary(ms(30)).silent, 4);
    contacts.begin_question(ms(30), &id(1));
    contacts.record_unreached_by(OTHER, &id(1), true);
    contacts.record_reached_by(OTHER, &id(0), ms(31));
    let paths = contacts.summary(ms(32));
    assert_eq!((paths.cut_off, paths.silent), (3, 1));
}

fn askable(ids: &[u64]) -> FastSet<Incarnation> {
    ids.iter().map(|id| Incarnation(*id)).collect()
}

#[test]
fn set_askable_instance_that_has_come_asked_at_once_while_few_help() {
    let mut contacts = silent();
    contacts.set_askable(ms(30), &askable(&[OTHER.0]));
    assert_eq!(contacts.begin_questions(ms(30), 8).len(), 1);
    contacts.record_reached_by(OTHER, &id(0), ms(35));
    contacts.set_askable(ms(40), &askable(&[OTHER.0]));
    assert!(contacts.begin_questions(ms(40), 8).is_empty());
    contacts.set_askable(ms(50), &askable(&[OTHER.0, 8]));
    assert_eq!(contacts.begin_questions(ms(50), 8).len(), 1);
    // Two know a way.
    contacts.record_reached_by(Incarnation(8), &id(0), ms(55));
    contacts.set_askable(ms(60), &askable(&[OTHER.0, 8, 9]));
    assert!(contacts.begin_questions(ms(60), 8).is_empty());
    // One of them has ended.
    contacts.set_askable(ms(70), &askable(&[OTHER.0, 9]));
    assert_eq!(contacts.begin_questions(ms(70), 8).len(), 1);
}
