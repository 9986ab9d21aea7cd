//! State of the model: instances, store, network, backend servers and the verdicts that callers
//! received.

use galenapath_filings::{
    ClaimId, FilingConfig, FilingKey, FilingTable, Fingerprint, Guards, HandOverEntry, RecordId,
};
use galenapath_protocol::{Incarnation, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Ticks after which a claim's lease expires.
pub const LEASE_TICKS: u64 = 4;

/// Limits of the exploration, and the guards that are on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    pub instances: usize,
    pub keys: usize,
    /// Number of caller-chosen keys, which come last. The others are issued by instance 0.
    pub caller_chosen_keys: usize,
    /// Window of the issued keys. A value of 1 models an issuing instance whose clock is ahead.
    pub key_window: u32,
    pub fingerprints: u8,
    pub sends: u8,
    pub ticks: u64,
    pub crashes: u8,
    pub stops: u8,
    pub store_faults: u8,
    /// Attempts for one send, each at another backend server.
    pub attempts: u8,
    /// Whether marking a record and writing the request are two steps, and late answers can arrive.
    pub fine_steps: bool,
    pub max_records: usize,
    /// Ticks for which an instance writes its claims under one lease.
    pub lease_use: u64,
    pub guards: Guards,
}

impl Bounds {
    /// One issued key, two instances, no faults.
    pub const BASE: Self = Self {
        instances: 2,
        keys: 1,
        caller_chosen_keys: 0,
        key_window: 0,
        fingerprints: 1,
        sends: 2,
        ticks: 0,
        crashes: 0,
        stops: 0,
        store_faults: 0,
        attempts: 2,
        fine_steps: true,
        max_records: 8,
        lease_use: 1,
        guards: Guards::ON,
    };
}

/// One send of a filing by a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerSend {
    pub number: u8,
    pub key: usize,
    pub fp: u8,
}

/// Stage of an instance's work on a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// `direct` is true if the send came from its caller and was not forwarded.
    Claiming {
        claim: ClaimId,
        requested_at: u64,
        direct: bool,
    },
    Admitted {
        id: RecordId,
        attempt: u8,
    },
    /// The record is marked as sent. The first byte has not been sent yet.
    Marked {
        id: RecordId,
        attempt: u8,
    },
    Waiting {
        id: RecordId,
        attempt: u8,
    },
    /// Given up. A late answer may still arrive.
    GivenUp {
        id: RecordId,
        attempt: u8,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Instance {
    pub incarnation: Incarnation,
    pub table: FilingTable,
    pub tasks: BTreeSet<(CallerSend, Stage)>,
    pub stopping: bool,
    pub handed_over: bool,
}

/// A claim as the store holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Claim {
    pub by: Incarnation,
    pub id: ClaimId,
    /// Number of the incarnation's lease.
    pub lease: u64,
}

impl Claim {
    /// Whether both were written under one lease, whose holder may overwrite its claims.
    pub fn same_lease(&self, other: &Self) -> bool {
        (self.by, self.lease) == (other.by, other.lease)
    }
}

/// A request at a backend server or on its way to one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Request {
    InFlight,
    Ran,
    Rejected,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub bounds: Rc<Bounds>,
    pub now: u64,
    pub instances: Vec<Rc<Instance>>,
    pub sends: u8,
    pub crashes: u8,
    pub stops: u8,
    pub store_faults: u8,
    /// Claims that the store holds, with the tick at which each was created.
    pub claims: BTreeMap<usize, (Claim, u64)>,
    /// Claim writes on their way to the store.
    pub writes: BTreeSet<(usize, Claim)>,
    /// Sends that are being forwarded to an incarnation.
    pub forwards: BTreeSet<(CallerSend, Incarnation)>,
    pub requests: BTreeMap<(CallerSend, u8, Incarnation), Request>,
    /// Outcomes on their way to successors, by receiving instance.
    pub hand_overs: BTreeSet<(usize, Incarnation)>,
    pub handed_over_outcomes: BTreeMap<Incarnation, Rc<Vec<HandOverEntry>>>,
    pub runs: BTreeMap<(usize, u8), u8>,
    /// Sends whose callers received "not run".
    pub answered_not_run: BTreeSet<CallerSend>,
    pub violation: Option<&'static str>,
}

pub fn tick_time(tick: u64) -> Micros {
    Micros::from_secs(tick)
}

pub fn fingerprint(fp: u8) -> Fingerprint {
    Fingerprint(u128::from(fp))
}

impl Bounds {
    fn config(&self) -> FilingConfig {
        FilingConfig {
            window: tick_time(1),
            lifetime: tick_time(1),
            claim_lease: tick_time(LEASE_TICKS),
            claim_timeout: Micros::ZERO,
            claims_per_sec: u32::MAX,
            max_bytes: self.max_records * 128,
            ..FilingConfig::default()
        }
    }

    pub fn instance(&self, index: usize, generation: u8) -> Instance {
        let incarnation = Incarnation(index as u64 * 16 + u64::from(generation));
        let table = FilingTable::with_guards(self.config(), incarnation, self.guards);
        let tasks = BTreeSet::new();
        Instance { incarnation, table, tasks, stopping: false, handed_over: false }
    }

    pub fn is_caller_chosen(&self, number: usize) -> bool {
        number + self.caller_chosen_keys >= self.keys
    }

    pub fn key(&self, number: usize) -> FilingKey {
        let text = match self.is_caller_chosen(number) {
            true => format!("own-{number}"),
            false => format!("{}-{}-{number}", Incarnation(0), self.key_window),
        };
        FilingKey::try_from(text.as_str()).unwrap()
    }
}

impl World {
    pub fn new(bounds: Bounds) -> Self {
        let instances = (0..bounds.instances).map(|n| Rc::new(bounds.instance(n, 0))).collect();
        Self {
            bounds: Rc::new(bounds),
            now: 0,
            instances,
            sends: 0,
            crashes: 0,
            stops: 0,
            store_faults: 0,
            claims: BTreeMap::new(),
            writes: BTreeSet::new(),
            forwards: BTreeSet::new(),
            requests: BTreeMap::new(),
            hand_overs: BTreeSet::new(),
            handed_over_outcomes: BTreeMap::new(),
            runs: BTreeMap::new(),
            answered_not_run: BTreeSet::new(),
            violation: None,
        }
    }

    pub fn table(&mut self, index: usize) -> &mut FilingTable {
        &mut self.instance(index).table
    }

    pub fn instance(&mut self, index: usize) -> &mut Instance {
        Rc::make_mut(&mut self.instances[index])
    }

    pub fn key_runs(&self, key: usize) -> u8 {
        self.runs.iter().filter(|((k, _), _)| *k == key).map(|(_, n)| n).sum()
    }

    /// Removes state that can have no effect any more, so that equivalent states are equal.
    pub fn normalise(&mut self) {
        let Self { instances, requests, forwards, answered_not_run, hand_overs, .. } = self;
        requests.retain(|(t, attempt, by), request| {
            let awaits = |(other, stage): &(CallerSend, Stage)| {
                other == t
                    && matches!(stage, Stage::Waiting { attempt: n, .. }
                    | Stage::GivenUp { attempt: n, .. } if n == attempt)
            };
            let mut owner = instances.iter().filter(|i| i.incarnation == *by);
            *request == Request::InFlight || owner.any(|i| i.tasks.iter().any(awaits))
        });
        answered_not_run.retain(|t| {
            forwards.iter().any(|(other, _)| other == t)
                || requests.keys().any(|(other, ..)| other == t)
                || instances.iter().any(|i| i.tasks.iter().any(|(other, _)| other == t))
        });
        if self.bounds.ticks < LEASE_TICKS {
            // No lease expires, so a write that finds a claim of another lease has no effect.
            let claims = &self.claims;
            let effect = |held: &(Claim, u64), claim: &Claim| held.0.same_lease(claim);
            self.writes.retain(|(key, c)| claims.get(key).is_none_or(|held| effect(held, c)));
        }
        self.handed_over_outcomes
            .retain(|from, _| hand_overs.iter().any(|(_, other)| other == from));
    }

    /// A caller receives "not run" for this send.
    pub fn answer_not_run(&mut self, t: CallerSend) {
        self.answered_not_run.insert(t);
        if self.runs.contains_key(&(t.key, t.fp)) {
            self.violation = Some("\"not run\" reported for a request that ran");
        }
    }

    /// A caller receives an answer with `body`.
    pub fn answer(&mut self, t: CallerSend, body: &[u8]) {
        if body != [t.key as u8, t.fp] {
            self.violation = Some("the answer of another request replayed");
        } else if !self.runs.contains_key(&(t.key, t.fp)) {
            self.violation = Some("an answer reported for a request that did not run");
        }
    }

    /// A backend server runs the request.
    pub fn run(&mut self, t: CallerSend) {
        *self.runs.entry((t.key, t.fp)).or_default() += 1;
        if self.key_runs(t.key) > 1 {
            self.violation = Some("a key ran twice");
        }
        if self.answered_not_run.contains(&t) {
            self.violation = Some("a send ran after \"not run\" was reported for it");
        }
    }
}
