//! Conversions between wire types and the types of the crates that do no I/O.

use crate::InvalidMessage;
use crate::generated::{
    ClearedWire, CrashWire, HandOverWire, HeaderWire, LeavingWire, MemberStatusWire, MemberWire,
    OutcomeWire,
};
use galenapath_filings::{
    Answer, Fingerprint, HandOverEntry, HandOverOutcome, KeyId, SuspectReport,
};
use galenapath_membership::{LeavingMark, Member, MemberStatus};
use galenapath_protocol::{BackendId, DomainId, Incarnation, InstanceId};
use std::net::SocketAddr;
use std::sync::Arc;

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
            domain: member.domain.0.to_string(),
            callers: member.caller_address.to_string(),
            peers: member.peer_address.to_string(),
            beat: member.status_version,
            status: member.status.into(),
        }
    }
}

impl TryFrom<&MemberWire> for Member {
    type Error = InvalidMessage;

    fn try_from(wire: &MemberWire) -> Result<Self, Self::Error> {
        Ok(Self {
            id: InstanceId(wire.id.clone()),
            incarnation: Incarnation(wire.incarnation),
            domain: DomainId(wire.domain.as_str().into()),
            caller_address: parse_address(&wire.callers)?,
            peer_address: parse_address(&wire.peers)?,
            status_version: wire.beat,
            status: wire.status.into(),
        })
    }
}

impl From<&LeavingMark> for LeavingWire {
    fn from(mark: &LeavingMark) -> Self {
        Self { backend: mark.backend.0.to_string(), started: mark.started }
    }
}

impl From<&LeavingWire> for LeavingMark {
    fn from(wire: &LeavingWire) -> Self {
        Self { backend: BackendId(wire.backend.as_str().into()), started: wire.started }
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, InvalidMessage> {
    text.parse().map_err(|_| InvalidMessage::Address(text.to_owned()))
}

/// Splits reports on crash suspects into the two lists of a message.
pub fn encode_suspects(reports: &[SuspectReport]) -> (Vec<CrashWire>, Vec<ClearedWire>) {
    let mut crashes = Vec::new();
    let mut cleared = Vec::new();
    for report in reports {
        match report {
            SuspectReport::Crash { backend, age_ms, members } => crashes.push(CrashWire {
                backend: *backend,
                age_ms: *age_ms,
                fingerprints: members.iter().map(|fp| format_hex(fp.0)).collect(),
            }),
            SuspectReport::Answered { fp, age_ms } => {
                cleared.push(ClearedWire { fingerprint: format_hex(fp.0), age_ms: *age_ms });
            }
        }
    }
    (crashes, cleared)
}

/// Joins the two lists of a message into reports on crash suspects. Fingerprints that cannot be
/// parsed are skipped.
pub fn decode_suspects(crashes: &[CrashWire], cleared: &[ClearedWire]) -> Vec<SuspectReport> {
    let crashes = crashes.iter().map(|wire| SuspectReport::Crash {
        backend: wire.backend,
        age_ms: wire.age_ms,
        members: wire
            .fingerprints
            .iter()
            .filter_map(|fp| parse_hex(fp).ok().map(Fingerprint))
            .collect(),
    });
    let cleared = cleared.iter().filter_map(|wire| {
        let fp = Fingerprint(parse_hex(&wire.fingerprint).ok()?);
        Some(SuspectReport::Answered { fp, age_ms: wire.age_ms })
    });
    crashes.chain(cleared).collect()
}

/// Builds the message that hands over the outcomes of `incarnation`.
pub fn encode_hand_over(incarnation: Incarnation, outcomes: &[HandOverEntry]) -> HandOverWire {
    let outcomes = outcomes.iter().map(OutcomeWire::from).collect();
    HandOverWire { incarnation: incarnation.0, outcomes }
}

/// Reads the outcomes from a hand-over message.
///
/// # Errors
///
/// If any outcome cannot be parsed; the whole message is then rejected.
pub fn decode_hand_over(wire: &HandOverWire) -> Result<Vec<HandOverEntry>, InvalidMessage> {
    wire.outcomes.iter().map(HandOverEntry::try_from).collect()
}

impl From<&HandOverEntry> for OutcomeWire {
    fn from(outcome: &HandOverEntry) -> Self {
        let (status, headers, body) = match &outcome.outcome {
            HandOverOutcome::Answered(answer) => {
                let headers = answer.headers.iter();
                let headers = headers
                    .map(|(name, value)| HeaderWire { name: name.clone(), value: value.clone() })
                    .collect();
                (answer.status, headers, Some(format_hex_bytes(&answer.body)))
            }
            HandOverOutcome::AnswerDropped { status } => (*status, Vec::new(), None),
        };
        Self {
            key: format_hex(outcome.key.0),
            fingerprint: format_hex(outcome.fp.0),
            status,
            headers,
            body,
        }
    }
}

impl TryFrom<&OutcomeWire> for HandOverEntry {
    type Error = InvalidMessage;

    fn try_from(wire: &OutcomeWire) -> Result<Self, Self::Error> {
        let status = wire.status;
        let outcome = match &wire.body {
            Some(body) => HandOverOutcome::Answered(Arc::new(Answer {
                status,
                headers: wire.headers.iter().map(|h| (h.name.clone(), h.value.clone())).collect(),
                body: parse_hex_bytes(body)?.into(),
            })),
            None => HandOverOutcome::AnswerDropped { status },
        };
        Ok(Self {
            key: KeyId(parse_hex(&wire.key)?),
            fp: Fingerprint(parse_hex(&wire.fingerprint)?),
            outcome,
        })
    }
}

fn format_hex(number: u128) -> String {
    format!("{number:032x}")
}

fn parse_hex(text: &str) -> Result<u128, InvalidMessage> {
    u128::from_str_radix(text, 16).map_err(|_| InvalidMessage::Hex(text.to_owned()))
}

fn format_hex_bytes(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn parse_hex_bytes(text: &str) -> Result<Vec<u8>, InvalidMessage> {
    let invalid = || InvalidMessage::Hex(text.to_owned());
    let digits = text.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return Err(invalid());
    }
    digits
        .chunks(2)
        .map(|pair| std::str::from_utf8(pair).ok().and_then(|p| u8::from_str_radix(p, 16).ok()))
        .collect::<Option<Vec<u8>>>()
        .ok_or_else(invalid)
}
