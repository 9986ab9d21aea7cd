//! Who is there: instances that dispatch, the addresses that callers are given, the list of servers.

use super::{Event, Sim, domain_id};
use crate::fleet::Server;
use crate::scenario::{CALLERS, INSTANCES, MS, Time};
use galenapath_policy::dispatch::{
    ConnectionSplit, DispatcherLoad, Instance, choose_dispatcher, dispatchers,
};
use galenapath_policy::{BackendSpec, BackendState, ChoicePolicy};
use galenapath_protocol::Micros;
use rand::RngExt;

const CONNECTIONS: u32 = 240;
const LIST_RENEWED: Time = 50 * MS;

impl Sim {
    /// The list of servers as this instance sees it, and again later while servers change.
    pub(super) fn list(&mut self, instance: usize) {
        let seen = self.now.saturating_sub(self.entries[instance].lag);
        let split = ConnectionSplit { limit: CONNECTIONS };
        let is_dispatcher = self.dispatching.contains(&instance);
        let share =
            split.share(INSTANCES as u32, self.player.dispatchers as u32, is_dispatcher).max(1);
        let specs: Vec<BackendSpec> = (0..self.servers.len())
            .filter(|&i| {
                self.servers[i].listed_from <= seen && self.servers[i].takes_requests(seen)
            })
            .map(|i| BackendSpec {
                id: self.names[i].clone(),
                domain: domain_id(self.servers[i].domain),
                state: state(&self.servers[i], seen),
                connection_share: share,
            })
            .collect();
        self.entries[instance].balancer.set_backends(Micros(self.now), &specs);
        if self.entries[instance].live {
            self.at(self.now + LIST_RENEWED, Event::List { instance });
        }
    }

    pub(super) fn replace(&mut self, instance: usize) {
        let domain = self.entries[instance].domain;
        self.entries[instance].live = false;
        self.add_entry(domain, format!("i{instance}-new"));
        self.choose_dispatchers();
        for caller in 0..CALLERS {
            if !self.entries[self.pins[caller]].live {
                self.pin(caller);
            }
        }
    }

    pub(super) fn choose_dispatchers(&mut self) {
        let live: Vec<usize> = (0..self.entries.len()).filter(|&i| self.entries[i].live).collect();
        let instances: Vec<Instance> = live
            .iter()
            .map(|&i| Instance {
                id: self.entries[i].id.clone(),
                domain: domain_id(self.entries[i].domain),
            })
            .collect();
        let chosen = dispatchers("lookup", &instances, self.player.dispatchers);
        self.dispatching = chosen.into_iter().map(|i| live[i]).collect();
    }

    /// Gives a caller an address: a random one for baselines, by known load for galenapath.
    pub(super) fn pin(&mut self, caller: usize) {
        let place = if self.player.policy == ChoicePolicy::Galenapath {
            let loads: Vec<_> = self.dispatching.iter().map(|&i| self.known_load(i)).collect();
            choose_dispatcher(&loads, &mut self.rng).unwrap_or(0)
        } else {
            self.rng.random_range(0..self.dispatching.len())
        };
        self.pins[caller] = self.dispatching[place];
    }

    /// Load of an instance as its peers know it: of the last whole `LOAD_WINDOW`.
    pub(super) fn known_load(&self, instance: usize) -> DispatcherLoad {
        let entry = &self.entries[instance];
        let sharers = self.dispatching.iter().filter(|&&i| self.entries[i].domain == entry.domain);
        let slots = f64::from(entry.slots_before) / sharers.count().max(1) as f64;
        DispatcherLoad { rate: entry.load_before, slots }
    }
}

fn state(server: &Server, seen: Time) -> BackendState {
    if seen >= server.leaving_from { BackendState::Leaving } else { BackendState::Live }
}
