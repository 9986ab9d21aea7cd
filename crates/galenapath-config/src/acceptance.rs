//! The state machine that accepts one change: it reads the head, builds a proposal and swaps the
//! head. Where the outcome of the swap is unknown, it reads the head again.

use crate::{
    AuditPage, Chain, ChangeRejection, ChangeRequest, Compaction, Config, FollowError, Head,
    Proposal, Replica, TailLimits, Version, propose,
};
use galenapath_protocol::Verdict;
use std::sync::Arc;

/// Maximum number of swaps before the operator is asked to retry later. Each conflict means that
/// another change was accepted, so eight in a row take eight other changes within milliseconds.
const MAX_SWAPS: u32 = 8;

/// The store's modification index of the head; zero if the store has no head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeadIndex(pub u64);

/// What the caller of the state machine must do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read the head; followed by [`Event::Head`] or [`Event::Failed`].
    ReadHead,
    /// Read the snapshot at this version; followed by [`Event::Snapshot`] or [`Event::Failed`].
    ReadSnapshot(Version),
    /// Create the snapshot and then the page, each unless it exists already; followed by
    /// [`Event::CompactionWritten`], also if they existed, or [`Event::Failed`].
    WriteCompaction {
        /// The snapshot.
        snapshot: Arc<Config>,
        /// The page.
        page: AuditPage,
    },
    /// Swap the head; followed by [`Event::Swapped`], [`Event::SwapConflict`] or
    /// [`Event::Failed`].
    Swap {
        /// The index that the head must still have in the store.
        expected: HeadIndex,
        /// The new head.
        head: Head,
    },
    /// Return the outcome to the operator; there are no further actions.
    Answer(Outcome),
}

/// The result of the last action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The head was read; it is the empty one if the store has none.
    Head {
        /// Its index in the store.
        index: HeadIndex,
        /// The head.
        head: Head,
    },
    /// The snapshot was read.
    Snapshot(Arc<Config>),
    /// The snapshot and the page are in the store.
    CompactionWritten,
    /// The new head is in the store.
    Swapped,
    /// The head had another index in the store; nothing was written.
    SwapConflict,
    /// The action failed; the verdict says whether it may have taken effect.
    Failed(Verdict),
    /// The time limit of the request has passed.
    TimedOut,
}

/// The outcome that is returned to the operator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The change is in the chain and stays there.
    Accepted {
        /// Version that the change created.
        version: Version,
        /// The newest known chain, which includes the change.
        chain: Chain,
    },
    /// The change is not accepted, and no swap in progress can still add it. The exception is
    /// [`ChangeRejection::BaseTooOld`]: an earlier request with the same identifier may have been
    /// accepted.
    Rejected(ChangeRejection),
    /// The store could not be used; the verdict says whether the change may have been accepted.
    Unavailable(Verdict),
    /// The store's head is older than the one that this instance knows, or of another chain.
    StoreBehind,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Reading,
    ReadingSnapshot { index: HeadIndex, head: Head },
    WritingCompaction { index: HeadIndex, proposal: Proposal, chain: Chain },
    Swapping { index: HeadIndex, version: Version, next: Chain },
    Done,
}

/// The state machine of one change request. It does no I/O: the caller executes each [`Action`] and
/// passes the resulting [`Event`] to [`Acceptance::step`], until [`Action::Answer`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptance {
    req: ChangeRequest,
    at_unix_ms: u64,
    limits: TailLimits,
    /// The configuration that the instance knew at the start. A store with an older one is not
    /// written to, as that would discard accepted changes.
    known: Replica,
    state: State,
    swaps: u32,
    /// Index that a swap of unknown outcome expected. The swap may still take effect as long as the
    /// head has this index in the store.
    unresolved_swap: Option<HeadIndex>,
}

impl Acceptance {
    /// Creates the state machine; the first action is [`Action::ReadHead`].
    pub fn new(req: ChangeRequest, known: Replica, at_unix_ms: u64, limits: TailLimits) -> Self {
        let state = State::Reading;
        Self { req, at_unix_ms, limits, known, state, swaps: 0, unresolved_swap: None }
    }

    /// Applies `event` and returns the next action.
    pub fn step(&mut self, event: Event) -> Action {
        match (std::mem::replace(&mut self.state, State::Done), event) {
            (State::Reading, Event::Head { index, head }) => self.on_head(index, head),
            (State::ReadingSnapshot { index, head }, Event::Snapshot(config)) => {
                self.on_chain(index, Chain::follow(&config, head))
            }
            (State::WritingCompaction { index, proposal, chain }, Event::CompactionWritten) => {
                self.swap(index, proposal, &chain)
            }
            (State::Swapping { version, next, .. }, Event::Swapped) => {
                Action::Answer(Outcome::Accepted { version, chain: next })
            }
            (State::Swapping { .. }, Event::SwapConflict) => self.read_again(),
            (State::Swapping { index, .. }, Event::Failed(Verdict::MayHaveRun)) => {
                self.unresolved_swap = Some(index);
                self.read_again()
            }
            (State::Swapping { index, .. }, Event::TimedOut) => {
                self.unresolved_swap = Some(index);
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
            followed => self.on_chain(index, followed),
        }
    }

    fn on_chain(&mut self, index: HeadIndex, chain: Result<Chain, FollowError>) -> Action {
        let Ok(chain) = chain else { return Action::Answer(self.store_behind()) };
        if chain.version() < self.known.version() {
            return Action::Answer(self.store_behind());
        }
        if self.unresolved_swap.is_some_and(|expected| expected != index) {
            // The swap expected another index than the head has now, so it has either taken effect
            // or never will, and `chain` shows which. This is not cleared before `chain` is known:
            // reading a snapshot may fail, and then the outcome is still unknown.
            self.unresolved_swap = None;
        }
        match propose(&chain, &self.req, self.at_unix_ms, self.limits) {
            Ok(proposal) => self.on_proposal(index, proposal, chain),
            Err(ChangeRejection::AlreadyAccepted { version }) => {
                Action::Answer(Outcome::Accepted { version, chain })
            }
            Err(_) if self.unresolved_swap.is_some() => self.unavailable(),
            Err(rejection) => Action::Answer(Outcome::Rejected(rejection)),
        }
    }

    fn on_proposal(&mut self, index: HeadIndex, proposal: Proposal, chain: Chain) -> Action {
        let Some(Compaction { page, snapshot }) = proposal.compaction.clone() else {
            return self.swap(index, proposal, &chain);
        };
        self.state = State::WritingCompaction { index, proposal, chain };
        Action::WriteCompaction { snapshot, page }
    }

    fn swap(&mut self, index: HeadIndex, proposal: Proposal, chain: &Chain) -> Action {
        let head = proposal.head;
        // A proposal's head always continues the chain that it was built on.
        let Ok(next) = Chain::follow(chain.config(), head.clone()) else {
            return self.unavailable();
        };
        self.swaps += 1;
        self.state = State::Swapping { index, version: head.version(), next };
        Action::Swap { expected: index, head }
    }

    fn store_behind(&self) -> Outcome {
        match self.unresolved_swap {
            Some(_) => Outcome::Unavailable(Verdict::MayHaveRun),
            None => Outcome::StoreBehind,
        }
    }

    fn unavailable(&self) -> Action {
        let verdict = match self.unresolved_swap {
            Some(_) => Verdict::MayHaveRun,
            None => Verdict::NotRun,
        };
        Action::Answer(Outcome::Unavailable(verdict))
    }
}
