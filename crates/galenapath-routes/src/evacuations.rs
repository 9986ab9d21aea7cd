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
    marks: FastMap<DomainId, Evacuation>,
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

    /// Counts up with each domain that is evacuated or restored.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether the backend servers of `domain` get no requests.
    pub fn contains(&self, domain: &DomainId) -> bool {
        self.marks.get(domain).is_some_and(|mark| mark.is_in_force)
    }

    /// The domains that are evacuated.
    pub fn in_force(&self) -> impl Iterator<Item = &DomainId> {
        self.marks.values().filter(|mark| mark.is_in_force).map(|mark| &mark.domain)
    }

    /// All known statements, for a peer.
    pub fn known(&self) -> impl Iterator<Item = &Evacuation> {
        self.marks.values()
    }

    /// Applies one statement of the operator. Returns whether it evacuates or restores the domain.
    pub fn apply(&mut self, mark: Evacuation) -> bool {
        let before = self.marks.get(&mark.domain);
        let is_newer = match before {
            Some(before) => mark.revision > before.revision,
            // The latest read of all contained every evacuation in force by then.
            None => !mark.is_in_force || mark.revision > self.read_at,
        };
        if !is_newer {
            return false;
        }
        let is_change = before.is_some_and(|before| before.is_in_force) != mark.is_in_force;
        self.generation += u64::from(is_change);
        self.marks.insert(mark.domain.clone(), mark);
        is_change
    }

    /// Applies all evacuations in force, as read at `position` or later. A domain that is missing
    /// from them has been restored, unless it was evacuated after `position`. Returns the changes.
    pub fn apply_snapshot(&mut self, position: u64, all: Vec<Evacuation>) -> Vec<Evacuation> {
        let is_missing = |mark: &&Evacuation| !all.iter().any(|read| read.domain == mark.domain);
        let over = self.marks.values().filter(|mark| mark.is_in_force && mark.revision < position);
        let over = over.filter(is_missing).map(|mark| Evacuation {
            domain: mark.domain.clone(),
            revision: position,
            is_in_force: false,
        });
        let marks: Vec<Evacuation> = over.chain(all.iter().cloned()).collect();
        let changed = marks.into_iter().filter(|mark| self.apply(mark.clone())).collect();
        self.read_at = self.read_at.max(position);
        self.advance_position(position);
        changed
    }
}
