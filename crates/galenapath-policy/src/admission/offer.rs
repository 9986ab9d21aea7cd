//! What the instance tells admission about a request and its class.

use galenapath_protocol::Micros;

/// The instance's number of a request, unique while the request lives.
pub type Ticket = u64;

/// Index of a class, as the instance numbers its classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassIndex(pub u32);

/// Dense index of a workspace, given by [`Admission::workspace`](super::Admission::workspace).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceIndex(pub u32);

/// How long the work of a class occupies a slot, compared with the other classes of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkLength {
    /// Lookups and filings.
    Short,
    /// Large transfers.
    Long,
}

/// What admission has to know about a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassPolicy {
    /// The class that this policy is for.
    pub class: ClassIndex,
    /// Whether its work is short or long.
    pub length: WorkLength,
    /// Time within which a request of the class is to be answered, from its arrival.
    pub target: Micros,
}

/// A request that asks to be let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The instance's number of the request.
    pub ticket: Ticket,
    /// The request's class.
    pub class: ClassIndex,
    /// The workspace that the caller belongs to.
    pub workspace: WorkspaceIndex,
    /// The moment after which the caller has no use for an answer.
    pub deadline: Micros,
}
