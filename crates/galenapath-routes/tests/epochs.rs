//! A store that comes back from backups, and instances that follow it and each other.
//!
//! Drawn schedules of writes, backups, returns, reads, watches, and exchanges between instances.
//! The operator and the servers write again what they stated last, in order and interleaved with
//! the rest.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "epochs/store.rs"]
mod store;
mod support;

use galenapath_protocol::{BackendId, DomainId, FastSet, Micros, StorePosition};
use galenapath_routes::{Change, Directory, Evacuation, Evacuations, ListedServer, ServerState};
use proptest::prelude::*;
use store::{Store, Write};
use support::{DOMAIN, record};

const INSTANCES: usize = 3;
/// Time for which lost entries are kept; time passes only at the end of a schedule.
const KEPT_UNTIL: Micros = Micros::from_secs(2);
const AFTER: Micros = Micros::from_secs(3);

#[derive(Clone, Default)]
struct Instance {
    directory: Directory,
    evacuations: Evacuations,
    /// Runs that this instance has known to be removed.
    gone: FastSet<(u64, u64)>,
    /// Until when entries that disappear are kept, because the store has come back.
    kept_until: Option<Micros>,
}

impl Instance {
    /// When an entry that is missing at `position` is removed.
    fn gone_at(&mut self, position: StorePosition) -> Option<Micros> {
        let known = self.directory.position();
        if known.revision > 0 && position.epoch > known.epoch {
            self.kept_until = Some(KEPT_UNTIL);
        }
        self.kept_until
    }

    fn position(&self) -> StorePosition {
        self.directory.position().min(self.evacuations.position())
    }

    fn domain_is_evacuated(&self) -> bool {
        self.evacuations.contains(&DomainId(DOMAIN.into()))
    }

    fn read(&mut self, store: &Store) {
        let position = store.position();
        let evacuated = store.now.evacuated_at.map(|revision| evacuation(revision, true));
        self.evacuations.apply_snapshot(position, evacuated.into_iter().collect(), KEPT_UNTIL);
        let list = store.now.servers.iter().map(|(server, (revision, run, state))| ListedServer {
            revision: *revision,
            record: record(*server, *run, *state),
            expires_in: None,
        });
        let gone_at = self.gone_at(position);
        self.directory.apply_list(position, list.collect(), gone_at);
    }

    /// Watches from the known position; reads all keys where that is not possible.
    fn watch(&mut self, store: &Store) {
        let known = self.position();
        if known.revision == 0 || known.epoch != store.epoch || known.revision > store.now.revision
        {
            self.read(store);
            return;
        }
        for (revision, write) in &store.now.history {
            if *revision <= known.revision {
                continue;
            }
            match *write {
                Write::Put { server, run, state } => {
                    let change = Change::Put(record(server, run, state));
                    self.directory.apply(*revision, change, None);
                }
                Write::Remove { server } => {
                    let id = BackendId(format!("s{server}").into());
                    self.directory.apply(*revision, Change::Removed(id), self.kept_until);
                }
                Write::Evacuate => {
                    self.evacuations.apply(evacuation(*revision, true));
                }
                Write::Restore => {
                    self.evacuations.apply(evacuation(*revision, false));
                }
            }
        }
        self.directory.advance_position(store.position());
        self.evacuations.advance_position(store.position());
    }

    fn pull(&mut self, from: &Self) {
        if from.position() <= self.position() {
            return;
        }
        let statements = from.evacuations.known().cloned().collect();
        self.evacuations.merge(from.position(), statements, KEPT_UNTIL);
        let mut changes = from.directory.changes_after(self.directory.position(), Micros::ZERO);
        changes.position = from.position();
        let is_new_epoch = changes.position.epoch > self.directory.position().epoch;
        let gone_at = self.gone_at(changes.position).filter(|_| is_new_epoch);
        self.directory.merge(changes, Micros::ZERO, gone_at);
    }

    fn expire(&mut self) {
        self.kept_until = None;
        self.directory.expire(AFTER);
        self.evacuations.expire(AFTER);
    }

    /// Servers and their runs.
    fn runs(&self) -> FastSet<(u64, u64)> {
        let servers = self.directory.servers();
        servers.map(|s| (s.id.0[1..].parse().unwrap(), s.started.0)).collect()
    }

    fn listed(&self) -> Vec<(String, u64, ServerState)> {
        let servers = self.directory.servers();
        let mut all: Vec<_> = servers.map(|s| (s.id.0.to_string(), s.started.0, s.state)).collect();
        all.sort_by(|a, b| a.0.cmp(&b.0));
        all
    }
}

fn evacuation(revision: u64, is_in_force: bool) -> Evacuation {
    Evacuation { domain: DomainId(DOMAIN.into()), revision, is_in_force }
}

/// One step of a schedule.
#[derive(Clone, Copy, Debug)]
enum Step {
    Start(u64),
    Leave(u64),
    Remove(u64),
    Evacuate,
    Restore,
    BackUp,
    ComeBack,
    WriteAgain,
    Read(usize),
    Watch(usize),
    Pull(usize, usize),
    /// The instance starts anew, knowing nothing.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        3 => (0_u64..4).prop_map(Step::Start),
        2 => (0_u64..4).prop_map(Step::Leave),
        2 => (0_u64..4).prop_map(Step::Remove),
        1 => Just(Step::Evacuate),
        1 => Just(Step::Restore),
        1 => Just(Step::BackUp),
        1 => Just(Step::ComeBack),
        2 => Just(Step::WriteAgain),
        1 => instance.clone().prop_map(Step::Read),
        4 => instance.clone().prop_map(Step::Watch),
        4 => (instance.clone(), instance.clone()).prop_map(|(to, from)| Step::Pull(to, from)),
        1 => instance.prop_map(Step::Restart),
    ]
}

struct World {
    store: Store,
    instances: Vec<Instance>,
    next_run: u64,
}

impl World {
    fn new() -> Self {
        let mut store = Store { epoch: 7, ..Store::default() };
        store.now.revision = 100;
        store.backup = store.now.clone();
        Self { store, instances: vec![Instance::default(); INSTANCES], next_run: 1 }
    }

    /// Last write of a server, also of one that the store has lost.
    fn last_put(&self, server: u64) -> Option<(u64, ServerState)> {
        let lost = self.store.lost.iter();
        let all = self.store.now.history.iter().map(|(_, write)| write).chain(lost);
        let mut last = None;
        for write in all {
            match write {
                Write::Put { server: s, run, state } if *s == server => last = Some((*run, *state)),
                Write::Remove { server: s } if *s == server => last = None,
                _ => {}
            }
        }
        last
    }

    /// Records which of the runs that the instances knew have gone, unless they run.
    fn record_gone(&mut self, before: &[FastSet<(u64, u64)>]) {
        for (n, before) in before.iter().enumerate() {
            let now = self.instances[n].runs();
            for (server, run) in before.difference(&now) {
                if self.last_put(*server).is_none_or(|(latest, _)| latest != *run) {
                    self.instances[n].gone.insert((*server, *run));
                }
            }
        }
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Start(server) if self.last_put(server).is_none() => {
                let (run, state) = (self.next_run, ServerState::Ready);
                self.next_run += 1;
                self.store.write(Write::Put { server, run, state });
            }
            Step::Leave(server) => {
                if let Some((run, ServerState::Ready)) = self.last_put(server) {
                    let state = ServerState::Leaving;
                    self.store.write(Write::Put { server, run, state });
                }
            }
            Step::Remove(server) if self.last_put(server).is_some() => {
                self.store.write(Write::Remove { server });
            }
            Step::Start(_) | Step::Remove(_) => {}
            Step::Evacuate => self.store.write(Write::Evacuate),
            Step::Restore => self.store.write(Write::Restore),
            Step::BackUp => self.store.backup = self.store.now.clone(),
            Step::ComeBack => self.store.come_back(),
            Step::WriteAgain => self.store.write_again(),
            Step::Read(n) => self.instances[n].read(&self.store),
            Step::Watch(n) => self.instances[n].watch(&self.store),
            Step::Pull(to, from) => {
                let from = self.instances[from].clone();
                self.instances[to].pull(&from);
            }
            Step::Restart(n) => self.instances[n] = Instance::default(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// No position goes back, no instance uses a run again that it has known to be removed, and an
    /// evacuation that an instance knows ends only by a statement of the operator, or in time.
    #[test]
    fn epochs_nothing_known_is_forgotten(steps in prop::collection::vec(step(), 1..80)) {
        let mut world = World::new();
        for step in steps {
            let before: Vec<StorePosition> = world.instances.iter().map(Instance::position).collect();
            let returns = matches!(step, Step::ComeBack);
            let was_evacuated: Vec<bool> =
                world.instances.iter().map(Instance::domain_is_evacuated).collect();
            let runs: Vec<_> = world.instances.iter().map(Instance::runs).collect();
            world.play(step);
            if !matches!(step, Step::Restart(_)) {
                world.record_gone(&runs);
            }
            for (n, instance) in world.instances.iter().enumerate() {
                if matches!(step, Step::Restart(restarted) if restarted == n) {
                    continue;
                }
                prop_assert!(instance.position() >= before[n], "{step:?}");
                for run in instance.runs() {
                    prop_assert!(!instance.gone.contains(&run), "{run:?} is back after {step:?}");
                }
                let has_ended = was_evacuated[n] && !instance.domain_is_evacuated();
                let is_restored = world.store.now.history.iter().any(|(_, w)| *w == Write::Restore)
                    || world.store.lost.contains(&Write::Restore);
                prop_assert!(!has_ended || is_restored, "evacuation lost after {step:?}");
            }
            prop_assert!(!returns || world.store.epoch > 7);
        }
    }

    /// Once everything lost is written again, all instances agree with the store, whichever way
    /// they learned of it.
    #[test]
    fn epochs_all_agree_in_the_end(steps in prop::collection::vec(step(), 1..80)) {
        let mut world = World::new();
        for step in steps {
            world.play(step);
        }
        // A write that brings the position beyond what any instance has read.
        world.store.write(Write::Restore);
        world.instances[0].watch(&world.store);
        let first = world.instances[0].clone();
        world.instances[1].pull(&first);
        world.instances[2].watch(&world.store);
        for instance in &mut world.instances {
            instance.expire();
        }
        let expected: Vec<(String, u64, ServerState)> = world.store.now.servers.iter()
            .map(|(server, (_, run, state))| (format!("s{server}"), *run, *state))
            .collect();
        for (n, instance) in world.instances.iter().enumerate() {
            prop_assert_eq!(instance.listed(), expected.clone(), "instance {}", n);
            prop_assert_eq!(instance.domain_is_evacuated(), false, "instance {}", n);
        }
    }
}
