//! Many instances and servers with drawn faults: no instance concludes that its paths are gone
//! unless they are, and each that has lost them does so in time.

use galenapath_policy::reach::{Contacts, Exchange, PathState};
use galenapath_protocol::{BackendId, Incarnation, Micros};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time between two rounds, in each of which an instance tries some servers.
const ROUND: Micros = Micros::from_millis(50);

/// Time after which a server that does not answer counts as such.
const TIMEOUT: Micros = Micros::from_millis(150);

/// Servers that an instance tries in a round.
const TRIED: usize = 3;

/// Instances asked in a round.
const ASKED: usize = 3;

/// A fleet in which some servers have failed and some instances have lost their paths from the
/// start.
#[derive(Clone, Debug)]
struct Faults {
    instances: usize,
    servers: usize,
    /// Servers that answer none.
    failed: Vec<bool>,
    /// Instances that reach no server.
    cut: Vec<bool>,
    /// Probability that an exchange fails by chance.
    loss: f64,
    seed: u64,
}

fn faults() -> impl Strategy<Value = Faults> {
    (3..24_usize, 2..40_usize, 0.0..0.05, any::<u64>()).prop_flat_map(
        |(instances, servers, loss, seed)| {
            let failed = prop::collection::vec(prop::bool::weighted(0.2), servers);
            let cut = prop::collection::vec(prop::bool::weighted(0.4), instances);
            (failed, cut).prop_map(move |(failed, cut)| Faults {
                instances,
                servers,
                failed,
                cut,
                loss,
                seed,
            })
        },
    )
}

struct Fleet {
    faults: Faults,
    contacts: Vec<Contacts>,
    rng: SmallRng,
}

impl Fleet {
    fn new(faults: Faults) -> Self {
        let contacts = (0..faults.instances).map(|_| Contacts::default()).collect();
        let rng = SmallRng::seed_from_u64(faults.seed);
        Self { faults, contacts, rng }
    }

    fn id(server: usize) -> BackendId {
        BackendId(format!("i-{server}").into())
    }

    fn is_answered(&mut self, instance: usize, server: usize) -> bool {
        let Faults { failed, cut, loss, .. } = &self.faults;
        !failed[server] && !cut[instance] && !self.rng.random_bool(*loss)
    }

    fn exchange(&mut self, now: Micros, instance: usize, server: usize) {
        let id = Self::id(server);
        if self.is_answered(instance, server) {
            let exchange = Exchange { started_at: now, is_new_connection: true };
            self.contacts[instance].record_answer(now, &id, exchange);
        } else {
            let exchange = Exchange { started_at: now - TIMEOUT, is_new_connection: true };
            self.contacts[instance].record_failure(&id, exchange);
        }
    }

    fn round(&mut self, now: Micros) {
        for instance in 0..self.faults.instances {
            for _ in 0..TRIED {
                let server = self.rng.random_range(0..self.faults.servers);
                self.exchange(now, instance, server);
            }
            for id in self.contacts[instance].begin_checks(now, 8) {
                let server: usize = id.0[2..].parse().unwrap();
                self.exchange(now, instance, server);
                self.contacts[instance].end_check(&id);
            }
            for id in self.contacts[instance].begin_questions(now, 4) {
                let server: usize = id.0[2..].parse().unwrap();
                for _ in 0..ASKED {
                    let other = self.rng.random_range(0..self.faults.instances);
                    if other != instance && self.is_answered(other, server) {
                        let by = Incarnation(other as u64);
                        self.contacts[instance].record_reached_by(by, &id, now);
                    }
                }
            }
        }
    }

    /// Plays `rounds` rounds; returns the time after them.
    fn play(&mut self, rounds: u64) -> Micros {
        let end = Micros(ROUND.0 * rounds) + Micros::from_secs(1);
        let mut now = Micros::from_secs(1);
        while now < end {
            now = now + ROUND;
            self.round(now);
        }
        now
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn instances_with_paths_never_take_them_for_lost(faults in faults()) {
        let mut fleet = Fleet::new(faults);
        for _ in 0..10 {
            let now = fleet.play(4);
            for (contacts, is_cut) in fleet.contacts.iter().zip(&fleet.faults.cut) {
                prop_assert!(*is_cut || !contacts.summary(now).is_nothing_reached());
            }
        }
    }

    #[test]
    fn failed_servers_never_taken_for_cut_off(faults in faults()) {
        let mut fleet = Fleet::new(faults);
        let now = fleet.play(40);
        for contacts in &fleet.contacts {
            for (server, is_failed) in fleet.faults.failed.iter().enumerate() {
                let state = contacts.state(now, &Fleet::id(server));
                prop_assert!(!is_failed || state != PathState::CutOff, "{state:?}");
            }
        }
    }

    #[test]
    fn instances_without_paths_know_it_within_a_second(faults in faults()) {
        let mut faults = faults;
        // Half of the others reach some server; a question reaches one of them sooner or later.
        let half = faults.instances / 2;
        faults.cut[..=half].fill(false);
        faults.failed[0] = false;
        let has_cut = faults.cut.contains(&true);
        prop_assume!(has_cut);
        let mut fleet = Fleet::new(faults);
        // Servers are tried at random, so that one that others reach may be tried late.
        let now = fleet.play(20 + fleet.faults.servers as u64);
        for (contacts, is_cut) in fleet.contacts.iter().zip(&fleet.faults.cut) {
            prop_assert!(!*is_cut || contacts.summary(now).is_nothing_reached());
        }
    }
}
