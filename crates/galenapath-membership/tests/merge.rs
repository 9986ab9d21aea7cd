//! The rule of merging news of members.

use galenapath_membership::{GossipConfig, GossipMembership, Member, MemberStatus};
use galenapath_protocol::{DomainId, Incarnation, InstanceId, Micros};
use pathfinding::prelude::bfs_reach;
use proptest::prelude::*;

const NOW: Micros = Micros::from_secs(1);

fn member(incarnation: u64, beat: u64, status: MemberStatus) -> Member {
    Member {
        id: InstanceId(format!("entry-{incarnation}")),
        incarnation: Incarnation(incarnation),
        domain: DomainId("d1".into()),
        caller_address: ([127, 0, 0, 1], 1).into(),
        peer_address: ([127, 0, 0, 1], 2).into(),
        status_version: beat,
        status,
    }
}

/// A table of member 0 that knows members 1 to 3 as live.
fn table() -> GossipMembership {
    let mut members =
        GossipMembership::new(GossipConfig::default(), NOW, member(0, 0, MemberStatus::Live));
    let list: Vec<Member> = (1..4).map(|i| member(i, 0, MemberStatus::Live)).collect();
    members.learn(NOW, &list);
    members
}

/// What a table says of others: beat and status by member.
fn view(members: &GossipMembership) -> Vec<(u64, u64, MemberStatus)> {
    let mut view: Vec<_> = members
        .all()
        .filter(|m| m.incarnation.0 != 0)
        .map(|m| (m.incarnation.0, m.status_version, m.status))
        .collect();
    view.sort_unstable();
    view
}

fn news() -> impl Strategy<Value = Member> {
    let status = prop_oneof![
        Just(MemberStatus::Live),
        Just(MemberStatus::Suspect),
        Just(MemberStatus::Leaving),
        Just(MemberStatus::Gone),
    ];
    (1_u64..4, 0_u64..4, status).prop_map(|(i, beat, status)| member(i, beat, status))
}

proptest! {
    #[test]
    fn merge_order_does_not_matter(news in prop::collection::vec(news(), 0..12), turn in 0_usize..12) {
        let mut first = table();
        first.merge(NOW, &news);
        let mut turned = news.clone();
        turned.rotate_left(turn.min(news.len()));
        turned.reverse();
        let mut second = table();
        second.merge(NOW, &turned);
        prop_assert_eq!(view(&first), view(&second));
    }

    #[test]
    fn merge_twice_is_once(news in prop::collection::vec(news(), 0..12)) {
        let mut members = table();
        members.merge(NOW, &news);
        let once = view(&members);
        let version = members.version();
        members.merge(NOW, &news);
        prop_assert_eq!(view(&members), once);
        prop_assert_eq!(members.version(), version);
    }

    #[test]
    fn merge_never_goes_back(news in prop::collection::vec(news(), 0..12)) {
        let mut members = table();
        for member in &news {
            let before = view(&members);
            members.merge(NOW, std::slice::from_ref(member));
            for (old, new) in before.iter().zip(view(&members)) {
                prop_assert!((new.1, new.2) >= (old.1, old.2));
            }
        }
    }

    #[test]
    fn refute_own_entry_stays_usable(news in prop::collection::vec(news(), 0..12)) {
        let mut members = table();
        for mut member in news {
            member.incarnation = Incarnation(0);
            members.merge(NOW, &[member.clone()]);
            let own = members.own().cloned();
            prop_assert!(own.is_some_and(|own| own.is_usable() && !member.is_newer_than(&own)));
        }
    }
}

/// Whether news replaces what is known; the rule itself and rules with a guard left out.
type Rule = fn(&Member, &Member) -> bool;

fn rule(news: &Member, known: &Member) -> bool {
    news.is_newer_than(known)
}

/// The member itself and two that hear of it. The member may raise its beat, be suspected, be
/// declared gone; any message ever sent may arrive at any time, and again.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    own: (u64, MemberStatus),
    heard: [(u64, MemberStatus); 2],
    /// Highest news that each hearer ever held: the ghost that shows a step back.
    highest: [(u64, MemberStatus); 2],
    sent: std::collections::BTreeSet<(u64, MemberStatus)>,
}

const MOST_BEATS: u64 = 2;

fn start() -> State {
    let live = (0, MemberStatus::Live);
    State { own: live, heard: [live; 2], highest: [live; 2], sent: [live].into() }
}

fn steps(state: &State, rule: Rule) -> Vec<State> {
    let mut next = Vec::new();
    let (beat, status) = state.own;
    for status in [status, MemberStatus::Leaving] {
        if beat < MOST_BEATS && status >= state.own.1 {
            let mut after = state.clone();
            after.own = (beat + 1, status);
            after.sent.insert(after.own);
            next.push(after);
        }
    }
    for at in 0..2 {
        for told in &state.sent {
            next.extend(hear(state, at, *told, rule));
        }
        let (beat, known) = state.heard[at];
        let worse = match known {
            MemberStatus::Live => MemberStatus::Suspect,
            _ => MemberStatus::Gone,
        };
        let mut after = state.clone();
        after.heard[at] = (beat, worse);
        after.highest[at] = after.highest[at].max(after.heard[at]);
        after.sent.insert(after.heard[at]);
        next.push(after);
    }
    next
}

fn hear(state: &State, at: usize, told: (u64, MemberStatus), rule: Rule) -> Option<State> {
    let news = member(1, told.0, told.1);
    let known = member(1, state.heard[at].0, state.heard[at].1);
    rule(&news, &known).then(|| {
        let mut after = state.clone();
        after.heard[at] = told;
        after.highest[at] = after.highest[at].max(told);
        after
    })
}

/// No hearer ever holds older news than it held before; the number of states, or a violation.
fn check(rule: Rule) -> Result<usize, State> {
    let mut states = 0;
    for state in bfs_reach(start(), |state| steps(state, rule)) {
        states += 1;
        if state.heard != state.highest {
            return Err(state);
        }
    }
    Ok(states)
}

#[test]
fn model_merge_no_step_back() {
    let states = check(rule).unwrap();
    println!("merge rule: {states} states, no violation");
    assert!(states > 500);
}

#[test]
fn model_merge_mutants_found() {
    let without_beat: Rule =
        |news, known| news.status > known.status || news.status_version > known.status_version;
    let without_status: Rule = |news, known| news.status_version >= known.status_version;
    let status_first: Rule =
        |news, known| (news.status, news.status_version) > (known.status, known.status_version);
    let always: Rule = |_, _| true;
    for (name, mutant) in [
        ("beat not compared first", without_beat),
        ("status not compared", without_status),
        ("status before beat", status_first),
        ("no guard", always),
    ] {
        assert!(check(mutant).is_err(), "{name}");
    }
}
