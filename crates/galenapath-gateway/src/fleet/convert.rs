//! Conversions between the wire types and the types used in the code, for datagrams.

use super::generated::{
    BeatWire, DatagramWire, EndWire, FleetMemberWire, HelloWire, LoadsWire, MembersWire,
    PathQueryWire, UsageWire, UsagesWire,
};
use super::message::{Datagram, Loads};
use galenapath_membership::{Heartbeat, InstanceStatus, Member, MemberStatus, StoreHealth};
use galenapath_policy::quota::UsageNote;
use galenapath_protocol::{DomainId, Incarnation, InstanceId, Micros, StorePosition, WorkspaceId};

const READY: u8 = 1;
const LEAVING: u8 = 2;
const WATCHING: u8 = 4;
const STORE_ANSWERS: u8 = 8;
const STORE_FAILS: u8 = 16;
const SERVES_CALLERS: u8 = 32;
const CROSSES: u8 = 64;
const CUT_OFF: u8 = 128;

/// Age that stands for no known answer of the store.
const NO_STORE_ANSWER: u32 = 0;

fn flags(status: &InstanceStatus) -> u8 {
    let bit = |is_set: bool, bit: u8| if is_set { bit } else { 0 };
    let store = match status.store {
        StoreHealth::Untried => 0,
        StoreHealth::Answering => STORE_ANSWERS,
        StoreHealth::Failing => STORE_FAILS,
    };
    store
        | bit(status.is_ready, READY)
        | bit(status.is_leaving, LEAVING)
        | bit(status.is_watching, WATCHING)
        | bit(status.serves_callers, SERVES_CALLERS)
        | bit(status.sends_cross_domain, CROSSES)
        | bit(status.is_cut_off, CUT_OFF)
}

impl From<&Heartbeat> for BeatWire {
    fn from(heartbeat: &Heartbeat) -> Self {
        Self {
            from: heartbeat.from.0,
            flags: flags(&heartbeat.status),
            rate: heartbeat.status.rate,
            capacity: heartbeat.status.capacity,
            config_version: heartbeat.status.config_version,
            position: heartbeat.status.position.revision,
            store_epoch: heartbeat.status.position.stated_epoch().unwrap_or(0),
            accused: heartbeat.accused.iter().map(|id| id.0).collect(),
            digest: heartbeat.digest,
            store_seen_ms: heartbeat.store_age.map_or(NO_STORE_ANSWER, |age| millis(age).max(1)),
            wants_answer: heartbeat.wants_answer,
        }
    }
}

impl From<BeatWire> for Heartbeat {
    fn from(wire: BeatWire) -> Self {
        let has = |bit| wire.flags & bit != 0;
        let store = match (has(STORE_ANSWERS), has(STORE_FAILS)) {
            (true, _) => StoreHealth::Answering,
            (false, true) => StoreHealth::Failing,
            (false, false) => StoreHealth::Untried,
        };
        let status = InstanceStatus {
            is_ready: has(READY),
            is_leaving: has(LEAVING),
            store,
            is_watching: has(WATCHING),
            serves_callers: has(SERVES_CALLERS),
            sends_cross_domain: has(CROSSES),
            is_cut_off: has(CUT_OFF),
            rate: wire.rate,
            capacity: wire.capacity,
            config_version: wire.config_version,
            position: StorePosition::new(wire.store_epoch, wire.position),
        };
        let accused = wire.accused.into_iter().map(Incarnation).collect();
        Self {
            from: Incarnation(wire.from),
            status,
            accused,
            digest: wire.digest,
            store_age: (wire.store_seen_ms != NO_STORE_ANSWER)
                .then(|| Micros::from_millis(wire.store_seen_ms.into())),
            wants_answer: wire.wants_answer,
        }
    }
}

impl From<&Member> for FleetMemberWire {
    fn from(member: &Member) -> Self {
        Self {
            name: member.id.0.clone(),
            incarnation: member.incarnation.0,
            domain: member.domain.0.to_string(),
            callers: member.caller_address.to_string(),
            peers: member.peer_address.to_string(),
        }
    }
}

impl TryFrom<FleetMemberWire> for Member {
    type Error = String;

    fn try_from(wire: FleetMemberWire) -> Result<Self, String> {
        let address = |text: &str| text.parse().map_err(|e| format!("address `{text}`: {e}"));
        Ok(Self {
            caller_address: address(&wire.callers)?,
            peer_address: address(&wire.peers)?,
            id: InstanceId(wire.name),
            incarnation: Incarnation(wire.incarnation),
            domain: DomainId(wire.domain.into()),
            status_version: 0,
            status: MemberStatus::Live,
        })
    }
}

/// A time span in the unit of the wire types.
pub(super) fn millis(span: Micros) -> u32 {
    u32::try_from(span.0 / 1_000).unwrap_or(u32::MAX)
}

/// Wire units of one request of a quota.
const TENTHS: f64 = 10.0;

impl From<&UsageNote> for UsageWire {
    fn from(note: &UsageNote) -> Self {
        Self {
            workspace: note.workspace.0,
            used: note.used,
            level: (note.level * TENTHS) as i64,
            demand: (note.demand * TENTHS) as u32,
        }
    }
}

impl From<UsageWire> for UsageNote {
    fn from(wire: UsageWire) -> Self {
        Self {
            workspace: WorkspaceId(wire.workspace),
            used: wire.used,
            level: wire.level as f64 / TENTHS,
            demand: f64::from(wire.demand) / TENTHS,
        }
    }
}

impl From<&Datagram> for DatagramWire {
    fn from(datagram: &Datagram) -> Self {
        match datagram {
            Datagram::Heartbeat(heartbeat) => Self::B(heartbeat.into()),
            Datagram::Hello(member) => Self::H(HelloWire { from: member.into() }),
            Datagram::Members { members, store_failing } => Self::M(MembersWire {
                members: members.iter().map(Into::into).collect(),
                turned_away: store_failing.iter().map(|id| id.0).collect(),
            }),
            Datagram::Loads(loads) => Self::L(LoadsWire {
                loads: loads.loads.iter().map(Into::into).collect(),
                failures: loads.failures.iter().map(Into::into).collect(),
                crashes: loads.crashes.iter().map(Into::into).collect(),
                warmth: loads.warmth.iter().map(Into::into).collect(),
            }),
            Datagram::Notices(notices) => Self::N(notices.into()),
            Datagram::Usage { from, notes } => {
                Self::Q(UsagesWire { from: from.0, notes: notes.iter().map(Into::into).collect() })
            }
            Datagram::End(incarnation) => Self::E(EndWire { from: incarnation.0 }),
            Datagram::PathQuery { from, servers } => {
                Self::P(PathQueryWire { from: from.0, servers: servers.clone() })
            }
            Datagram::PathReport(report) => Self::R(report.into()),
        }
    }
}

impl TryFrom<DatagramWire> for Datagram {
    type Error = String;

    fn try_from(wire: DatagramWire) -> Result<Self, String> {
        Ok(match wire {
            DatagramWire::B(heartbeat) => Self::Heartbeat(heartbeat.into()),
            DatagramWire::H(hello) => Self::Hello(hello.from.try_into()?),
            DatagramWire::M(wire) => {
                let members = wire.members.into_iter().map(Member::try_from);
                let store_failing = wire.turned_away.into_iter().map(Incarnation).collect();
                Self::Members { members: members.collect::<Result<_, _>>()?, store_failing }
            }
            DatagramWire::L(loads) => Self::Loads(Loads {
                loads: loads.loads.into_iter().map(Into::into).collect(),
                failures: loads.failures.into_iter().map(Into::into).collect(),
                crashes: loads.crashes.into_iter().map(Into::into).collect(),
                warmth: loads.warmth.into_iter().map(Into::into).collect(),
            }),
            DatagramWire::N(notices) => Self::Notices(notices.into()),
            DatagramWire::Q(usages) => Self::Usage {
                from: Incarnation(usages.from),
                notes: usages.notes.into_iter().map(Into::into).collect(),
            },
            DatagramWire::E(end) => Self::End(Incarnation(end.from)),
            DatagramWire::P(query) => {
                Self::PathQuery { from: Incarnation(query.from), servers: query.servers }
            }
            DatagramWire::R(report) => Self::PathReport(report.into()),
        })
    }
}
