//! The rule of merging updates about members.

use galenapath_membership::{GossipConfig, GossipMembership, Member, MemberStatus};
use galenapath_protocol::{DomainId, Incarnation, InstanceId, Micros};
use pathfinding::prelude::bfs_reach;
use proptest::prelude::*;

const NOW: Micros = Micros::from_secs(1);

fn member(incarnation: u64, version: u64, status: MemberStatus) -> Member {
    Member {
        id: InstanceId(format!("entry-{incarnation}")),
        incarnation: Incarnation(incarnation),
        domain: DomainId("d1".into()),
        caller_address: ([127, 0, 0, 1], 1).into(),
        peer_address: ([127, 0, 0, 1], 2).into(),
        status_version: version,
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

/// Status version and status of each other member in a table.
fn view(members: &GossipMembership) -> Vec<(u64, u64, MemberStatus)> {
    let mut view: Vec<_> = members
        .all()
        .filter(|m| m.incarnation.0 != 0)
        .map(|m| (m.incarnation.0, m.status_version, m.status))
        .collect();
    view.sort_unstable();
    view
}

fn update() -> impl Strategy<Value = Member> {
    let status = prop_oneof![
        Just(MemberStatus::Live),
        Just(MemberStatus::Suspect),
        Just(MemberStatus::Leaving),
        Just(MemberStatus::Gone),
    ];
    (1_u64..4, 0_u64..4, status).prop_map(|(i, version, status)| member(i, version, status))
}

proptest! {
    #[test]
    fn merge_order_does_not_matter(updates in prop::collection::vec(update(), 0..12), turn in 0_usize..12) {
        let mut first = table();
        first.merge(NOW, &updates);
        let mut turned = updates.clone();
        turned.rotate_left(turn.min(updates.len()));
        turned.reverse();
        let mut second = table();
        second.merge(NOW, &turned);
        prop_assert_eq!(view(&first), view(&second));
    }

    #[test]
    fn merge_twice_is_once(updates in prop::collection::vec(update(), 0..12)) {
        let mut members = table();
        members.merge(NOW, &updates);
        let once = view(&members);
        let version = members.version();
        members.merge(NOW, &updates);
        prop_assert_eq!(view(&members), once);
        prop_assert_eq!(members.version(), version);
    }

    #[test]
    fn merge_never_goes_back(updates in prop::collection::vec(update(), 0..12)) {
        let mut members = table();
        for member in &updates {
            let before = view(&members);
            members.merge(NOW, std::slice::from_ref(member));
            for (old, new) in before.iter().zip(view(&members)) {
                prop_assert!((new.1, new.2) >= (old.1, old.2));
            }
        }
    }

    #[test]
    fn refute_own_entry_stays_usable(updates in prop::collection::vec(update(), 0..12)) {
        let mut members = table();
        for mut member in updates {
            member.incarnation = Incarnation(0);
            members.merge(NOW, &[member.clone()]);
            let own = members.own().cloned();
            prop_assert!(own.is_some_and(|own| own.is_usable() && !member.is_newer_than(&own)));
        }
    }
}

/// Whether an update replaces the known entry. Used for the rule itself and for mutants of it.
type Rule = fn(&Member, &Member) -> bool;

fn rule(update: &Member, known: &Member) -> bool {
    update.is_newer_than(known)
}

/// The member itself and two receivers. The member may raise its version, be suspected or be
/// declared gone; any message may arrive at any time and more than once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    own: (u64, MemberStatus),
    received: [(u64, MemberStatus); 2],
    /// Newest update that each receiver ever held; shows when a receiver goes back.
    highest: [(u64, MemberStatus); 2],
    sent: std::collections::BTreeSet<(u64, MemberStatus)>,
}

const MAX_VERSION: u64 = 2;

fn start() -> State {
    let live = (0, MemberStatus::Live);
    State { own: live, received: [live; 2], highest: [live; 2], sent: [live].into() }
}

fn steps(state: &State, rule: Rule) -> Vec<State> {
    let mut next = Vec::new();
    let (version, status) = state.own;
    for status in [status, MemberStatus::Leaving] {
        if version < MAX_VERSION && status >= state.own.1 {
            let mut after = state.clone();
            after.own = (version + 1, status);
            after.sent.insert(after.own);
            next.push(after);
        }
    }
    for at in 0..2 {
        for update in &state.sent {
            next.extend(receive(state, at, *update, rule));
        }
        let (version, known) = state.received[at];
        let worse = match known {
            MemberStatus::Live => MemberStatus::Suspect,
            _ => MemberStatus::Gone,
        };
        let mut after = state.clone();
        after.received[at] = (version, worse);
        after.highest[at] = after.highest[at].max(after.received[at]);
        after.sent.insert(after.received[at]);
        next.push(after);
    }
    next
}

fn receive(state: &State, at: usize, update: (u64, MemberStatus), rule: Rule) -> Option<State> {
    let new = member(1, update.0, update.1);
    let known = member(1, state.received[at].0, state.received[at].1);
    rule(&new, &known).then(|| {
        let mut after = state.clone();
        after.received[at] = update;
        after.highest[at] = after.highest[at].max(update);
        after
    })
}

/// Checks that no receiver ever replaces an update by an older one. Returns the number of states,
/// or the state that violates it.
fn check(rule: Rule) -> Result<usize, State> {
    let mut states = 0;
    for state in bfs_reach(start(), |state| steps(state, rule)) {
        states += 1;
        if state.received != state.highest {
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
    let without_version: Rule = |update, known| {
        update.status > known.status || update.status_version > known.status_version
    };
    let without_status: Rule = |update, known| update.status_version >= known.status_version;
    let status_first: Rule = |update, known| {
        (update.status, update.status_version) > (known.status, known.status_version)
    };
    let always: Rule = |_, _| true;
    for (name, mutant) in [
        ("version not compared first", without_version),
        ("status not compared", without_status),
        ("status before version", status_first),
        ("no guard", always),
    ] {
        assert!(check(mutant).is_err(), "{name}");
    }
}
