//! Accepting one change: read the head, propose, swap, and read back where the answer is lost.

use crate::{
    AuditPage, Chain, ChangeRejection, ChangeRequest, Compaction, Config, FollowError, Head,
    Proposal, Replica, TailLimits, Version, propose,
};
use galenapath_protocol::Verdict;
use std::sync::Arc;

/// Most swaps that are tried before the operator is asked to come back. Each lost race means that
/// somebody else's change was accepted, so eight in a row need eight other changes within
/// milliseconds.
const MAX_SWAPS: u32 = 8;

/// The store's index of the head that was read; zero where there is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeadIndex(pub u64);

/// What the shell must do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read the head; answer with [`Event::Head`] or [`Event::Failed`].
    ReadHead,
    /// Read the snapshot at this version; answer with [`Event::Snapshot`] or [`Event::Failed`].
    ReadSnapshot(Version),
    /// Create the snapshot and then the page where they are absent; answer with
    /// [`Event::CutWritten`], also where they were there, or [`Event::Failed`].
    WriteCompaction {
        /// The snapshot.
        snapshot: Arc<Config>,
        /// The page.
        page: AuditPage,
    },
    /// Swap the head; answer with [`Event::Swapped`], [`Event::Raced`] or [`Event::Failed`].
    Swap {
        /// The index that the store must still have.
        expected: HeadIndex,
        /// The new head.
        head: Head,
    },
    /// Tell the operator.
    Answer(Outcome),
}

/// What came of the last action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The head, or the empty one where the store has none.
    Head {
        /// Its index in the store.
        index: HeadIndex,
        /// The head.
        head: Head,
    },
    /// The snapshot.
    Snapshot(Arc<Config>),
    /// Snapshot and page are in the store.
    CompactionWritten,
    /// The new head is in the store.
    Swapped,
    /// The store had another index; nothing was written.
    SwapConflict,
    /// The action failed; whether it may have taken effect.
    Failed(Verdict),
    /// There is no time left.
    TimedOut,
}

/// What the operator is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The change is in the chain for good.
    Accepted {
        /// Version that it made.
        version: Version,
        /// The newest chain known; holds the change.
        chain: Chain,
    },
    /// The change is not accepted, and no swap under way can still bring it in. The exception is
    /// [`Refusal::BaseTooOld`], where an earlier request of the same identifier may have.
    Rejected(ChangeRejection),
    /// The store could not be used.
    Unavailable(Verdict),
    /// The store's head is older than what this instance knows, or of another chain.
    StoreBehind,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Reading,
    ReadingSnapshot { index: HeadIndex, head: Head },
    WritingCut { index: HeadIndex, proposal: Proposal, chain: Chain },
    Swapping { index: HeadIndex, version: Version, next: Chain },
    Done,
}

/// The course of one request. Pure: the shell carries out each [`Action`] and feeds the
/// [`Event`] back until [`Action::Answer`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptance {
    req: ChangeRequest,
    at_unix_ms: u64,
    limits: TailLimits,
    /// What the instance knew at the start; a store that is older is not built upon.
    known: Replica,
    state: State,
    swaps: u32,
    /// Index of the head that a swap of unknown outcome expected. While the store still has that
    /// index the swap may yet take effect.
    unknown: Option<HeadIndex>,
}

impl Acceptance {
    /// Starts; the first action is [`Action::ReadHead`].
    pub fn new(req: ChangeRequest, known: Replica, at_unix_ms: u64, limits: TailLimits) -> Self {
        let state = State::Reading;
        Self { req, at_unix_ms, limits, known, state, swaps: 0, unknown: None }
    }

    /// The action after `event`.
    pub fn step(&mut self, event: Event) -> Action {
        match (std::mem::replace(&mut self.state, State::Done), event) {
            (State::Reading, Event::Head { index, head }) => self.on_head(index, head),
            (State::ReadingSnapshot { index, head }, Event::Snapshot(config)) => {
                self.on_followed(index, Chain::follow(&config, head))
            }
            (State::WritingCut { index, proposal, chain }, Event::CompactionWritten) => {
                self.swap(index, proposal, &chain)
            }
            (State::Swapping { version, next, .. }, Event::Swapped) => {
                Action::Answer(Outcome::Accepted { version, chain: next })
            }
            (State::Swapping { .. }, Event::SwapConflict) => self.read_again(),
            (State::Swapping { index, .. }, Event::Failed(Verdict::MayHaveRun)) => {
                self.unknown = Some(index);
                self.read_again()
            }
            (State::Swapping { index, .. }, Event::TimedOut) => {
                self.unknown = Some(index);
                self.unavailable()
            }
            _ => self.unavailable(),
        }
    }

    fn read_again(&mut self) -> Action {
        if self.swaps >= MAX_SWAPS {
            return self.unavailable();
        }
        self.state = State::Reading;
        Action::ReadHead
    }

    fn on_head(&mut self, index: HeadIndex, head: Head) -> Action {
        let known = self.known.config().clone();
        match Chain::follow(&known, head.clone()) {
            Err(FollowError::Gap { snapshot }) => {
                self.state = State::ReadingSnapshot { index, head };
                Action::ReadSnapshot(snapshot)
            }
            followed => self.on_followed(index, followed),
        }
    }

    fn on_followed(&mut self, index: HeadIndex, chain: Result<Chain, FollowError>) -> Action {
        let Ok(chain) = chain else { return Action::Answer(self.behind()) };
        if chain.version() < self.known.version() {
            return Action::Answer(self.behind());
        }
        if self.unknown.is_some_and(|unknown| unknown != index) {
            // The swap expected another head, so it has taken effect by now or never will, and
            // the chain at hand tells which. Not cleared before the chain is at hand.
            self.unknown = None;
        }
        match propose(&chain, &self.req, self.at_unix_ms, self.limits) {
            Ok(proposal) => self.carry_out(index, proposal, chain),
            Err(ChangeRejection::AlreadyAccepted { version }) => {
                Action::Answer(Outcome::Accepted { version, chain })
            }
            Err(_) if self.unknown.is_some() => self.unavailable(),
            Err(refusal) => Action::Answer(Outcome::Rejected(refusal)),
        }
    }

    fn carry_out(&mut self, index: HeadIndex, proposal: Proposal, chain: Chain) -> Action {
        let Some(Compaction { page, snapshot }) = proposal.compaction.clone() else {
            return self.swap(index, proposal, &chain);
        };
        self.state = State::WritingCut { index, proposal, chain };
        Action::WriteCompaction { snapshot, page }
    }

    fn swap(&mut self, index: HeadIndex, proposal: Proposal, chain: &Chain) -> Action {
        let head = proposal.head;
        // A proposal always follows the chain that it was made from.
        let Ok(next) = Chain::follow(chain.config(), head.clone()) else {
            return self.unavailable();
        };
        self.swaps += 1;
        self.state = State::Swapping { index, version: head.version(), next };
        Action::Swap { expected: index, head }
    }

    fn behind(&self) -> Outcome {
        match self.unknown {
            Some(_) => Outcome::Unavailable(Verdict::MayHaveRun),
            None => Outcome::StoreBehind,
        }
    }

    fn unavailable(&self) -> Action {
        let verdict = match self.unknown {
            Some(_) => Verdict::MayHaveRun,
            None => Verdict::NotRun,
        };
        Action::Answer(Outcome::Unavailable(verdict))
    }
}
