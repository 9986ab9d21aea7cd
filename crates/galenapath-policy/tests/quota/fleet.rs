//! A fleet in virtual time that shares the quota of one workspace.

use galenapath_policy::quota::{QuotaDecision, QuotaLedger, UsageNote, quota_owners};
use galenapath_protocol::{Incarnation, Micros, Quota, WorkspaceId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const W: WorkspaceId = WorkspaceId(3);

/// Length of a step.
const STEP: Micros = Micros::from_millis(5);

/// Steps between two reports.
const REPORT_STEPS: u64 = 10;

/// Time until the others know that an instance is silent, or that it serves callers.
const DETECTION: Micros = Micros::from_millis(800);

/// Time for which the load of a silent instance counts as not heard.
const SILENT_LOAD_EXPIRY: Micros = Micros::from_secs(4);

/// What happens to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Loses all state and is back after the given number of milliseconds.
    Restart(u64),
    /// Does nothing for the given number of milliseconds; its callers wait.
    Freeze(u64),
    /// Exchanges no datagrams for the given number of milliseconds.
    Cut(u64),
}

struct Instance {
    id: Incarnation,
    ledger: QuotaLedger,
    down_until: Micros,
    frozen_until: Micros,
    cut_until: Micros,
    cut_since: Micros,
    is_cut: bool,
    down_since: Micros,
    /// Requests per second of its callers.
    demand: f64,
    owed: f64,
}

struct Datagram {
    to: usize,
    from: Incarnation,
    arrives: Micros,
    note: UsageNote,
}

/// A fleet, its callers and what was granted.
pub struct Fleet {
    now: Micros,
    rng: StdRng,
    quota: Quota,
    instances: Vec<Instance>,
    in_flight: Vec<Datagram>,
    loss: f64,
    /// Times of granted requests.
    pub granted: Vec<Micros>,
    /// Number of requests refused.
    pub refused: usize,
    next_id: u64,
}

impl Fleet {
    /// Creates a fleet of `n` instances that have run for long.
    pub fn new(seed: u64, n: usize, quota: Quota, loss: f64) -> Self {
        let mut fleet = Self {
            now: Micros::from_secs(1_000),
            rng: StdRng::seed_from_u64(seed),
            quota,
            instances: Vec::new(),
            in_flight: Vec::new(),
            loss,
            granted: Vec::new(),
            refused: 0,
            next_id: 0,
        };
        for _ in 0..n {
            let mut instance = fleet.new_instance();
            instance.ledger.set_quotas(Micros::ZERO, 0.0, std::iter::empty());
            instance.ledger.set_quotas(Micros::ZERO, 0.0, [(W, quota)].into_iter());
            fleet.instances.push(instance);
        }
        fleet
    }

    fn new_instance(&mut self) -> Instance {
        self.next_id += 1;
        Instance {
            id: Incarnation(self.next_id.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            ledger: QuotaLedger::default(),
            down_until: Micros::ZERO,
            frozen_until: Micros::ZERO,
            cut_until: Micros::ZERO,
            cut_since: Micros::ZERO,
            is_cut: false,
            down_since: Micros::ZERO,
            demand: 0.0,
            // Requests of different instances do not arrive at the same moment.
            owed: self.rng.random(),
        }
    }

    /// Sets the requests per second at each instance.
    pub fn set_demand(&mut self, demand: impl Fn(usize) -> f64) {
        for (at, instance) in self.instances.iter_mut().enumerate() {
            instance.demand = demand(at);
        }
    }

    /// Changes the quota on all instances.
    pub fn set_quota(&mut self, quota: Quota) {
        self.quota = quota;
        let now = self.now;
        for instance in &mut self.instances {
            instance.ledger.set_quotas(now, 0.0, [(W, quota)].into_iter());
        }
    }

    /// Disturbs an instance.
    pub fn disturb(&mut self, at: usize, fault: Fault) {
        let until = |ms| self.now + Micros::from_millis(ms);
        match fault {
            Fault::Freeze(ms) => self.instances[at].frozen_until = until(ms),
            Fault::Cut(ms) => {
                self.instances[at].cut_until = until(ms);
                self.instances[at].cut_since = self.now;
                self.instances[at].is_cut = true;
            }
            Fault::Restart(ms) => {
                let (down_until, demand) = (until(ms), self.instances[at].demand);
                let fresh = self.new_instance();
                let now = self.now;
                self.instances[at] = Instance { down_until, down_since: now, demand, ..fresh };
                let quota = self.quota;
                self.instances[at].ledger.set_quotas(down_until, 0.0, [(W, quota)].into_iter());
            }
        }
    }

    /// Runs for `span`.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        self.deliver();
        for at in 0..self.instances.len() {
            let instance = &mut self.instances[at];
            if now >= instance.cut_until {
                instance.is_cut = false;
            }
            if instance.down_until > now {
                continue;
            }
            let jitter = self.rng.random_range(0.5..1.5);
            instance.owed += instance.demand * STEP.0 as f64 / 1e6 * jitter;
            if instance.frozen_until > now {
                continue;
            }
            while instance.owed >= 1.0 {
                instance.owed -= 1.0;
                match instance.ledger.take(now, W) {
                    QuotaDecision::Exceeded { .. } => self.refused += 1,
                    QuotaDecision::Granted | QuotaDecision::Unlimited => self.granted.push(now),
                }
            }
            let turn = at as u64 % REPORT_STEPS;
            if (now.0 / STEP.0) % REPORT_STEPS == turn {
                self.report(at);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|d| d.arrives <= now);
        self.in_flight = later;
        for datagram in due {
            let is_owner = self.owners_for(datagram.to).contains(&self.instances[datagram.to].id);
            let instance = &mut self.instances[datagram.to];
            if instance.down_until > now || instance.is_cut {
                continue;
            }
            if instance.frozen_until > now {
                self.in_flight.push(datagram);
                continue;
            }
            instance.ledger.apply(now, datagram.from, &datagram.note, || is_owner);
        }
    }

    /// Whether the instance `at` takes the instance `other` to be up.
    fn is_up_for(&self, at: usize, other: usize) -> bool {
        let peer = &self.instances[other];
        let is_silent = |since: Micros| self.now - since > DETECTION;
        let is_cut = (peer.is_cut && is_silent(peer.cut_since))
            || (self.instances[at].is_cut && is_silent(self.instances[at].cut_since));
        let is_down = peer.down_until > self.now && is_silent(peer.down_since);
        !is_cut && !is_down
    }

    /// The owners of the workspace as far as the instance `at` knows.
    fn owners_for(&self, at: usize) -> Vec<Incarnation> {
        let is_known = |other: &usize| *other == at || self.is_up_for(at, *other);
        let up = (0..self.instances.len()).filter(is_known);
        quota_owners(W, up.map(|other| self.instances[other].id))
    }

    fn report(&mut self, at: usize) {
        let now = self.now;
        let others: Vec<usize> = (0..self.instances.len()).filter(|other| *other != at).collect();
        let own_load = self.instances[at].demand.max(1.0);
        let (mut reachable, mut known, mut serving) = (own_load, own_load, 1);
        for other in &others {
            let peer = &self.instances[*other];
            let load = peer.demand.max(1.0);
            let is_up = self.is_up_for(at, *other);
            if is_up {
                reachable += load;
                serving += 1;
            }
            let silent_since = peer.cut_since.max(peer.down_since) + DETECTION;
            if is_up || self.instances[at].is_cut || now - silent_since < SILENT_LOAD_EXPIRY {
                known += load;
            }
        }
        let ledger = &mut self.instances[at].ledger;
        ledger.set_surroundings(serving, reachable / known);
        let due = ledger.take_reports(now);
        let up: Vec<usize> =
            others.into_iter().filter(|other| self.is_up_for(at, *other)).collect();
        let from = self.instances[at].id;
        let owners = self.owners_for(at);
        for note in due.to_owners {
            let to_owners: Vec<usize> =
                up.iter().copied().filter(|o| owners.contains(&self.instances[*o].id)).collect();
            self.send(at, from, &to_owners, note);
        }
        for note in due.to_all {
            self.send(at, from, &up, note);
        }
    }

    fn send(&mut self, at: usize, from: Incarnation, to: &[usize], note: UsageNote) {
        if self.instances[at].is_cut {
            return;
        }
        for to in to {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = Micros(self.rng.random_range(200..8_000));
            self.in_flight.push(Datagram { to: *to, from, arrives: self.now + delay, note });
        }
    }

    /// The most requests granted in any window of this length.
    pub fn peak_in(&self, window: Micros) -> usize {
        let mut peak = 0;
        let mut first = 0;
        let mut granted = self.granted.clone();
        granted.sort_unstable();
        for last in 0..granted.len() {
            while granted[last] - granted[first] > window {
                first += 1;
            }
            peak = peak.max(last - first + 1);
        }
        peak
    }
}
