//! State of the world: instances, store, network, backend servers and what callers were told.

use galenapath_filings::{
    ClaimId, FilingConfig, FilingKey, FilingTable, Fingerprint, Guards, HandOverEntry, RecordId,
};
use galenapath_protocol::{Incarnation, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Ticks after which a claim's lease lapses.
pub const LEASE: u64 = 4;

/// How far the exploration goes, and which guards are on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    pub instances: usize,
    pub keys: usize,
    /// The last so many keys are callers' own; the others are issued by instance 0.
    pub own_keys: usize,
    /// Window of the issued keys; one ahead comes from an instance whose clock is ahead.
    pub key_window: u32,
    pub fingerprints: u8,
    pub sends: u8,
    pub ticks: u64,
    pub crashes: u8,
    pub stops: u8,
    pub store_faults: u8,
    /// Attempts for a try, each at another backend server.
    pub attempts: u8,
    /// Whether marking and writing are two steps, and late answers are awaited.
    pub fine: bool,
    pub max_records: usize,
    /// Ticks for which an instance writes its claims under one lease.
    pub lease_use: u64,
    pub guards: Guards,
}

impl Bounds {
    /// One issued key, two instances, no faults.
    pub const ONE: Self = Self {
        instances: 2,
        keys: 1,
        own_keys: 0,
        key_window: 0,
        fingerprints: 1,
        sends: 2,
        ticks: 0,
        crashes: 0,
        stops: 0,
        store_faults: 0,
        attempts: 2,
        fine: true,
        max_records: 8,
        lease_use: 1,
        guards: Guards::ON,
    };
}

/// One send of a filing by a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Try {
    pub number: u8,
    pub key: usize,
    pub fp: u8,
}

/// What an instance is doing for a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// `direct` tells a try that came from its caller from one that was passed on.
    Claiming {
        claim: ClaimId,
        asked: u64,
        direct: bool,
    },
    Admitted {
        id: RecordId,
        attempt: u8,
    },
    /// The record is marked as sent; the first byte has not left yet.
    Marked {
        id: RecordId,
        attempt: u8,
    },
    Waiting {
        id: RecordId,
        attempt: u8,
    },
    /// Given up; a late answer may still come.
    GivenUp {
        id: RecordId,
        attempt: u8,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Instance {
    pub incarnation: Incarnation,
    pub table: FilingTable,
    pub tasks: BTreeSet<(Try, Stage)>,
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
    /// The store lets the holder of a lease write over what the same lease holds.
    pub fn same_lease(&self, other: &Self) -> bool {
        (self.by, self.lease) == (other.by, other.lease)
    }
}

/// A request at or on its way to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Request {
    Flying,
    Ran,
    Refused,
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
    /// Claims that the store holds, with the tick at which each landed.
    pub claims: BTreeMap<usize, (Claim, u64)>,
    /// Claim writes on their way to the store.
    pub writes: BTreeSet<(usize, Claim)>,
    /// Tries passed on to an incarnation.
    pub forwards: BTreeSet<(Try, Incarnation)>,
    pub requests: BTreeMap<(Try, u8, Incarnation), Request>,
    /// Outcomes on their way to successors, by receiving instance.
    pub hand_overs: BTreeSet<(usize, Incarnation)>,
    pub estates: BTreeMap<Incarnation, Rc<Vec<HandOverEntry>>>,
    pub runs: BTreeMap<(usize, u8), u8>,
    /// Tries whose callers were told "not run".
    pub denied: BTreeSet<Try>,
    pub broken: Option<&'static str>,
}

pub fn at(tick: u64) -> Micros {
    Micros::from_secs(tick)
}

pub fn fingerprint(fp: u8) -> Fingerprint {
    Fingerprint(u128::from(fp))
}

impl Bounds {
    fn config(&self) -> FilingConfig {
        FilingConfig {
            window: at(1),
            lifetime: at(1),
            claim_lease: at(LEASE),
            claim_patience: Micros::ZERO,
            claims_per_sec: u32::MAX,
            max_bytes: self.max_records * 128,
            ..FilingConfig::default()
        }
    }

    pub fn instance(&self, place: usize, generation: u8) -> Instance {
        let incarnation = Incarnation(place as u64 * 16 + u64::from(generation));
        let table = FilingTable::with_guards(self.config(), incarnation, self.guards);
        let tasks = BTreeSet::new();
        Instance { incarnation, table, tasks, stopping: false, handed_over: false }
    }

    pub fn is_own(&self, number: usize) -> bool {
        number + self.own_keys >= self.keys
    }

    pub fn key(&self, number: usize) -> FilingKey {
        let text = match self.is_own(number) {
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
            estates: BTreeMap::new(),
            runs: BTreeMap::new(),
            denied: BTreeSet::new(),
            broken: None,
        }
    }

    pub fn table(&mut self, place: usize) -> &mut FilingTable {
        &mut self.instance(place).table
    }

    pub fn instance(&mut self, place: usize) -> &mut Instance {
        Rc::make_mut(&mut self.instances[place])
    }

    pub fn key_runs(&self, key: usize) -> u8 {
        self.runs.iter().filter(|((k, _), _)| *k == key).map(|(_, n)| n).sum()
    }

    /// Drops what can have no effect any more, so that states that act alike are equal.
    pub fn normalise(&mut self) {
        let Self { instances, requests, forwards, denied, hand_overs, .. } = self;
        requests.retain(|(t, attempt, by), request| {
            let awaits = |(other, stage): &(Try, Stage)| {
                other == t
                    && matches!(stage, Stage::Waiting { attempt: n, .. }
                    | Stage::GivenUp { attempt: n, .. } if n == attempt)
            };
            let mut owner = instances.iter().filter(|i| i.incarnation == *by);
            *request == Request::Flying || owner.any(|i| i.tasks.iter().any(awaits))
        });
        denied.retain(|t| {
            forwards.iter().any(|(other, _)| other == t)
                || requests.keys().any(|(other, ..)| other == t)
                || instances.iter().any(|i| i.tasks.iter().any(|(other, _)| other == t))
        });
        if self.bounds.ticks < LEASE {
            // No lease lapses: a write that finds another's claim never has an effect.
            let claims = &self.claims;
            let effect = |held: &(Claim, u64), claim: &Claim| held.0.same_lease(claim);
            self.writes.retain(|(key, c)| claims.get(key).is_none_or(|held| effect(held, c)));
        }
        self.estates.retain(|from, _| hand_overs.iter().any(|(_, other)| other == from));
    }

    /// A caller is told that this try did not run.
    pub fn deny(&mut self, t: Try) {
        self.denied.insert(t);
        if self.runs.contains_key(&(t.key, t.fp)) {
            self.broken = Some("\"not run\" told of a request that ran");
        }
    }

    /// A caller gets the answer of the request `(key, fp)`, or only that it ran.
    pub fn answer(&mut self, t: Try, body: &[u8]) {
        if body != [t.key as u8, t.fp] {
            self.broken = Some("the answer of another request replayed");
        } else if !self.runs.contains_key(&(t.key, t.fp)) {
            self.broken = Some("answered told of a request that did not run");
        }
    }

    /// A backend server runs the request.
    pub fn run(&mut self, t: Try) {
        *self.runs.entry((t.key, t.fp)).or_default() += 1;
        if self.key_runs(t.key) > 1 {
            self.broken = Some("a key ran twice");
        }
        if self.denied.contains(&t) {
            self.broken = Some("a try ran after \"not run\" was told of it");
        }
    }
}
