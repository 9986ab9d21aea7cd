//! Tests of the crash suspects.

mod fleet;
mod list;

use galenapath_filings::{Fingerprint, SuspectConfig, SuspectVerdict, Suspects};
use galenapath_protocol::Micros;

const CRASHING: Fingerprint = Fingerprint(666);
const T0: Micros = Micros::from_secs(1_000);
/// Time between crashes, long enough that they count as separate.
const APART: Micros = Micros::from_secs(3);

fn fp(n: u128) -> Fingerprint {
    Fingerprint(n)
}

fn suspects() -> Suspects {
    Suspects::new(SuspectConfig::default())
}

fn share(now: Micros, all: &mut [Suspects]) {
    let reports: Vec<_> = all.iter().flat_map(|s| s.export(now)).collect();
    all.iter_mut().for_each(|s| drop(s.merge(now, &reports)));
}

fn is_rejected(verdict: SuspectVerdict) -> bool {
    matches!(verdict, SuspectVerdict::Reject { .. })
}
