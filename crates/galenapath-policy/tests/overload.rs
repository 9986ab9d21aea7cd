//! Results of admission under several load patterns, with each mechanism enabled and disabled.
//!
//! The tests print rows for the tables in docs/MEASUREMENTS.md.

mod support;

use galenapath_policy::LimitRule;
use galenapath_protocol::Micros;
use support::{
    CAPACITY, Change, End, LOOKUP, Report, Sim, SimConfig, TRANSFER, lookups, transfers,
};

const TARGET_MS: f64 = LOOKUP.target.as_millis_f64();

const fn ms(ms: u64) -> Micros {
    Micros::from_millis(ms)
}

fn row(sim: &Sim, name: &str, streams: &[usize], from: Micros, to: Micros) -> Report {
    let report = Report::of(sim, streams, LOOKUP.target, from, to);
    println!("{}", report.row(name));
    report
}

/// 70% load, 150% between the first and the third second, then 70% again.
fn saturation(change: impl FnOnce(&mut SimConfig)) -> Sim {
    let mut cfg = SimConfig::new(1);
    let rates = [(0, 0.7), (1_000, 1.5), (3_000, 0.7)];
    let rates = rates.map(|(at, load)| (ms(at), load * CAPACITY)).to_vec();
    cfg.streams = vec![lookups("a", rates)];
    cfg.until = ms(5_000);
    change(&mut cfg);
    cfg.run()
}

#[test]
fn saturation_goodput_kept() {
    let sim = saturation(|_| {});
    let report = row(&sim, "saturation 150%", &[0], ms(1_000), ms(3_000));
    assert!(report.goodput >= 0.95 * CAPACITY);
    assert!(report.latency(0.99) <= TARGET_MS);
    assert!(report.rejection(0.99) <= 1.0, "rejections are sent at once");
}

#[test]
fn saturation_sixteen_dispatchers() {
    let sim = saturation(|cfg| cfg.instances = 16);
    let report = row(&sim, "saturation 150%, 16 dispatchers", &[0], ms(1_000), ms(3_000));
    assert!(report.goodput >= 0.95 * CAPACITY);
    assert!(report.latency(0.99) <= TARGET_MS);
}

#[test]
fn saturation_without_early_rejection() {
    let sim = saturation(|cfg| cfg.admission.early_rejection = false);
    let report = row(&sim, "saturation, no early rejection", &[0], ms(1_000), ms(3_000));
    assert!(report.goodput < 0.6 * CAPACITY);
    assert!(report.latency(0.99) > TARGET_MS);
}

#[test]
fn saturation_with_fixed_limit() {
    let sim = saturation(|cfg| cfg.admission.limit.rule = LimitRule::Fixed);
    let report = row(&sim, "saturation, fixed limit", &[0], ms(1_000), ms(3_000));
    assert!(report.goodput < 0.95 * CAPACITY);
}

#[test]
fn saturation_without_short_standing_queue() {
    let sim = saturation(|cfg| cfg.admission.overload_wait_share = 1.0);
    let report = row(&sim, "saturation, long standing queue", &[0], ms(1_500), ms(3_000));
    assert!(report.latency(0.5) > 20.0, "requests wait for the whole allowed wait");
}

#[test]
fn recovery_within_a_second() {
    let sim = saturation(|cfg| cfg.streams[0].caller_retries = 2);
    let first = row(&sim, "recovery, first second", &[0], ms(3_000), ms(4_000));
    let second = row(&sim, "recovery, second second", &[0], ms(4_000), ms(5_000));
    assert!(first.goodput >= 0.7 * CAPACITY * 0.95);
    assert!(second.goodput >= second.offered as f64 * 0.95, "retries are served too");
}

#[test]
fn recovery_without_early_rejection() {
    let sim = saturation(|cfg| {
        cfg.streams[0].caller_retries = 2;
        cfg.admission.early_rejection = false;
        cfg.admission.max_waiting = usize::MAX;
    });
    let first = row(&sim, "recovery, no early rejection", &[0], ms(3_000), ms(4_000));
    assert!(first.goodput < 0.1 * CAPACITY, "the backlog holds only late requests");
}

#[test]
fn recovery_without_return_schedule() {
    let with_schedule = saturation(|cfg| cfg.streams[0].caller_retries = 2);
    let without_schedule = saturation(|cfg| {
        cfg.streams[0].caller_retries = 2;
        cfg.admission.max_retry_after = cfg.admission.min_retry_after;
    });
    let with = row(&with_schedule, "returns scheduled", &[0], ms(1_000), ms(3_000));
    let without = row(&without_schedule, "returns after 20 ms", &[0], ms(1_000), ms(3_000));
    assert!(without.rejections.len() > 2 * with.rejections.len());
}

/// Ten workspaces that together use half of the capacity, and one that adds `heavy` times the
/// capacity.
fn heavy_workspace(heavy: f64, fair_shares: bool) -> Sim {
    let names = ["w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9"];
    let mut cfg = SimConfig::new(3);
    cfg.admission.fair_shares = fair_shares;
    cfg.until = ms(3_000);
    cfg.streams = names.map(|name| lookups(name, vec![(ms(0), 0.05 * CAPACITY)])).to_vec();
    cfg.streams.push(lookups("heavy", vec![(ms(0), 0.0), (ms(500), heavy * CAPACITY)]));
    cfg.run()
}

const OTHERS: &[usize] = &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9];

#[test]
fn heavy_workspace_others_unharmed() {
    let alone = heavy_workspace(0.0, true);
    let beside = heavy_workspace(1.2, true);
    let alone = row(&alone, "ten workspaces alone", OTHERS, ms(1_000), ms(3_000));
    let others = row(&beside, "ten workspaces beside a heavy one", OTHERS, ms(1_000), ms(3_000));
    let heavy = row(&beside, "the heavy workspace", &[10], ms(1_000), ms(3_000));
    assert!(others.latency(0.99) <= 1.2 * alone.latency(0.99));
    assert!(others.rejections.len() * 100 <= others.offered);
    assert!(heavy.goodput >= 0.4 * CAPACITY, "the heavy workspace uses the remaining capacity");
}

#[test]
fn heavy_workspace_without_fair_shares() {
    let sim = heavy_workspace(1.2, false);
    let others = row(&sim, "ten workspaces, one queue", OTHERS, ms(1_000), ms(3_000));
    assert!(others.rejections.len() * 10 > others.offered * 3);
}

#[test]
fn burst_absorbed() {
    let base = 0.7 * CAPACITY;
    let mut cfg = SimConfig::new(3);
    let bursts = (5..15).flat_map(|i| [(ms(i * 100), 5.0 * base), (ms(i * 100 + 5), base)]);
    cfg.streams = vec![lookups("a", [(ms(0), base)].into_iter().chain(bursts).collect())];
    let sim = cfg.run();
    let report = row(&sim, "ten bursts, x5 for 5 ms", &[0], ms(500), ms(1_500));
    assert!(report.goodput >= report.offered as f64 * 0.99);
    assert!(report.latency(0.99) <= TARGET_MS);
}

#[test]
fn capacity_halved_and_back() {
    let mut cfg = SimConfig::new(3);
    cfg.until = ms(3_000);
    cfg.streams = vec![lookups("a", vec![(ms(0), 0.8 * CAPACITY)])];
    let change = |at, factor| Change { at: ms(at), servers: 20, factor };
    cfg.changes = vec![change(1_000, 2.0), change(2_000, 1.0)];
    let sim = cfg.run();
    row(&sim, "work takes twice as long, first 300 ms", &[0], ms(1_000), ms(1_300));
    let low = row(&sim, "work takes twice as long, then", &[0], ms(1_300), ms(2_000));
    let back = row(&sim, "back to normal, first second", &[0], ms(2_000), ms(3_000));
    assert!(low.goodput >= 0.85 * CAPACITY / 2.0);
    assert!(back.goodput >= 0.95 * 0.8 * CAPACITY);
}

/// Twelve of twenty backend servers are lost permanently at 90% load, so that the load is 225% of
/// the remaining capacity.
#[test]
fn servers_lost_latency_kept() {
    let mut cfg = SimConfig::new(7);
    cfg.until = ms(4_000);
    cfg.streams = vec![lookups("a", vec![(ms(0), 0.9 * CAPACITY)])];
    cfg.changes = vec![Change { at: ms(2_000), servers: 12, factor: f64::INFINITY }];
    let sim = cfg.run();
    row(&sim, "12 of 20 servers lost, first 500 ms", &[0], ms(2_000), ms(2_500));
    let report = row(&sim, "12 of 20 servers lost, then", &[0], ms(2_500), ms(4_000));
    assert!(report.goodput >= 0.95 * 0.4 * CAPACITY);
    assert!(report.latency(0.5) <= 15.0, "no queue at the remaining servers");
}

/// Two backend servers behind four instances, with a constant load.
fn small_service(load: f64) -> Report {
    let mut cfg = SimConfig::new(7);
    cfg.servers = 2;
    cfg.until = ms(10_000);
    cfg.streams = vec![lookups("a", vec![(ms(0), load * CAPACITY / 10.0)])];
    let sim = cfg.run();
    row(&sim, &format!("small service at load {load}"), &[0], ms(2_000), ms(10_000))
}

#[test]
fn small_service_served_at_normal_load() {
    let report = small_service(0.85);
    assert!(report.rejections.len() * 50 <= report.offered);
    assert!(report.latency(0.99) <= TARGET_MS);
}

#[test]
fn small_service_started_in_overload() {
    let report = small_service(1.5);
    assert!(report.goodput >= 0.95 * CAPACITY / 10.0);
    assert!(report.latency(0.99) <= TARGET_MS);
}

/// Backend servers with a third of the usual slots, and instances that do not know each other's
/// requests.
fn overstated_capacity(rule: LimitRule, server_queue: usize) -> (Report, usize) {
    let mut cfg = SimConfig::new(5);
    (cfg.slots, cfg.server_queue, cfg.ignores_server_load) = (2, server_queue, true);
    cfg.admission.limit.rule = rule;
    cfg.streams = vec![lookups("a", vec![(ms(0), 0.25 * CAPACITY), (ms(500), 0.5 * CAPACITY)])];
    let sim = cfg.run();
    let bound = if server_queue == usize::MAX { "endless" } else { "short" };
    let name = format!("overstated slots, {rule:?} limit, {bound} server queues");
    let report = row(&sim, &name, &[0], ms(1_000), ms(2_000));
    (report, sim.records.iter().filter(|r| r.end == End::Shed).count())
}

#[test]
fn overstated_capacity_fewer_shed() {
    let (_, adaptive) = overstated_capacity(LimitRule::Adaptive, 2);
    let (_, fixed) = overstated_capacity(LimitRule::Fixed, 2);
    println!("shed by backend servers: adaptive {adaptive}, fixed {fixed}");
    assert!(adaptive * 2 < fixed);
}

#[test]
fn overstated_capacity_target_met() {
    let (adaptive, _) = overstated_capacity(LimitRule::Adaptive, usize::MAX);
    let (fixed, _) = overstated_capacity(LimitRule::Fixed, usize::MAX);
    assert!(adaptive.goodput > 2.0 * fixed.goodput);
}

/// Lookups that need 40% of the slots, and transfers that need all of them.
fn long_among_short(instances: usize, short_reserve: f64, long_share: f64) -> Sim {
    let mut cfg = SimConfig::new(3);
    cfg.instances = instances;
    (cfg.admission.short_reserve, cfg.admission.long_share) = (short_reserve, long_share);
    cfg.caller_timeout = ms(3_000);
    cfg.until = ms(4_000);
    let short = lookups("a", vec![(ms(0), 0.4 * CAPACITY)]);
    cfg.streams = vec![short, transfers("b", CAPACITY / 40.0)];
    cfg.run()
}

#[test]
fn long_work_short_unharmed() {
    let sim = long_among_short(4, 0.1, 0.7);
    let short = row(&sim, "long among short: short", &[0], ms(1_000), ms(4_000));
    let long = Report::of(&sim, &[1], TRANSFER.target, ms(1_000), ms(4_000));
    println!("{}", long.row("long among short: long"));
    assert!(short.goodput >= 0.95 * 0.4 * CAPACITY);
    assert!(short.latency(0.99) <= TARGET_MS);
    assert!(long.goodput >= 0.3 * CAPACITY / 40.0, "long work still gets its share");
}

#[test]
fn long_work_sixteen_dispatchers() {
    let sim = long_among_short(16, 0.1, 0.7);
    let short = row(&sim, "long among short: short, 16 dispatchers", &[0], ms(1_000), ms(4_000));
    assert!(short.goodput >= 0.95 * 0.4 * CAPACITY);
    assert!(short.latency(0.99) <= TARGET_MS);
}

#[test]
fn long_work_without_reserve() {
    let sim = long_among_short(4, 0.0, 1.0);
    let short = row(&sim, "short, nothing reserved", &[0], ms(1_000), ms(4_000));
    assert!(short.goodput < 0.5 * 0.4 * CAPACITY);
}
