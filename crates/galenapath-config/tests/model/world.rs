//! Two operators race through a few instances; the store and the network misbehave.

use super::store::Store;
use galenapath_config::{
    Acceptance, Action, Chain, ChangeRejection, ChangeRequest, Config, Event, Head, HeadIndex,
    Outcome, Replica, TailLimits, Version,
};
use galenapath_protocol::Verdict;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// A guard of the protocol that is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    None,
    /// A replica takes whatever head it is offered.
    OlderTaken,
    /// A replica applies a tail that does not reach its version.
    GapIgnored,
    /// The store is written without comparing.
    SwapBlind,
    /// A write without a reply is taken for one that was not made.
    LostReplyIsNotRun,
    /// The read back does not look at the index.
    IndexIgnored,
    /// An operator's tool sends again under a new identifier, on what it sees now.
    NewIdOnRetry,
    /// The revision that the operator saw is not compared.
    BaseIgnored,
    /// A change that may have left the tail is called a conflict.
    OldBaseIsConflict,
    /// The snapshot and the page are not written before the head.
    CutNotFirst,
}

/// Takes the name of an event and what it does to a world.
type Add<'a> = dyn FnMut(String, &dyn Fn(&mut World)) + 'a;

/// What may go wrong how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Faults {
    pub lost: u8,
    pub crashes: u8,
    pub outages: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Told {
    Nothing,
    Accepted(Version),
    /// Told that it was not accepted; no earlier try is open.
    NotAccepted,
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Operator {
    pub req: ChangeRequest,
    pub tries: u8,
    pub told: Told,
    pub waiting: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Task {
    operator: usize,
    acceptance: Acceptance,
    action: Action,
    /// Index that the store really had, where the acceptance is not told.
    index: HeadIndex,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Instance {
    pub replica: Replica,
    pub task: Option<Task>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub mutation: Mutation,
    pub limits: TailLimits,
    pub faults: Faults,
    pub down: bool,
    pub store: Store,
    /// Swaps that were sent and may still arrive.
    pub delayed: Vec<(HeadIndex, Head)>,
    pub instances: Vec<Instance>,
    pub operators: Vec<Operator>,
    /// Every chain that was ever in the store, from the empty one on.
    pub history: Vec<Arc<Chain>>,
    pub violation: Option<&'static str>,
}

impl World {
    /// Hashes what tells most worlds apart; equality looks at all of it.
    pub fn hash_small<H: Hasher>(&self, state: &mut H) {
        (self.store.index, self.down, self.faults, self.delayed.len()).hash(state);
        for operator in &self.operators {
            (&operator.told, operator.tries, operator.waiting, operator.req.base).hash(state);
        }
        for instance in &self.instances {
            instance.replica.version().hash(state);
            if let Some(task) = &instance.task {
                (task.operator, task.index, std::mem::discriminant(&task.action)).hash(state);
            }
        }
    }

    /// Every world that one event can lead to, with the event's name. A world that breaks a rule
    /// leads only to itself with the violation noted, so each world is checked once.
    pub fn successors(&self) -> Vec<(String, Self)> {
        if let Some(rule) = self.broken_rule() {
            let world = Self { violation: Some(rule), ..self.clone() };
            return vec![("which breaks a rule".into(), world)];
        }
        let mut next = Vec::new();
        let mut add = |label: String, event: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            event(&mut world);
            next.push((label, world));
        };
        for at in 0..self.instances.len() {
            self.instance_events(at, &mut add);
        }
        for (n, (expected, head)) in self.delayed.iter().enumerate().filter(|_| !self.down) {
            add(format!("delayed swap of version {} arrives", head.version()), &|world| {
                world.delayed.remove(n);
                world.swap(*expected, head);
            });
        }
        if self.down {
            add("store comes back".into(), &|world| world.down = false);
        } else if self.faults.outages > 0 {
            add("store goes down".into(), &|world| {
                world.faults.outages -= 1;
                world.down = true;
            });
        }
        next
    }

    fn instance_events(&self, at: usize, add: &mut Add) {
        for (n, operator) in self.operators.iter().enumerate() {
            let open = matches!(operator.told, Told::Nothing | Told::Unknown);
            if open && !operator.waiting && operator.tries > 0 && self.instances[at].task.is_none()
            {
                add(format!("operator {n} asks instance {at}"), &|world| world.ask(n, at));
            }
        }
        for version in 0..self.history.len() {
            let label = format!("instance {at} is offered version {version}");
            add(label, &|world| world.offer(at, version));
        }
        if self.faults.crashes > 0 {
            add(format!("instance {at} restarts"), &|world| world.restart(at));
        }
        if let Some(task) = &self.instances[at].task {
            let label = format!("instance {at}: {}", name(&task.action));
            self.action_events(at, task, &label, add);
        }
    }

    fn action_events(&self, at: usize, task: &Task, label: &str, add: &mut Add) {
        if self.down {
            add(format!("{label}, store down"), &|world| {
                world.feed(at, Event::Failed(Verdict::NotRun));
            });
            return;
        }
        match &task.action {
            Action::ReadHead => add(label.into(), &|world| world.read_head(at)),
            Action::ReadSnapshot(version) => {
                add(label.into(), &|world| match world.store.snapshots.get(version).cloned() {
                    Some(config) => world.feed(at, Event::Snapshot(config)),
                    None => world.violation = Some("a snapshot is missing"),
                })
            }
            Action::WriteCompaction { snapshot, page } => add(label.into(), &|world| {
                if world.mutation != Mutation::CutNotFirst {
                    world.store.snapshots.insert(snapshot.version(), snapshot.clone());
                    world.store.pages.insert(page.last_version(), page.clone());
                }
                world.feed(at, Event::CompactionWritten);
            }),
            Action::Swap { expected, head } => {
                let expected = match self.mutation {
                    Mutation::IndexIgnored => task.index,
                    _ => *expected,
                };
                self.swap_events(at, expected, head, label, add);
            }
            Action::Answer(_) => {}
        }
    }

    fn swap_events(&self, at: usize, expected: HeadIndex, head: &Head, label: &str, add: &mut Add) {
        add(label.into(), &|world| {
            let done = world.swap(expected, head);
            world.feed(at, if done { Event::Swapped } else { Event::SwapConflict });
        });
        if self.faults.lost == 0 {
            return;
        }
        add(format!("{label}, reply lost"), &|world| {
            world.faults.lost -= 1;
            world.swap(expected, head);
            world.feed_unknown(at);
        });
        add(format!("{label}, delayed in the network"), &|world| {
            world.faults.lost -= 1;
            world.delayed.push((expected, head.clone()));
            world.feed_unknown(at);
        });
    }

    fn ask(&mut self, n: usize, at: usize) {
        let replica = self.instances[at].replica.clone();
        let operator = &mut self.operators[n];
        let again = operator.told == Told::Unknown;
        let sees_anew = !again || self.mutation == Mutation::NewIdOnRetry;
        if again && self.mutation == Mutation::NewIdOnRetry {
            operator.req.id.0.push('+');
        }
        if sees_anew {
            operator.req.base = replica.config().revision(operator.req.change.class_name());
        }
        operator.tries -= 1;
        operator.waiting = true;
        let acceptance = Acceptance::new(operator.req.clone(), replica, 0, self.limits);
        let index = HeadIndex(0);
        let task = Task { operator: n, acceptance, action: Action::ReadHead, index };
        self.instances[at].task = Some(task);
    }

    fn offer(&mut self, at: usize, version: usize) {
        let chain = self.history[version].clone();
        let replica = &mut self.instances[at].replica;
        let before = replica.version();
        match self.mutation {
            Mutation::OlderTaken => {
                *replica = Replica::default();
                replica.apply_from(chain.config(), chain.head().clone());
            }
            Mutation::GapIgnored => {
                let known = replica.config();
                let start = chain.head().before_tail().max(known.version());
                let forged =
                    Config::new(start, known.classes().cloned(), known.last_changes().clone());
                replica.apply_from(&Arc::new(forged.unwrap()), chain.head().clone());
            }
            _ => {
                replica.apply_from(chain.config(), chain.head().clone());
            }
        }
        if replica.version() < before {
            self.violation = Some("a replica went back to an older version");
        }
    }

    fn restart(&mut self, at: usize) {
        self.faults.crashes -= 1;
        if let Some(task) = self.instances[at].task.take() {
            let operator = &mut self.operators[task.operator];
            operator.told = Told::Unknown;
            operator.waiting = false;
            if let Action::Swap { expected, head } = task.action {
                // Sent just before the crash.
                self.delayed.push((expected, head));
            }
        }
        self.instances[at] = Instance::default();
    }

    fn read_head(&mut self, at: usize) {
        let (mut index, head) = (self.store.index, self.store.head.clone());
        let replica = self.instances[at].replica.clone();
        let Some(task) = &mut self.instances[at].task else { return };
        task.index = index;
        match self.mutation {
            Mutation::IndexIgnored => {
                // Looks as if the head had moved on since a swap without a reply.
                index.0 += 1_000 * (1 + u64::from(self.faults.lost));
            }
            Mutation::BaseIgnored => {
                let req = self.operators[task.operator].req.clone();
                let newest = self.history.last().unwrap().config();
                let base = newest.revision(req.change.class_name());
                let req = ChangeRequest { base, ..req };
                task.acceptance = Acceptance::new(req, replica, 0, self.limits);
            }
            _ => {}
        }
        self.feed(at, Event::Head { index, head });
    }

    fn feed_unknown(&mut self, at: usize) {
        let verdict = match self.mutation {
            Mutation::LostReplyIsNotRun => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        };
        self.feed(at, Event::Failed(verdict));
    }

    fn feed(&mut self, at: usize, event: Event) {
        let Some(task) = &mut self.instances[at].task else { return };
        task.action = task.acceptance.step(event);
        if let Action::Answer(outcome) = task.action.clone() {
            let n = task.operator;
            self.instances[at].task = None;
            self.answer(at, n, outcome);
        }
    }

    fn answer(&mut self, at: usize, n: usize, outcome: Outcome) {
        let before = self.operators[n].told.clone();
        let told = match outcome {
            Outcome::Accepted { version, chain } => {
                self.instances[at].replica.apply_from(chain.config(), chain.head().clone());
                Told::Accepted(version)
            }
            Outcome::Rejected(ChangeRejection::BaseTooOld { .. })
                if self.mutation != Mutation::OldBaseIsConflict =>
            {
                Told::Unknown
            }
            Outcome::Rejected(_) => Told::NotAccepted,
            Outcome::Unavailable(Verdict::NotRun) if before == Told::Nothing => Told::NotAccepted,
            Outcome::Unavailable(_) => Told::Unknown,
            Outcome::StoreBehind => {
                self.violation = Some("the store is behind an instance");
                Told::Unknown
            }
        };
        self.operators[n].told = told;
        self.operators[n].waiting = false;
    }

    fn swap(&mut self, expected: HeadIndex, head: &Head) -> bool {
        let expected = match self.mutation {
            Mutation::SwapBlind => self.store.index,
            _ => expected,
        };
        let done = self.store.swap(expected, head);
        if done {
            self.committed(head);
        }
        done
    }

    fn committed(&mut self, head: &Head) {
        let newest = self.history.last().unwrap().clone();
        match Chain::follow(newest.config(), head.clone()) {
            Ok(chain) if chain.version() > newest.version() => self.history.push(Arc::new(chain)),
            _ => self.violation = Some("an accepted change was overwritten"),
        }
    }
}

fn name(action: &Action) -> String {
    match action {
        Action::ReadHead => "reads the head".into(),
        Action::ReadSnapshot(version) => format!("reads snapshot {version}"),
        Action::WriteCompaction { page, .. } => format!("writes page {}", page.last_version()),
        Action::Swap { head, .. } => format!("swaps in version {}", head.version()),
        Action::Answer(_) => "answers".into(),
    }
}
