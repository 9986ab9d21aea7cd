//! Servers and load observations for the tests of placement.

use galenapath_policy::place::{
    Choice, LoadObservation, PlaceConfig, PlacedServer, Placement, RequestCriteria,
};
use galenapath_protocol::{BackendId, LoadReport, Micros};

pub const WORK: Micros = Micros::from_millis(100);
pub const START: Micros = Micros::from_secs(10);

pub fn id(n: usize) -> BackendId {
    BackendId(format!("s{n}").into())
}

pub fn server(n: usize, is_local: bool) -> PlacedServer {
    let cold_for = Micros::ZERO;
    PlacedServer { id: id(n), slots: 6, is_local, is_leaving: false, is_withdrawn: false, cold_for }
}

pub fn placement(is_local: &[bool]) -> Placement {
    let mut placement = Placement::new(PlaceConfig::default(), 1);
    let list: Vec<_> =
        is_local.iter().enumerate().map(|(n, is_local)| server(n, *is_local)).collect();
    placement.set_servers(START, &list);
    placement
}

pub fn observation(at: Micros, running: u32, pace: u32) -> LoadObservation {
    let report = LoadReport { in_flight: running, waiting: 0, slots: 6, leaving: false, pace };
    LoadObservation { at, report }
}

pub fn criteria(time_left: Micros) -> RequestCriteria<'static> {
    RequestCriteria { tried: &[], is_large: false, time_left }
}

/// Number of sends per server, for `count` requests that each end before the next.
pub fn spread(
    placement: &mut Placement,
    now: Micros,
    criteria: &RequestCriteria<'_>,
    count: usize,
) -> Vec<usize> {
    let mut counts = vec![0; 8];
    for _ in 0..count {
        let Choice::Server(chosen) = placement.choose(now, criteria) else { continue };
        let n: usize = chosen.0[1..].parse().unwrap_or(0);
        counts[n] += 1;
    }
    counts
}
