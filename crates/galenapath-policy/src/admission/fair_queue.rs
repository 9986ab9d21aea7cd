//! A queue that shares what drains from it between workspaces.
//!
//! Load pattern: a few callers send most of the load. In one common queue everybody waits behind
//! them. Here each workspace has a queue of its own and the queues take turns by deficit round
//! robin: a turn is worth the same slot time to each, so that long requests buy no larger share.

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
    /// The workspaces that have something waiting, each once, in the order of their turns.
    turns: VecDeque<WorkspaceIndex>,
    /// Sum of the queues' lengths.
    len: usize,
    /// Slot time that a turn is worth: the largest cost seen since the queue was last empty.
    quantum: u64,
}

#[derive(Clone, Debug, Default)]
struct WorkspaceQueue {
    /// In order of arrival, oldest at the front.
    items: VecDeque<Waiting>,
    /// Slot time left of the workspace's turns; zero while nothing waits.
    deficit: u64,
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
        self.turns.len()
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
        if self.queues[index].items.is_empty() {
            self.turns.push_back(workspace);
        }
        self.quantum = if self.len == 0 { waiting.cost } else { self.quantum.max(waiting.cost) };
        self.queues[index].items.push_back(waiting);
        self.len += 1;
    }

    /// Takes out the oldest request of the workspace whose turn it is.
    pub fn pop(&mut self) -> Option<Waiting> {
        loop {
            let workspace = *self.turns.front()?;
            let queue = &mut self.queues[workspace.0 as usize];
            let cost = queue.items.front()?.cost;
            if queue.deficit < cost {
                queue.deficit += self.quantum.max(1);
                self.turns.rotate_left(1);
                continue;
            }
            queue.deficit -= cost;
            let waiting = queue.items.pop_front()?;
            self.removed(workspace);
            return Some(waiting);
        }
    }

    /// Takes out the newest request of `workspace`, without counting it as a turn.
    pub fn take_newest(&mut self, workspace: WorkspaceIndex) -> Option<Waiting> {
        let waiting = self.queues.get_mut(workspace.0 as usize)?.items.pop_back()?;
        self.removed(workspace);
        Some(waiting)
    }

    /// Takes out one request by its ticket.
    pub fn remove(&mut self, workspace: WorkspaceIndex, ticket: Ticket) -> Option<Waiting> {
        let items = &mut self.queues.get_mut(workspace.0 as usize)?.items;
        let at = items.iter().position(|waiting| waiting.ticket == ticket)?;
        let waiting = items.remove(at)?;
        self.removed(workspace);
        Some(waiting)
    }

    /// The workspace with most requests waiting.
    pub fn heaviest(&self) -> Option<WorkspaceIndex> {
        self.turns.iter().copied().max_by_key(|workspace| self.len_of(*workspace))
    }

    /// Requests that leave before and with one that `workspace` adds now, when all take turns.
    pub fn position_of_new(&self, workspace: WorkspaceIndex) -> usize {
        let own = self.len_of(workspace) + 1;
        let others = self.turns.iter().filter(|other| **other != workspace);
        own + others.map(|other| self.len_of(*other).min(own)).sum::<usize>()
    }

    fn removed(&mut self, workspace: WorkspaceIndex) {
        self.len -= 1;
        let queue = &mut self.queues[workspace.0 as usize];
        if queue.items.is_empty() {
            queue.deficit = 0;
            self.turns.retain(|active| *active != workspace);
        }
    }
}
