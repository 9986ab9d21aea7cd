//! A store that comes back from backups.

use galenapath_protocol::StorePosition;
use galenapath_routes::ServerState;
use std::collections::{BTreeMap, VecDeque};

/// A write of a server or of the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Write {
    Put { server: u64, run: u64, state: ServerState },
    Remove { server: u64 },
    Evacuate,
    Restore,
}

impl Write {
    /// Whether the writer of `before` states something else by this.
    pub fn replaces(self, before: Self) -> bool {
        match (self, before) {
            (
                Self::Put { server, .. } | Self::Remove { server },
                Self::Put { server: other, .. } | Self::Remove { server: other },
            ) => server == other,
            (Self::Evacuate | Self::Restore, Self::Evacuate | Self::Restore) => true,
            _ => false,
        }
    }
}

/// State of the store that a backup contains.
#[derive(Clone, Debug, Default)]
pub struct Contents {
    pub revision: u64,
    pub servers: BTreeMap<u64, (u64, u64, ServerState)>,
    pub evacuated_at: Option<u64>,
    pub history: Vec<(u64, Write)>,
}

impl Contents {
    pub fn write(&mut self, write: Write) {
        self.revision += 1;
        match write {
            Write::Put { server, run, state } => {
                self.servers.insert(server, (self.revision, run, state));
            }
            Write::Remove { server } => {
                self.servers.remove(&server);
            }
            Write::Evacuate => self.evacuated_at = Some(self.revision),
            Write::Restore => self.evacuated_at = None,
        }
        self.history.push((self.revision, write));
    }
}

#[derive(Clone, Debug, Default)]
pub struct Store {
    pub epoch: u64,
    pub now: Contents,
    pub backup: Contents,
    /// Writes that the store has lost and that are written again one by one.
    pub lost: VecDeque<Write>,
}

impl Store {
    pub fn position(&self) -> StorePosition {
        StorePosition::new(self.epoch, self.now.revision)
    }

    pub fn come_back(&mut self) {
        let kept = self.backup.history.len();
        let lost: Vec<Write> = self.now.history[kept..].iter().map(|(_, write)| *write).collect();
        // What is still to be written again comes after what was lost now.
        let waiting = std::mem::take(&mut self.lost);
        let all: Vec<Write> = lost.into_iter().chain(waiting).collect();
        let is_last = |at: &usize| !all[at + 1..].iter().any(|later| later.replaces(all[*at]));
        self.lost = (0..all.len()).filter(is_last).map(|at| all[at]).collect();
        self.now = self.backup.clone();
        self.epoch += 1;
    }

    pub fn write_again(&mut self) {
        if let Some(write) = self.lost.pop_front() {
            self.now.write(write);
        }
    }

    /// A write that happens now comes after those that were lost.
    pub fn write(&mut self, write: Write) {
        while !self.lost.is_empty() {
            self.write_again();
        }
        self.now.write(write);
    }
}
