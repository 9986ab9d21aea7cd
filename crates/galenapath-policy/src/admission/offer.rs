//! The input of admission control: requests, classes and workspaces.

use galenapath_protocol::Micros;

/// Number that the instance assigns to a request, unique among the requests in progress.
pub type Ticket = u64;

/// Index of a class, assigned by the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassIndex(pub u32);

/// Dense index of a workspace, assigned by
/// [`Admission::workspace_index`](super::Admission::workspace_index).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceIndex(pub u32);

/// How long requests of a class occupy a slot, relative to the other classes of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkLength {
    /// Lookups and filings.
    Short,
    /// Large transfers.
    Long,
}

/// Policy of a request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassPolicy {
    /// The class that the policy applies to.
    pub class: ClassIndex,
    /// Whether requests of the class are short or long work.
    pub length: WorkLength,
    /// Latency target of the class, counted from the arrival of a request.
    pub target: Micros,
}

/// A request offered for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Identifies the request in later calls.
    pub ticket: Ticket,
    /// The request's class.
    pub class: ClassIndex,
    /// The workspace that the caller belongs to.
    pub workspace: WorkspaceIndex,
    /// Time by which the caller gives up.
    pub deadline: Micros,
}
