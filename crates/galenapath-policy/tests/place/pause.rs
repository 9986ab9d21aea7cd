//! Servers that want nothing for a while.

use crate::support::{START, WORK, ask, id, placement, server, spread};
use galenapath_policy::measure::LimitShare;
use galenapath_policy::place::{
    Choice, Entry, Line, Moved, Placed, Placement, QueueConfig, RateLimit, Refusal, Shortage,
    Started, WaitQueue, Wanted,
};
use galenapath_protocol::Micros;
use proptest::prelude::*;

const PAUSE: Micros = Micros::from_secs(2);
const TARGET: Micros = Micros::from_millis(400);

fn entry(ticket: u64) -> Entry {
    Entry {
        ticket,
        rank: 0,
        arrived: START,
        target: START + TARGET,
        deadline: START + Micros::from_secs(4),
        is_picky: false,
    }
}

fn wanted(ticket: u64) -> Wanted {
    Wanted { entry: entry(ticket), tried: Vec::new(), is_large: false }
}

#[test]
fn paused_server_gets_nothing_until_its_pause_is_over() {
    let mut placement = placement(&[true, true]);
    assert!(placement.pause(START, &id(0), PAUSE));
    let slots = placement.good_slots(START);
    assert!((slots - 6.0).abs() < 0.1, "{slots}");
    let just_before = START + PAUSE - Micros(1);
    for now in [START, just_before] {
        assert_eq!(spread(&mut placement, now, &ask(TARGET), 20)[0], 0);
        assert!(!placement.may_send(now, &id(0), Started::default()));
        assert!(!placement.send_again(now, &id(0)));
        assert!(!placement.take_question(now, &id(0)));
    }
    let over = START + PAUSE;
    assert!(spread(&mut placement, over, &ask(TARGET), 20)[0] > 0);
    assert!(placement.send_again(over, &id(0)));
    assert!(placement.take_question(over, &id(0)));
}

#[test]
fn pause_is_made_longer_and_never_shorter() {
    let mut placement = placement(&[true]);
    placement.pause(START, &id(0), PAUSE);
    assert!(!placement.pause(START, &id(0), Micros::from_millis(10)));
    assert_eq!(placement.takes_one_in(START, &[]), Some(PAUSE));
    placement.pause(START, &id(0), PAUSE + PAUSE);
    assert_eq!(placement.takes_one_in(START, &[]), Some(PAUSE + PAUSE));
}

#[test]
fn pause_outlives_an_entry_that_lapses_and_comes_back() {
    let mut placement = placement(&[true, true]);
    placement.pause(START, &id(0), PAUSE);
    let both = [server(0, true), server(1, true)];
    placement.set_servers(START, &both[1..]);
    let back = START + Micros::from_secs(1);
    placement.set_servers(back, &both);
    assert!(placement.is_paused(back, &id(0)));
}

#[test]
fn time_until_a_server_takes_one_is_that_of_the_first() {
    let mut placement = placement(&[true, true, true]);
    placement.pause(START, &id(0), PAUSE);
    placement.pause(START, &id(1), PAUSE + PAUSE);
    let limit = RateLimit { per_second: Some(1.0), said_at: START };
    placement.hear_limit(START, &id(2), limit);
    // Other instances share the limit.
    assert_eq!(placement.takes_one_in(START, &[]), Some(PAUSE));
    assert_eq!(placement.takes_one_in(START, &[id(0)]), Some(PAUSE + PAUSE));
    placement.share_limits(START, |_, _| LimitShare { part: 1.0, is_broadcaster: true });
    assert_eq!(placement.takes_one_in(START, &[]), Some(Micros::from_secs(1)));
    placement.mark_leaving(&id(2));
    assert_eq!(placement.takes_one_in(START, &[id(0), id(1)]), None);
}

#[test]
fn request_that_waits_is_turned_away_when_no_server_wants_it_in_time() {
    let mut placement = placement(&[true]);
    for _ in 0..6 {
        placement.start(START, &id(0));
    }
    let mut line = Line::new(WaitQueue::new(QueueConfig::default()));
    assert_eq!(line.place(START, &mut placement, wanted(1), 1.0), Placed::Waits);
    assert!(line.poll(START, &mut placement).is_empty());
    // A short pause still leaves it time.
    placement.pause(START, &id(0), Micros::from_millis(50));
    assert!(line.poll(START, &mut placement).is_empty());
    placement.pause(START, &id(0), PAUSE);
    let refusal = Refusal { retry_after: PAUSE, predicted: PAUSE };
    let moved = line.poll(START, &mut placement);
    assert_eq!(moved, [Moved { ticket: 1, result: Err(refusal) }]);
}

#[test]
fn shortage_of_servers_that_pause_is_told() {
    let mut placement = placement(&[true, true]);
    placement.pause(START, &id(0), PAUSE);
    assert_eq!(placement.shortage(START), Some(Shortage::Paused));
    assert_eq!(placement.shortage(START + PAUSE), None);
}

proptest! {
    /// Whatever servers say and when, no request is given to one that wants nothing, and a request is turned
    /// away only while none wants it.
    #[test]
    fn paused_servers_never_chosen(
        seed in any::<u64>(),
        steps in prop::collection::vec((0_usize..4, 0_u64..1_500, 1_u64..60), 1..200),
    ) {
        let mut placement = Placement::new(Default::default(), seed);
        let list: Vec<_> = (0..4).map(|n| server(n, n < 2)).collect();
        placement.set_servers(START, &list);
        let mut now = START;
        let mut until = [Micros::ZERO; 4];
        for (at, pause_ms, gap_ms) in steps {
            now = now + Micros::from_millis(gap_ms);
            if pause_ms > 700 {
                placement.pause(now, &id(at), Micros::from_millis(pause_ms));
                until[at] = until[at].max(now + Micros::from_millis(pause_ms));
            }
            match placement.choose(now, &ask(TARGET)) {
                Choice::Server(chosen) => {
                    let n: usize = chosen.0[1..].parse().unwrap();
                    prop_assert!(until[n] <= now, "{} at {:?}", n, now);
                    placement.start(now, &chosen);
                    placement.sent(&chosen);
                    placement.served(now, &chosen, WORK, Started::default());
                    placement.finish(&chosen);
                }
                Choice::Wait | Choice::Nowhere => {
                    prop_assert!(until.iter().all(|until| *until > now));
                }
            }
        }
    }
}

#[test]
fn pause_asked_for_while_the_entry_is_gone_holds_when_it_is_back() {
    let mut placement = placement(&[true, true]);
    let both = [server(0, true), server(1, true)];
    placement.set_servers(START, &both[1..]);
    placement.pause(START, &id(0), PAUSE);
    let back = START + Micros::from_secs(1);
    placement.set_servers(back, &both);
    assert!(placement.is_paused(back, &id(0)));
}
