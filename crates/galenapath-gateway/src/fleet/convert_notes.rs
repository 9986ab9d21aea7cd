//! Conversions between the wire types and the types used in the code, for notes about servers and
//! requests.

use super::convert::millis;
use super::generated::{
    CrashWire, FailureWire, LimitWire, LoadWire, NoticesWire, PathReportWire, ReachedWire,
    RequestWire, RequestsWire, WarmthWire,
};
use super::message::{
    CrashNote, FailureNote, LimitNote, LoadNote, Notices, PathReport, ReachedNote, RequestNote,
    WarmthNote,
};
use galenapath_filings::Fingerprint;
use galenapath_protocol::{Incarnation, LoadReport, Micros};

impl From<&LoadNote> for LoadWire {
    fn from(note: &LoadNote) -> Self {
        let LoadReport { in_flight, waiting, slots, pace, .. } = note.report;
        let (server, age_ms) = (note.server, millis(note.age));
        Self { server, age_ms, running: in_flight, waiting, slots, pace }
    }
}

impl From<LoadWire> for LoadNote {
    fn from(wire: LoadWire) -> Self {
        let LoadWire { server, age_ms, running, waiting, slots, pace } = wire;
        let report = LoadReport { in_flight: running, waiting, slots, leaving: false, pace };
        Self { server, age: Micros::from_millis(u64::from(age_ms)), report }
    }
}

/// Wire units of a failure weight of one.
const HUNDREDTHS: f32 = 100.0;

impl From<&FailureNote> for FailureWire {
    fn from(note: &FailureNote) -> Self {
        Self { server: note.server, weight: (note.weight * HUNDREDTHS) as u32 }
    }
}

impl From<FailureWire> for FailureNote {
    fn from(wire: FailureWire) -> Self {
        Self { server: wire.server, weight: wire.weight as f32 / HUNDREDTHS }
    }
}

impl From<&WarmthNote> for WarmthWire {
    fn from(note: &WarmthNote) -> Self {
        Self { server: note.server, left_ms: millis(note.left) }
    }
}

impl From<WarmthWire> for WarmthNote {
    fn from(wire: WarmthWire) -> Self {
        Self { server: wire.server, left: Micros::from_millis(u64::from(wire.left_ms)) }
    }
}

/// Bits in one half of a fingerprint.
const HALF_BITS: u32 = 64;

/// The upper and the lower half of a fingerprint.
fn halves(Fingerprint(request): Fingerprint) -> (u64, u64) {
    ((request >> HALF_BITS) as u64, request as u64)
}

fn fingerprint(high: u64, low: u64) -> Fingerprint {
    Fingerprint(u128::from(high) << HALF_BITS | u128::from(low))
}

impl From<&CrashNote> for CrashWire {
    fn from(note: &CrashNote) -> Self {
        let (request_high, request_low) = halves(note.request);
        Self { server: note.server, request_high, request_low }
    }
}

impl From<CrashWire> for CrashNote {
    fn from(wire: CrashWire) -> Self {
        Self { server: wire.server, request: fingerprint(wire.request_high, wire.request_low) }
    }
}

impl From<&RequestNote> for RequestWire {
    fn from(note: &RequestNote) -> Self {
        let (request_high, request_low) = halves(note.request);
        Self { age_ms: millis(note.age), request_high, request_low }
    }
}

impl From<RequestWire> for RequestNote {
    fn from(wire: RequestWire) -> Self {
        let request = fingerprint(wire.request_high, wire.request_low);
        Self { request, age: Micros::from_millis(u64::from(wire.age_ms)) }
    }
}

impl From<&LimitNote> for LimitWire {
    fn from(note: &LimitNote) -> Self {
        let LimitNote { server, per_second, age } = *note;
        let (is_named, per_second) = (per_second.is_some(), per_second.unwrap_or(0.0));
        Self { server, age_ms: millis(age), is_named, per_second }
    }
}

impl From<LimitWire> for LimitNote {
    fn from(wire: LimitWire) -> Self {
        let LimitWire { server, age_ms, is_named, per_second } = wire;
        let is_limit = is_named && per_second.is_finite() && per_second >= 0.0;
        let age = Micros::from_millis(u64::from(age_ms));
        Self { server, per_second: is_limit.then_some(per_second), age }
    }
}

impl From<&Notices> for NoticesWire {
    fn from(notices: &Notices) -> Self {
        let limits = notices.limits.iter().map(Into::into).collect();
        let requests = |notes: &[RequestNote]| notes.iter().map(Into::into).collect();
        let (rejected, served) = (requests(&notices.rejected), requests(&notices.served));
        let is_any = !notices.rejected.is_empty() || !notices.served.is_empty();
        let requests = is_any.then_some(RequestsWire { rejected, served });
        Self { leaving: notices.leaving.clone(), limits, requests }
    }
}

impl From<NoticesWire> for Notices {
    fn from(wire: NoticesWire) -> Self {
        let limits = wire.limits.into_iter().map(Into::into).collect();
        let (rejected, served) = wire.requests.map(|r| (r.rejected, r.served)).unwrap_or_default();
        let notes = |wire: Vec<RequestWire>| wire.into_iter().map(Into::into).collect();
        Self { limits, leaving: wire.leaving, rejected: notes(rejected), served: notes(served) }
    }
}

impl From<&ReachedNote> for ReachedWire {
    fn from(note: &ReachedNote) -> Self {
        Self { age_ms: millis(note.age), server: note.server }
    }
}

impl From<ReachedWire> for ReachedNote {
    fn from(wire: ReachedWire) -> Self {
        Self { server: wire.server, age: Micros::from_millis(u64::from(wire.age_ms)) }
    }
}

impl From<&PathReport> for PathReportWire {
    fn from(report: &PathReport) -> Self {
        Self {
            from: report.from.0,
            has_paths: report.has_paths,
            reached: report.reached.iter().map(Into::into).collect(),
            unreached: report.unreached.clone(),
        }
    }
}

impl From<PathReportWire> for PathReport {
    fn from(wire: PathReportWire) -> Self {
        Self {
            from: Incarnation(wire.from),
            has_paths: wire.has_paths,
            reached: wire.reached.into_iter().map(Into::into).collect(),
            unreached: wire.unreached,
        }
    }
}
