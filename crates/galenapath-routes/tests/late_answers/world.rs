//! Instances whose reads, watches and pulls from each other take any time.

use crate::store::{Store, Write, id, parse_server, record};
use crate::{INSTANCES, NOW, SERVERS};
use galenapath_platform::{Freshness, NextStep, PagedRead};
use galenapath_protocol::StorePosition;
use galenapath_routes::{Change, Directory, ListedServer, ServerChanges, ServerState};
use proptest::prelude::*;

const FIRST_EPOCH: u64 = 7;

/// A question that an instance has asked, and as much of the answer as there is.
#[derive(Clone, Debug)]
pub enum Call {
    Read { freshness: Freshness, pages: PagedRead, is_complete: bool },
    Watch { after: StorePosition, answer: Option<(StorePosition, Vec<(u64, Write)>)> },
    Pull { from: usize, known: StorePosition, answer: Option<ServerChanges> },
}

#[derive(Clone, Copy, Debug)]
pub enum Step {
    Start(u64),
    Leave(u64),
    Remove(u64),
    BackUp,
    ComeBack,
    WriteAgain,
    Read(usize, Freshness),
    Watch(usize),
    Pull(usize, usize),
    /// A call gets its answer, or the next page of it; a stale page is `lag` changes old.
    Answer {
        call: usize,
        lag: u64,
    },
    /// An answer arrives.
    Apply {
        call: usize,
    },
    Restart(usize),
}

pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 1..120)
}

/// Steps during which the store comes back from backups.
pub fn steps_with_backups() -> impl Strategy<Value = Vec<Step>> {
    let backup = prop_oneof![Just(Step::BackUp), Just(Step::ComeBack), Just(Step::WriteAgain)];
    prop::collection::vec(prop_oneof![20 => step(), 1 => backup], 1..120)
}

pub fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    let freshness = prop_oneof![Just(Freshness::Current), Just(Freshness::MayBeStale)];
    prop_oneof![
        4 => (0..SERVERS).prop_map(Step::Start),
        2 => (0..SERVERS).prop_map(Step::Leave),
        3 => (0..SERVERS).prop_map(Step::Remove),
        3 => (instance.clone(), freshness).prop_map(|(n, freshness)| Step::Read(n, freshness)),
        3 => instance.clone().prop_map(Step::Watch),
        4 => (instance.clone(), instance.clone()).prop_map(|(to, from)| Step::Pull(to, from)),
        10 => (0..8_usize, 0..12_u64).prop_map(|(call, lag)| Step::Answer { call, lag }),
        8 => (0..8_usize).prop_map(|call| Step::Apply { call }),
        1 => instance.prop_map(Step::Restart),
    ]
}

pub struct World {
    pub store: Store,
    pub instances: Vec<Directory>,
    pub calls: Vec<(usize, Call)>,
}

impl World {
    pub fn new() -> Self {
        let store = Store { epoch: FIRST_EPOCH, ..Store::default() };
        Self { store, instances: vec![Directory::default(); INSTANCES], calls: Vec::new() }
    }

    pub fn is_started(&self, server: u64) -> bool {
        self.store.writes.iter().any(|write| write.server == server)
    }

    pub fn write(&mut self, server: u64, state: Option<ServerState>) {
        self.store.write(Write { server, state });
    }

    pub fn play(&mut self, step: Step) {
        match step {
            Step::Start(server) if !self.is_started(server) => {
                self.write(server, Some(ServerState::Ready));
            }
            Step::Leave(server) if self.is_started(server) && !self.store.leaves(server) => {
                self.write(server, Some(ServerState::Leaving));
            }
            Step::Remove(server) if self.is_started(server) && !self.store.leaves(server) => {
                self.write(server, None);
            }
            Step::Start(_) | Step::Leave(_) | Step::Remove(_) => {}
            Step::BackUp => self.store.backup = self.store.written,
            Step::ComeBack => self.store.come_back(),
            Step::WriteAgain => {
                self.store.written = (self.store.written + 1).min(self.store.writes.len());
            }
            Step::Read(n, freshness) => {
                let pages = PagedRead::new(freshness);
                self.calls.push((n, Call::Read { freshness, pages, is_complete: false }));
            }
            Step::Watch(n) => {
                let after = self.instances[n].position();
                if after > StorePosition::default() {
                    self.calls.push((n, Call::Watch { after, answer: None }));
                }
            }
            Step::Pull(to, from) => {
                let known = self.instances[to].position();
                self.calls.push((to, Call::Pull { from, known, answer: None }));
            }
            Step::Answer { call, lag } if !self.calls.is_empty() => {
                self.answer(call % self.calls.len(), lag);
            }
            Step::Apply { call } if !self.calls.is_empty() => {
                let (n, call) = self.calls.remove(call % self.calls.len());
                self.apply(n, call);
            }
            Step::Answer { .. } | Step::Apply { .. } => {}
            Step::Restart(n) => {
                self.instances[n] = Directory::default();
                self.calls.retain(|(of, _)| *of != n);
            }
        }
    }

    pub fn answer(&mut self, index: usize, lag: u64) {
        let (_, call) = &mut self.calls[index];
        let store = &self.store;
        match call {
            Call::Read { freshness, pages, is_complete } if !*is_complete => {
                let lag = if *freshness == Freshness::Current { 0 } else { lag };
                let revision = store.position().revision.saturating_sub(lag);
                let page = store.page(pages.last_key(), revision);
                match pages.add(page, store.epoch) {
                    NextStep::ReadOn => {}
                    NextStep::Complete => *is_complete = true,
                    NextStep::EpochChanged => *pages = PagedRead::new(*freshness),
                }
            }
            Call::Watch { after, answer } if answer.is_none() => {
                if after.epoch == store.epoch && after.revision <= store.position().revision {
                    let writes = store.writes[..store.written].iter().copied();
                    let events = (1_u64..).zip(writes).skip(after.revision as usize);
                    *answer = Some((store.position(), events.collect()));
                }
            }
            Call::Pull { from, known, answer } if answer.is_none() => {
                let peer = &self.instances[*from];
                if peer.position() > *known {
                    *answer = Some(peer.changes_after(*known, NOW));
                }
            }
            Call::Read { .. } | Call::Watch { .. } | Call::Pull { .. } => {}
        }
    }

    pub fn apply(&mut self, n: usize, call: Call) {
        let directory = &mut self.instances[n];
        match call {
            Call::Read { pages, is_complete: true, .. } => {
                let (position, items) = pages.finish();
                let list = items.iter().map(|item| ListedServer {
                    revision: item.revision.0,
                    record: parse_server(item),
                    expires_in: None,
                });
                directory.apply_list(position, list.collect(), None);
            }
            // Events of an epoch that is over are not applied, see `Instance::apply_events`.
            Call::Watch { answer: Some((position, events)), .. }
                if position.epoch == directory.position().epoch =>
            {
                for (revision, Write { server, state }) in events {
                    let change = match state {
                        Some(state) => Change::Put(record(server, state)),
                        None => Change::Removed(id(server)),
                    };
                    directory.apply(revision, change, None);
                }
                directory.advance_position(position);
            }
            Call::Pull { answer: Some(changes), .. } => directory.merge(changes, NOW, None),
            Call::Read { .. } | Call::Watch { .. } | Call::Pull { .. } => {}
        }
    }

    /// What instance `n` lists against its position and the true history.
    pub fn check(&self, n: usize) -> Result<(), TestCaseError> {
        let directory = &self.instances[n];
        let position = directory.position();
        if position.epoch != self.store.epoch {
            return Ok(());
        }
        let at_position = self.store.entries(position.revision);
        for server in directory.servers() {
            let number: u64 = server.id.0[1..].parse().unwrap();
            prop_assert!(
                !self.store.is_gone(number, position),
                "instance {n} lists server {number}, which was gone at its position {position:?}"
            );
        }
        for (server, (_, state)) in at_position {
            if self.store.leaves(server) {
                continue;
            }
            let listed = directory.get(&id(server));
            prop_assert!(
                listed.is_some(),
                "instance {n} lacks server {server}, which its position {position:?} includes"
            );
            let is_stale =
                state == ServerState::Leaving && listed.unwrap().state != ServerState::Leaving;
            prop_assert!(!is_stale, "instance {n} takes server {server} for ready");
        }
        Ok(())
    }
}
