//! Failure domains whose backend servers get no requests because the operator has evacuated them.
//!
//! Load pattern: domains that are evacuated and restored in quick succession, reported by a watch,
//! by a read of all evacuations that may be stale, and by peers in any order. An old statement that
//! arrived last would send requests into an evacuated domain, or keep a restored one out of use.
//! Each statement therefore carries the store revision at which it was made, and only a newer one
//! replaces what is known of a domain.
//!
//! A store that comes back from a backup may lack an evacuation until the operator has written it
//! again. Such an evacuation stays in force for a while, so that no requests are sent into its
//! domain.

use galenapath_protocol::{DomainId, FastMap, Micros, StorePosition};

/// The operator's latest statement about one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// The failure domain.
    pub domain: DomainId,
    /// Store revision of the statement in the current epoch, or of a read that no longer contained
    /// it; zero if only an earlier epoch had it.
    pub revision: u64,
    /// Whether its backend servers get no requests; false once the domain is restored.
    pub is_in_force: bool,
}

/// The known evacuations.
///
/// Invariants: the position never goes back; within an epoch the known revision of a domain never
/// decreases; `ending` holds only domains that are evacuated.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    statements: FastMap<DomainId, Evacuation>,
    /// Position in the store up to which the evacuations are completely known.
    position: StorePosition,
    /// Revision of the latest read of all evacuations in this epoch. An evacuation that it did not
    /// contain had ended by then.
    read_at: u64,
    /// When evacuations end that an earlier epoch had, unless they are stated again.
    ending: FastMap<DomainId, Micros>,
    generation: u64,
}

impl Evacuations {
    /// Position in the store up to which the evacuations are completely known; zero before the
    /// first read.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Records that all statements up to `position` have been applied.
    pub fn advance_position(&mut self, position: impl Into<StorePosition>) {
        self.position = self.position.max(position.into());
    }

    /// Begins the epoch of `position`, unless it has begun. Known evacuations stay in force until
    /// `kept_until`, or until the store states them anew.
    fn begin_epoch(&mut self, position: StorePosition, kept_until: Micros) {
        if position.epoch <= self.position.epoch {
            return;
        }
        self.statements.values_mut().for_each(|statement| statement.revision = 0);
        self.ending = self.in_force().map(|domain| (domain.clone(), kept_until)).collect();
        self.position = StorePosition::new(position.epoch, 0);
        self.read_at = 0;
    }

    /// Ends the evacuations that no store has stated again in time. Returns them.
    pub fn expire(&mut self, now: Micros) -> Vec<Evacuation> {
        let is_due = |(_, at): &(&DomainId, &Micros)| **at <= now;
        let due: Vec<DomainId> =
            self.ending.iter().filter(is_due).map(|(domain, _)| domain.clone()).collect();
        let revision = self.position.revision;
        let ended =
            due.into_iter().map(|domain| Evacuation { domain, revision, is_in_force: false });
        let ended: Vec<Evacuation> = ended.collect();
        ended.iter().for_each(|statement| {
            self.apply(statement.clone());
        });
        ended
    }

    /// Applies all statements of a peer that knows them completely up to `position`: a domain that
    /// is missing from them has been restored. Those of an earlier epoch are ignored. What only an
    /// earlier epoch had stays in force until `kept_until`. Returns the changes.
    pub fn merge(
        &mut self,
        position: StorePosition,
        statements: Vec<Evacuation>,
        kept_until: Micros,
    ) -> Vec<Evacuation> {
        if position.epoch < self.position.epoch {
            return Vec::new();
        }
        self.begin_epoch(position, kept_until);
        let (in_force, ended): (Vec<Evacuation>, Vec<Evacuation>) =
            statements.into_iter().partition(|statement| statement.is_in_force);
        // The peer keeps some that the store may have lost.
        let (kept, in_force): (Vec<Evacuation>, Vec<Evacuation>) =
            in_force.into_iter().partition(|statement| statement.revision == 0);
        let ended = ended.into_iter().filter(|statement| self.apply(statement.clone()));
        let mut changed: Vec<Evacuation> = ended.collect();
        for statement in kept {
            if self.apply(statement.clone()) {
                self.ending.insert(statement.domain.clone(), kept_until);
                changed.push(statement);
            }
        }
        changed.extend(self.apply_snapshot(position, in_force, kept_until));
        changed
    }

    /// Increases each time a domain is evacuated or restored.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether the backend servers of `domain` get no requests.
    pub fn contains(&self, domain: &DomainId) -> bool {
        self.statements.get(domain).is_some_and(|statement| statement.is_in_force)
    }

    /// The domains that are evacuated.
    pub fn in_force(&self) -> impl Iterator<Item = &DomainId> {
        self.statements
            .values()
            .filter(|statement| statement.is_in_force)
            .map(|statement| &statement.domain)
    }

    /// All known statements, for a peer.
    pub fn known(&self) -> impl Iterator<Item = &Evacuation> {
        self.statements.values()
    }

    /// Applies one statement of the operator. Returns whether it evacuates or restores the domain.
    pub fn apply(&mut self, statement: Evacuation) -> bool {
        let before = self.statements.get(&statement.domain);
        let is_newer = match before {
            Some(before) => statement.revision > before.revision,
            // The latest read of all contained every evacuation in force by then.
            None => !statement.is_in_force || statement.revision >= self.read_at,
        };
        if !is_newer {
            return false;
        }
        let is_change = before.is_some_and(|before| before.is_in_force) != statement.is_in_force;
        self.generation += u64::from(is_change);
        self.ending.remove(&statement.domain);
        self.statements.insert(statement.domain.clone(), statement);
        is_change
    }

    /// Applies all evacuations in force, as read at `position` or later. A domain that is missing
    /// from them has been restored, unless it was evacuated after `position`, or in an earlier
    /// epoch: then it stays evacuated until `kept_until`. Returns the changes.
    pub fn apply_snapshot(
        &mut self,
        position: impl Into<StorePosition>,
        all: Vec<Evacuation>,
        kept_until: Micros,
    ) -> Vec<Evacuation> {
        let position = position.into();
        if position.epoch < self.position.epoch {
            return Vec::new();
        }
        self.begin_epoch(position, kept_until);
        let revision = position.revision;
        let is_missing =
            |statement: &&Evacuation| !all.iter().any(|read| read.domain == statement.domain);
        let ended = self
            .statements
            .values()
            .filter(|statement| statement.is_in_force && statement.revision < revision);
        let is_kept = |statement: &&Evacuation| self.ending.contains_key(&statement.domain);
        let ended = ended.filter(|statement| is_missing(statement) && !is_kept(statement));
        let ended = ended.map(|statement| Evacuation {
            domain: statement.domain.clone(),
            revision,
            is_in_force: false,
        });
        let statements: Vec<Evacuation> = ended.chain(all.iter().cloned()).collect();
        let changed =
            statements.into_iter().filter(|statement| self.apply(statement.clone())).collect();
        self.read_at = self.read_at.max(revision);
        self.advance_position(position);
        changed
    }
}
