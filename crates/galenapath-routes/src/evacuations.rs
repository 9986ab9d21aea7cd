//! Failure domains whose backend servers get no requests because the operator has evacuated them.
//!
//! Load pattern: domains that are evacuated and restored in quick succession, reported by a watch,
//! by a read of all evacuations that may be stale, and by peers in any order. An old statement that
//! arrived last would send requests into an evacuated domain, or keep a restored one out of use.
//! Each statement therefore carries the store revision at which it was made, and only a newer one
//! replaces what is known of a domain.

use galenapath_protocol::{DomainId, FastMap};

/// The operator's latest statement about one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// The failure domain.
    pub domain: DomainId,
    /// Store revision of the statement, or of a read that no longer contained it.
    pub revision: u64,
    /// Whether its backend servers get no requests; false once the domain is restored.
    pub is_in_force: bool,
}

/// The known evacuations.
///
/// Invariant: the known revision of a domain never decreases.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    statements: FastMap<DomainId, Evacuation>,
    /// Position in the store up to which the evacuations are completely known.
    position: u64,
    /// Position of the latest read of all evacuations. An evacuation that it did not contain had
    /// ended by then.
    read_at: u64,
    generation: u64,
}

impl Evacuations {
    /// Position in the store up to which the evacuations are completely known; zero before the
    /// first read.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Records that all statements up to `position` have been applied.
    pub fn advance_position(&mut self, position: u64) {
        self.position = self.position.max(position);
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
            None => !statement.is_in_force || statement.revision > self.read_at,
        };
        if !is_newer {
            return false;
        }
        let is_change = before.is_some_and(|before| before.is_in_force) != statement.is_in_force;
        self.generation += u64::from(is_change);
        self.statements.insert(statement.domain.clone(), statement);
        is_change
    }

    /// Applies all evacuations in force, as read at `position` or later. A domain that is missing
    /// from them has been restored, unless it was evacuated after `position`. Returns the changes.
    pub fn apply_snapshot(&mut self, position: u64, all: Vec<Evacuation>) -> Vec<Evacuation> {
        let is_missing =
            |statement: &&Evacuation| !all.iter().any(|read| read.domain == statement.domain);
        let ended = self
            .statements
            .values()
            .filter(|statement| statement.is_in_force && statement.revision < position);
        let ended = ended.filter(is_missing).map(|statement| Evacuation {
            domain: statement.domain.clone(),
            revision: position,
            is_in_force: false,
        });
        let statements: Vec<Evacuation> = ended.chain(all.iter().cloned()).collect();
        let changed =
            statements.into_iter().filter(|statement| self.apply(statement.clone())).collect();
        self.read_at = self.read_at.max(position);
        self.advance_position(position);
        changed
    }
}
