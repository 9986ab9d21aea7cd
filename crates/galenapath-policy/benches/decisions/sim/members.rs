//! Membership: dispatching instances, addresses that callers receive, and lists of servers.

use super::{Event, Simulation, domain_id};
use crate::fleet::Server;
use crate::scenario::{CALLERS, INSTANCES, MS, Time};
use galenapath_policy::dispatch::{
    ConnectionSplit, DispatcherLoad, Instance, choose_dispatcher, dispatchers,
};
use galenapath_policy::{BackendSpec, BackendState, ChoicePolicy};
use galenapath_protocol::Micros;
use rand::RngExt;

const CONNECTIONS: u32 = 240;
const LIST_INTERVAL: Time = 50 * MS;

impl Simulation {
    /// Updates the list of servers of an instance and schedules the next update.
    pub(super) fn refresh_servers(&mut self, instance: usize) {
        let seen = self.now.saturating_sub(self.entries[instance].lag);
        let split = ConnectionSplit { limit: CONNECTIONS };
        let is_dispatcher = self.dispatching.contains(&instance);
        let share =
            split.share(INSTANCES as u32, self.variant.dispatchers as u32, is_dispatcher).max(1);
        let specs: Vec<BackendSpec> = (0..self.servers.len())
            .filter(|&i| {
                self.servers[i].listed_from <= seen && self.servers[i].accepts_requests(seen)
            })
            .map(|i| BackendSpec {
                id: self.names[i].clone(),
                domain: domain_id(self.servers[i].domain),
                state: state(&self.servers[i], seen),
                connection_share: share,
            })
            .collect();
        self.entries[instance].balancer.set_backends(Micros(self.now), &specs);
        if self.entries[instance].is_live {
            self.at(self.now + LIST_INTERVAL, Event::RefreshServers { instance });
        }
    }

    pub(super) fn replace_instance(&mut self, instance: usize) {
        let domain = self.entries[instance].domain;
        self.entries[instance].is_live = false;
        self.add_entry(domain, format!("i{instance}-new"));
        self.choose_dispatchers();
        for caller in 0..CALLERS {
            if !self.entries[self.assigned_instances[caller]].is_live {
                self.assign_instance(caller);
            }
        }
    }

    pub(super) fn choose_dispatchers(&mut self) {
        let live: Vec<usize> =
            (0..self.entries.len()).filter(|&i| self.entries[i].is_live).collect();
        let instances: Vec<Instance> = live
            .iter()
            .map(|&i| Instance {
                id: self.entries[i].id.clone(),
                domain: domain_id(self.entries[i].domain),
            })
            .collect();
        let chosen = dispatchers("lookup", &instances, self.variant.dispatchers);
        self.dispatching = chosen.into_iter().map(|i| live[i]).collect();
    }

    /// Assigns an instance to a caller: at random for baselines, by known load for galenapath.
    pub(super) fn assign_instance(&mut self, caller: usize) {
        let index = if self.variant.policy == ChoicePolicy::Galenapath {
            let loads: Vec<_> = self.dispatching.iter().map(|&i| self.known_load(i)).collect();
            choose_dispatcher(&loads, &mut self.rng).unwrap_or(0)
        } else {
            self.rng.random_range(0..self.dispatching.len())
        };
        self.assigned_instances[caller] = self.dispatching[index];
    }

    /// Load of an instance as known to its peers, from the last complete `LOAD_WINDOW`.
    pub(super) fn known_load(&self, instance: usize) -> DispatcherLoad {
        let entry = &self.entries[instance];
        let sharers = self.dispatching.iter().filter(|&&i| self.entries[i].domain == entry.domain);
        let slots = f64::from(entry.last_slots) / sharers.count().max(1) as f64;
        DispatcherLoad { rate: entry.last_load, slots }
    }
}

fn state(server: &Server, seen: Time) -> BackendState {
    if seen >= server.leaving_from { BackendState::Leaving } else { BackendState::Live }
}
