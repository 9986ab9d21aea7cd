//! A queue that divides its drain rate fairly between workspaces.
//!
//! Load pattern: a few callers send most of the load. In one common queue all other callers wait
//! behind them. Here each workspace has its own queue, and the queues are served by deficit round
//! robin: a round gives each the same slot time, so that a workspace with long requests gets no
//! larger share. A workspace that had no queued requests is served first, for one round. With ten
//! workspaces queued, one that uses less than its share would otherwise wait for nine requests of
//! the others.

use super::offer::{ClassIndex, Ticket, WorkspaceIndex};
use galenapath_protocol::Micros;
use std::collections::VecDeque;

/// A queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    pub ticket: Ticket,
    pub class: ClassIndex,
    /// Expected slot time, in microseconds. At least one.
    pub cost: u64,
    /// Time at which the request is rejected if it has not started.
    pub expires_at: Micros,
}

/// Queued requests of all workspaces.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    queues: Vec<WorkspaceQueue>,
    /// Workspaces in their first round, each once.
    first_round: VecDeque<WorkspaceIndex>,
    /// The other workspaces, each once, in the order in which they are served. A workspace whose
    /// queue has become empty stays until it is next in order, so that it cannot enter
    /// `first_round` again before.
    round_robin: VecDeque<WorkspaceIndex>,
    /// Total number of queued requests.
    len: usize,
    /// Number of workspaces with queued requests.
    active: usize,
    /// Slot time of a workspace per round: the largest cost since the queue was last empty.
    quantum: u64,
}

#[derive(Clone, Debug, Default)]
struct WorkspaceQueue {
    /// In order of arrival, oldest at the front.
    items: VecDeque<QueuedRequest>,
    /// Slot time that the workspace may still use in this round.
    deficit: u64,
    /// Whether the workspace is in `first_round` or `round_robin`.
    is_scheduled: bool,
}

impl FairQueue {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of workspaces with queued requests.
    pub fn active(&self) -> usize {
        self.active
    }

    /// Returns the number of queued requests of one workspace.
    pub fn len_of(&self, workspace: WorkspaceIndex) -> usize {
        self.queues.get(workspace.0 as usize).map_or(0, |queue| queue.items.len())
    }

    /// Appends a request to its workspace's queue.
    pub fn push(&mut self, workspace: WorkspaceIndex, req: QueuedRequest) {
        let index = workspace.0 as usize;
        if self.queues.len() <= index {
            self.queues.resize_with(index + 1, WorkspaceQueue::default);
        }
        self.quantum = if self.len == 0 { req.cost } else { self.quantum.max(req.cost) };
        let queue = &mut self.queues[index];
        if !queue.is_scheduled {
            queue.is_scheduled = true;
            queue.deficit = self.quantum;
            self.first_round.push_back(workspace);
        }
        self.active += usize::from(queue.items.is_empty());
        queue.items.push_back(req);
        self.len += 1;
    }

    /// Removes the oldest request of the workspace that is next in order.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        if self.len == 0 {
            return None;
        }
        loop {
            if let Some(req) = self.pop_first_round().or_else(|| self.pop_round_robin()) {
                return Some(req);
            }
        }
    }

    /// Removes the newest request of `workspace` without charging its cost to the workspace.
    pub fn remove_newest(&mut self, workspace: WorkspaceIndex) -> Option<QueuedRequest> {
        let req = self.queues.get_mut(workspace.0 as usize)?.items.pop_back()?;
        self.after_removal(workspace);
        Some(req)
    }

    /// Removes one request by its ticket without charging its cost to the workspace.
    pub fn remove(&mut self, workspace: WorkspaceIndex, ticket: Ticket) -> Option<QueuedRequest> {
        let items = &mut self.queues.get_mut(workspace.0 as usize)?.items;
        let at = items.iter().position(|req| req.ticket == ticket)?;
        let req = items.remove(at)?;
        self.after_removal(workspace);
        Some(req)
    }

    /// Returns the workspace with the most queued requests.
    pub fn largest(&self) -> Option<WorkspaceIndex> {
        let scheduled = self.first_round.iter().chain(&self.round_robin).copied();
        scheduled.max_by_key(|workspace| self.len_of(*workspace))
    }

    /// Returns the position in the drain order of a request that `workspace` adds now, starting at
    /// one, if all workspaces are served in turn.
    pub fn position_of_new(&self, workspace: WorkspaceIndex) -> usize {
        let own = self.len_of(workspace) + 1;
        let is_scheduled =
            self.queues.get(workspace.0 as usize).is_some_and(|queue| queue.is_scheduled);
        if !is_scheduled {
            return self.first_round.len() + own;
        }
        let others =
            self.first_round.iter().chain(&self.round_robin).filter(|other| **other != workspace);
        own + others.map(|other| self.len_of(*other).min(own)).sum::<usize>()
    }

    /// Serves the next workspace in its first round; `None` if that yields no request.
    fn pop_first_round(&mut self) -> Option<QueuedRequest> {
        let workspace = *self.first_round.front()?;
        let popped = self.pop_within_deficit(workspace);
        if popped.is_none() || self.len_of(workspace) == 0 {
            self.first_round.pop_front();
            self.round_robin.push_back(workspace);
        }
        self.finish_pop(workspace, popped)
    }

    /// Serves the next workspace of the round robin; `None` if that yields no request.
    fn pop_round_robin(&mut self) -> Option<QueuedRequest> {
        let workspace = *self.round_robin.front()?;
        if self.len_of(workspace) == 0 {
            self.round_robin.pop_front();
            let queue = &mut self.queues[workspace.0 as usize];
            queue.is_scheduled = false;
            queue.deficit = 0;
            return None;
        }
        let popped = self.pop_within_deficit(workspace);
        if popped.is_none() {
            self.queues[workspace.0 as usize].deficit += self.quantum.max(1);
            self.round_robin.rotate_left(1);
        }
        self.finish_pop(workspace, popped)
    }

    fn pop_within_deficit(&mut self, workspace: WorkspaceIndex) -> Option<QueuedRequest> {
        let queue = &mut self.queues[workspace.0 as usize];
        let cost = queue.items.front()?.cost;
        queue.deficit = queue.deficit.checked_sub(cost)?;
        queue.items.pop_front()
    }

    fn finish_pop(
        &mut self,
        workspace: WorkspaceIndex,
        popped: Option<QueuedRequest>,
    ) -> Option<QueuedRequest> {
        let req = popped?;
        self.after_removal(workspace);
        Some(req)
    }

    fn after_removal(&mut self, workspace: WorkspaceIndex) {
        self.len -= 1;
        self.active -= usize::from(self.queues[workspace.0 as usize].items.is_empty());
    }
}
