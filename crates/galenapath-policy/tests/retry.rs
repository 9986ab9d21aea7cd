//! Which requests are retried or hedged, and how many.

use galenapath_policy::{
    AttemptCount, HedgeConfig, HedgePolicy, MAX_ATTEMPTS, RequestKind, RetryBudget, RetryConfig,
    may_retry,
};
use galenapath_protocol::{Micros, Verdict};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ONE_SECOND: Micros = Micros::from_secs(1);
const KINDS: [RequestKind; 3] = [RequestKind::Lookup, RequestKind::Filing, RequestKind::Transfer];

#[test]
fn may_retry_filing_never_after_may_have_run() {
    for attempt in 0..=MAX_ATTEMPTS {
        assert!(!may_retry(RequestKind::Filing, Verdict::MayHaveRun, attempt, ONE_SECOND));
    }
    assert!(may_retry(RequestKind::Filing, Verdict::NotRun, 1, ONE_SECOND));
}

#[test]
fn may_retry_never_after_an_answer() {
    assert!(KINDS.iter().all(|kind| !may_retry(*kind, Verdict::Answered, 1, ONE_SECOND)));
}

#[test]
fn may_retry_only_with_time_left() {
    assert!(KINDS.iter().all(|kind| !may_retry(*kind, Verdict::NotRun, 1, Micros(10))));
}

/// Returns the number of requests that reach the last level of a chain in which every call fails
/// without running. `is_carried` is whether the attempt count is passed along the chain.
fn amplification(depth: u32, count: &mut AttemptCount, is_carried: bool) -> u32 {
    if depth == 0 {
        return 1;
    }
    let mut reached = 0;
    loop {
        let mut below = AttemptCount::received(if is_carried { count.made() } else { 1 });
        reached += amplification(depth - 1, &mut below, is_carried);
        if is_carried {
            count.merge_reported(below.made());
        }
        if !may_retry(RequestKind::Lookup, Verdict::NotRun, count.made(), ONE_SECOND) {
            return reached;
        }
        count.increment();
    }
}

#[test]
fn attempts_bounded_along_a_chain() {
    let reached = amplification(11, &mut AttemptCount::received(0), true);
    assert_eq!(reached, MAX_ATTEMPTS);
}

#[test]
fn attempts_unbounded_when_not_carried() {
    let reached = amplification(11, &mut AttemptCount::received(0), false);
    assert_eq!(reached, 177_147);
}

#[test]
fn budget_share_of_first_tries() {
    let cfg = RetryConfig::default();
    let mut budget = RetryBudget::new(cfg.clone());
    let mut retries = 0;
    for i in 0..100_000_u64 {
        let now = Micros(i * 100);
        budget.record_first_attempt(now);
        retries += u32::from(budget.try_retry(now));
    }
    let bound = 100_000.0 * cfg.ratio + 10.0 * cfg.floor_per_second + 1.0;
    assert!(f64::from(retries) <= bound, "{retries} retries");
    assert!(f64::from(retries) >= 0.99 * bound, "{retries} retries");
}

#[test]
fn budget_floor_without_traffic() {
    let mut budget = RetryBudget::new(RetryConfig::default());
    let retries = (0..100).filter(|s| budget.try_retry(Micros::from_secs(*s))).count();
    assert_eq!(retries, 100);
    let at_once = (0..100).filter(|_| budget.try_retry(Micros::from_secs(100))).count();
    assert!(at_once <= 1);
}

/// A hedge policy that has observed uniformly distributed latencies of 1 to 100 ms.
fn trained_policy() -> HedgePolicy {
    let mut hedge = HedgePolicy::new(HedgeConfig::default());
    for i in 0..20_000_u64 {
        hedge.observe(Micros::from_millis(i * 37 % 100 + 1));
    }
    hedge
}

#[test]
fn hedge_after_the_quantile_for_lookups_only() {
    let hedge = trained_policy();
    let delay = hedge.delay(RequestKind::Lookup).unwrap();
    assert!((85..=100).contains(&(delay.0 / 1_000)), "{delay:?}");
    assert_eq!(hedge.delay(RequestKind::Filing), None);
    assert_eq!(hedge.delay(RequestKind::Transfer), None);
}

#[test]
fn hedge_inside_the_retry_budget() {
    let hedge = trained_policy();
    let mut budget = RetryBudget::new(RetryConfig { floor_per_second: 2.0, ..Default::default() });
    let now = Micros::from_millis(200);
    let sent = (0..10)
        .filter(|_| {
            hedge.try_hedge(now, Micros::ZERO, ONE_SECOND, RequestKind::Lookup, &mut budget)
        })
        .count();
    assert_eq!(sent, 2);
}

#[test]
fn hedge_none_before_enough_answers() {
    let hedge = HedgePolicy::new(HedgeConfig::default());
    assert_eq!(hedge.delay(RequestKind::Lookup), None);
}

/// Simulates lookups of which one in twenty is sent to a server ten times as slow. Returns their
/// sorted latencies in milliseconds and the share of hedged lookups.
fn straggler_latencies(hedged: bool) -> (Vec<f64>, f64) {
    let mut rng = StdRng::seed_from_u64(11);
    let mut draw = || {
        let mean = if rng.random_range(0..20) == 0 { 50.0 } else { 5.0 };
        -rng.random_range(f64::EPSILON..1.0_f64).ln() * mean
    };
    let mut policy = HedgePolicy::new(HedgeConfig::default());
    let mut budget = RetryBudget::new(RetryConfig::default());
    let mut hedges = 0;
    let mut latencies = Vec::new();
    for i in 0..100_000_u64 {
        let started = Micros(i * 100);
        budget.record_first_attempt(started);
        let (first, second) = (draw(), draw());
        let delay = policy.delay(RequestKind::Lookup).filter(|_| hedged).unwrap_or(ONE_SECOND);
        let at = started + delay;
        let slow = first > delay.as_millis_f64();
        let is_sent = slow
            && policy.try_hedge(
                at,
                started,
                started + ONE_SECOND,
                RequestKind::Lookup,
                &mut budget,
            );
        hedges += u32::from(is_sent);
        let other = if is_sent { delay.as_millis_f64() + second } else { f64::MAX };
        latencies.push(first.min(other));
        policy.observe(Micros((first.min(other) * 1_000.0) as u64));
    }
    latencies.sort_unstable_by(f64::total_cmp);
    (latencies, f64::from(hedges) / 100_000.0)
}

#[test]
fn hedge_cuts_the_tail_of_a_straggler() {
    let (plain, _) = straggler_latencies(false);
    let (hedged, share) = straggler_latencies(true);
    println!(
        "p99 {:.1} -> {:.1} ms, p99.9 {:.1} -> {:.1} ms, hedged {:.1}%",
        plain[99_000],
        hedged[99_000],
        plain[99_900],
        hedged[99_900],
        share * 100.0
    );
    assert!(hedged[99_900] < 0.5 * plain[99_900]);
    assert!(share <= 0.1);
}
