//! Conversions between wire types and the types of the pure crates.

use crate::BadNews;
use crate::generated::{LeavingWire, MemberStatusWire, MemberWire};
use galenapath_membership::{LeavingMark, Member, MemberStatus};
use galenapath_protocol::{BackendId, DomainId, Incarnation, InstanceId};
use std::net::SocketAddr;

impl From<MemberStatus> for MemberStatusWire {
    fn from(status: MemberStatus) -> Self {
        match status {
            MemberStatus::Live => Self::Live,
            MemberStatus::Suspect => Self::Suspect,
            MemberStatus::Leaving => Self::Leaving,
            MemberStatus::Gone => Self::Gone,
        }
    }
}

impl From<MemberStatusWire> for MemberStatus {
    fn from(wire: MemberStatusWire) -> Self {
        match wire {
            MemberStatusWire::Live => Self::Live,
            MemberStatusWire::Suspect => Self::Suspect,
            MemberStatusWire::Leaving => Self::Leaving,
            MemberStatusWire::Gone => Self::Gone,
        }
    }
}

impl From<&Member> for MemberWire {
    fn from(member: &Member) -> Self {
        Self {
            id: member.id.0.clone(),
            incarnation: member.incarnation.0,
            domain: member.domain.0.clone(),
            callers: member.callers.to_string(),
            peers: member.peers.to_string(),
            beat: member.beat,
            status: member.status.into(),
        }
    }
}

impl TryFrom<&MemberWire> for Member {
    type Error = BadNews;

    fn try_from(wire: &MemberWire) -> Result<Self, Self::Error> {
        Ok(Self {
            id: InstanceId(wire.id.clone()),
            incarnation: Incarnation(wire.incarnation),
            domain: DomainId(wire.domain.clone()),
            callers: address(&wire.callers)?,
            peers: address(&wire.peers)?,
            beat: wire.beat,
            status: wire.status.into(),
        })
    }
}

impl From<&LeavingMark> for LeavingWire {
    fn from(mark: &LeavingMark) -> Self {
        Self { backend: mark.backend.0.clone(), started: mark.started }
    }
}

impl From<&LeavingWire> for LeavingMark {
    fn from(wire: &LeavingWire) -> Self {
        Self { backend: BackendId(wire.backend.clone()), started: wire.started }
    }
}

fn address(text: &str) -> Result<SocketAddr, BadNews> {
    text.parse().map_err(|_| BadNews::Address(text.to_owned()))
}
