//! The state of the model: two operators change classes through a few instances at the same time,
//! while the store and the network fail.

use super::store::Store;
use galenapath_config::{
    Acceptance, Action, Chain, ChangeRejection, ChangeRequest, Config, Event, Head, HeadIndex,
    Outcome, Replica, TailLimits, Version,
};
use galenapath_protocol::Verdict;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// A safeguard of the protocol that is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    None,
    /// A replica applies older heads too.
    OlderApplied,
    /// A replica applies a tail that does not reach its version.
    GapIgnored,
    /// The head is written without comparing its index.
    UnconditionalSwap,
    /// A write whose reply is lost counts as not executed.
    LostReplyIsNotRun,
    /// After a swap without a reply, the index of the head is not compared.
    IndexIgnored,
    /// An operator's tool retries with a new identifier, based on the current revision.
    NewIdOnRetry,
    /// The revision that the operator's change is based on is not compared.
    BaseIgnored,
    /// A change whose record may no longer be in the tail is reported as a conflict.
    OldBaseIsConflict,
    /// The snapshot and the page are not written before the head.
    CompactionNotFirst,
}

/// Adds an event, given its name and its effect on a world.
type AddEvent<'a> = dyn FnMut(String, &dyn Fn(&mut World)) + 'a;

/// How often each kind of fault may still occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Faults {
    pub lost: u8,
    pub crashes: u8,
    pub outages: u8,
}

/// What the operator knows about its change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    Nothing,
    Accepted(Version),
    /// The change was reported as not accepted, and no earlier attempt is unresolved.
    NotAccepted,
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Operator {
    pub req: ChangeRequest,
    pub attempts_left: u8,
    pub answer: Answer,
    pub waiting: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Task {
    operator: usize,
    acceptance: Acceptance,
    action: Action,
    /// Index that the head really had, even where a mutation hides it from `acceptance`.
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
    /// Swaps that were sent and may still arrive at the store.
    pub delayed: Vec<(HeadIndex, Head)>,
    pub instances: Vec<Instance>,
    pub operators: Vec<Operator>,
    /// Every chain that has been in the store, oldest first, starting with the empty one.
    pub history: Vec<Arc<Chain>>,
    pub violation: Option<&'static str>,
}

impl World {
    /// Hashes a part of the state that differs between most worlds; equality compares all of it.
    pub fn hash_part<H: Hasher>(&self, state: &mut H) {
        (self.store.index, self.down, self.faults, self.delayed.len()).hash(state);
        for operator in &self.operators {
            (&operator.answer, operator.attempts_left, operator.waiting, operator.req.base)
                .hash(state);
        }
        for instance in &self.instances {
            instance.replica.version().hash(state);
            if let Some(task) = &instance.task {
                (task.operator, task.index, std::mem::discriminant(&task.action)).hash(state);
            }
        }
    }

    /// Returns every world that one event can lead to, with the event's name. The only successor of
    /// a world that violates a rule is itself with the violation recorded, so each world is checked
    /// once.
    pub fn successors(&self) -> Vec<(String, Self)> {
        if let Some(rule) = self.violated_rule() {
            let world = Self { violation: Some(rule), ..self.clone() };
            return vec![("which violates a rule".into(), world)];
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

    fn instance_events(&self, at: usize, add: &mut AddEvent) {
        for (n, operator) in self.operators.iter().enumerate() {
            let open = matches!(operator.answer, Answer::Nothing | Answer::Unknown);
            if open
                && !operator.waiting
                && operator.attempts_left > 0
                && self.instances[at].task.is_none()
            {
                add(format!("operator {n} sends its change to instance {at}"), &|world| {
                    world.send_change(n, at);
                });
            }
        }
        for version in 0..self.history.len() {
            let label = format!("instance {at} receives version {version}");
            add(label, &|world| world.receive_version(at, version));
        }
        if self.faults.crashes > 0 {
            add(format!("instance {at} restarts"), &|world| world.restart(at));
        }
        if let Some(task) = &self.instances[at].task {
            let label = format!("instance {at}: {}", name(&task.action));
            self.action_events(at, task, &label, add);
        }
    }

    fn action_events(&self, at: usize, task: &Task, label: &str, add: &mut AddEvent) {
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
                if world.mutation != Mutation::CompactionNotFirst {
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

    fn swap_events(
        &self,
        at: usize,
        expected: HeadIndex,
        head: &Head,
        label: &str,
        add: &mut AddEvent,
    ) {
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

    fn send_change(&mut self, n: usize, at: usize) {
        let replica = self.instances[at].replica.clone();
        let operator = &mut self.operators[n];
        let is_retry = operator.answer == Answer::Unknown;
        let reads_base = !is_retry || self.mutation == Mutation::NewIdOnRetry;
        if is_retry && self.mutation == Mutation::NewIdOnRetry {
            operator.req.id.0.push('+');
        }
        if reads_base {
            operator.req.base = replica.config().revision(operator.req.change.class_name());
        }
        operator.attempts_left -= 1;
        operator.waiting = true;
        let acceptance = Acceptance::new(operator.req.clone(), replica, 0, self.limits);
        let index = HeadIndex(0);
        let task = Task { operator: n, acceptance, action: Action::ReadHead, index };
        self.instances[at].task = Some(task);
    }

    fn receive_version(&mut self, at: usize, version: usize) {
        let chain = self.history[version].clone();
        let replica = &mut self.instances[at].replica;
        let before = replica.version();
        match self.mutation {
            Mutation::OlderApplied => {
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
            operator.answer = Answer::Unknown;
            operator.waiting = false;
            if let Action::Swap { expected, head } = task.action {
                // The swap was sent just before the crash.
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
                // Appears as if the head had changed since a swap without a reply.
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
            self.apply_outcome(at, n, outcome);
        }
    }

    fn apply_outcome(&mut self, at: usize, n: usize, outcome: Outcome) {
        let before = self.operators[n].answer.clone();
        let answer = match outcome {
            Outcome::Accepted { version, chain } => {
                self.instances[at].replica.apply_from(chain.config(), chain.head().clone());
                Answer::Accepted(version)
            }
            Outcome::Rejected(ChangeRejection::BaseTooOld { .. })
                if self.mutation != Mutation::OldBaseIsConflict =>
            {
                Answer::Unknown
            }
            Outcome::Rejected(_) => Answer::NotAccepted,
            Outcome::Unavailable(Verdict::NotRun) if before == Answer::Nothing => {
                Answer::NotAccepted
            }
            Outcome::Unavailable(_) => Answer::Unknown,
            Outcome::StoreBehind => {
                self.violation = Some("the store is behind an instance");
                Answer::Unknown
            }
        };
        self.operators[n].answer = answer;
        self.operators[n].waiting = false;
    }

    fn swap(&mut self, expected: HeadIndex, head: &Head) -> bool {
        let expected = match self.mutation {
            Mutation::UnconditionalSwap => self.store.index,
            _ => expected,
        };
        let done = self.store.swap(expected, head);
        if done {
            self.record_commit(head);
        }
        done
    }

    fn record_commit(&mut self, head: &Head) {
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
