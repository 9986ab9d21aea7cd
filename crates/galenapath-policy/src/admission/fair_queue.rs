//! A queue that shares what drains from it between workspaces.
//!
//! Load pattern: a few callers send most of the load. In one common queue everybody waits behind
//! them. Here each workspace has a queue of its own and the queues take turns by deficit round
//! robin: a turn is worth the same slot time to each, so that long requests buy no larger share.
//! A workspace that had nothing waiting goes first, for one turn: with ten workspaces waiting,
//! those that use less than their share would otherwise wait nine requests long for nothing.

use super::offer::{ClassIndex, Ticket, WorkspaceIndex};
use galenapath_protocol::Micros;
use std::collections::VecDeque;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiting {
    pub ticket: Ticket,
    pub class: ClassIndex,
    /// Expected slot time, in microseconds. At least one.
    pub cost: u64,
    /// When the request is given up on.
    pub give_up_at: Micros,
}

/// Waiting requests of all workspaces.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    queues: Vec<WorkspaceQueue>,
    /// Workspaces in their first turn, each once.
    fresh: VecDeque<WorkspaceIndex>,
    /// The other workspaces, each once, in the order of their turns. One whose queue has run empty
    /// stays until its turn comes, so that it cannot be fresh again before.
    turns: VecDeque<WorkspaceIndex>,
    /// Sum of the queues' lengths.
    len: usize,
    /// Queues that are not empty.
    active: usize,
    /// Slot time that a turn is worth: the largest cost seen since the queue was last empty.
    quantum: u64,
}

#[derive(Clone, Debug, Default)]
struct WorkspaceQueue {
    /// In order of arrival, oldest at the front.
    items: VecDeque<Waiting>,
    /// Slot time left of the workspace's turn.
    deficit: u64,
    /// Whether the workspace is in `fresh` or `turns`.
    listed: bool,
}

impl FairQueue {
    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Workspaces that have something waiting.
    pub fn active(&self) -> usize {
        self.active
    }

    /// Requests of one workspace waiting.
    pub fn len_of(&self, workspace: WorkspaceIndex) -> usize {
        self.queues.get(workspace.0 as usize).map_or(0, |queue| queue.items.len())
    }

    /// Appends a request to its workspace's queue.
    pub fn push(&mut self, workspace: WorkspaceIndex, waiting: Waiting) {
        let index = workspace.0 as usize;
        if self.queues.len() <= index {
            self.queues.resize_with(index + 1, WorkspaceQueue::default);
        }
        self.quantum = if self.len == 0 { waiting.cost } else { self.quantum.max(waiting.cost) };
        let queue = &mut self.queues[index];
        if !queue.listed {
            queue.listed = true;
            queue.deficit = self.quantum;
            self.fresh.push_back(workspace);
        }
        self.active += usize::from(queue.items.is_empty());
        queue.items.push_back(waiting);
        self.len += 1;
    }

    /// Takes out the oldest request of the workspace whose turn it is.
    pub fn pop(&mut self) -> Option<Waiting> {
        if self.len == 0 {
            return None;
        }
        loop {
            if let Some(waiting) = self.pop_fresh().or_else(|| self.pop_in_turn()) {
                return Some(waiting);
            }
        }
    }

    /// Takes out the newest request of `workspace`, without counting it as a turn.
    pub fn take_newest(&mut self, workspace: WorkspaceIndex) -> Option<Waiting> {
        let waiting = self.queues.get_mut(workspace.0 as usize)?.items.pop_back()?;
        self.removed(workspace);
        Some(waiting)
    }

    /// Takes out one request by its ticket, without counting it as a turn.
    pub fn remove(&mut self, workspace: WorkspaceIndex, ticket: Ticket) -> Option<Waiting> {
        let items = &mut self.queues.get_mut(workspace.0 as usize)?.items;
        let at = items.iter().position(|waiting| waiting.ticket == ticket)?;
        let waiting = items.remove(at)?;
        self.removed(workspace);
        Some(waiting)
    }

    /// The workspace with most requests waiting.
    pub fn heaviest(&self) -> Option<WorkspaceIndex> {
        let listed = self.fresh.iter().chain(&self.turns).copied();
        listed.max_by_key(|workspace| self.len_of(*workspace))
    }

    /// Requests that leave before and with one that `workspace` adds now, when all take turns.
    pub fn position_of_new(&self, workspace: WorkspaceIndex) -> usize {
        let own = self.len_of(workspace) + 1;
        let listed = self.queues.get(workspace.0 as usize).is_some_and(|queue| queue.listed);
        if !listed {
            return self.fresh.len() + own;
        }
        let others = self.fresh.iter().chain(&self.turns).filter(|other| **other != workspace);
        own + others.map(|other| self.len_of(*other).min(own)).sum::<usize>()
    }

    /// One step of the first turns; none if it yields no request.
    fn pop_fresh(&mut self) -> Option<Waiting> {
        let workspace = *self.fresh.front()?;
        let waiting = self.pop_within_deficit(workspace);
        if waiting.is_none() || self.len_of(workspace) == 0 {
            self.fresh.pop_front();
            self.turns.push_back(workspace);
        }
        self.settle(workspace, waiting)
    }

    /// One step of the other turns; none if it yields no request.
    fn pop_in_turn(&mut self) -> Option<Waiting> {
        let workspace = *self.turns.front()?;
        if self.len_of(workspace) == 0 {
            self.turns.pop_front();
            let queue = &mut self.queues[workspace.0 as usize];
            queue.listed = false;
            queue.deficit = 0;
            return None;
        }
        let waiting = self.pop_within_deficit(workspace);
        if waiting.is_none() {
            self.queues[workspace.0 as usize].deficit += self.quantum.max(1);
            self.turns.rotate_left(1);
        }
        self.settle(workspace, waiting)
    }

    fn pop_within_deficit(&mut self, workspace: WorkspaceIndex) -> Option<Waiting> {
        let queue = &mut self.queues[workspace.0 as usize];
        let cost = queue.items.front()?.cost;
        queue.deficit = queue.deficit.checked_sub(cost)?;
        queue.items.pop_front()
    }

    fn settle(&mut self, workspace: WorkspaceIndex, waiting: Option<Waiting>) -> Option<Waiting> {
        let waiting = waiting?;
        self.removed(workspace);
        Some(waiting)
    }

    fn removed(&mut self, workspace: WorkspaceIndex) {
        self.len -= 1;
        self.active -= usize::from(self.queues[workspace.0 as usize].items.is_empty());
    }
}
