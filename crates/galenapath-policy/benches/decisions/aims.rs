//! Aims for the production policy, and whether the runs met them.

use super::Job;
use super::scenario::Pattern;
use super::stats::Figures;
use galenapath_policy::ChoicePolicy;

/// p99.9 latency relative to the limit, with a straggler.
const MAX_RATIO_TO_LIMIT: f64 = 1.3;
/// p99 wait relative to power of two, with a straggler.
const MAX_RATIO_TO_POWER_OF_TWO_WAIT: f64 = 0.25;
/// Share of the straggler from 50 ms to 250 ms after the event, relative to an even share.
const MAX_STRAGGLER_SHARE: f64 = 0.25;
/// Goodput in the overloaded second, as a share of capacity.
const MIN_GOODPUT: f64 = 0.95;
/// Share of the requests of the second after the overload that are answered on time.
const MIN_RECOVERED: f64 = 0.99;
/// 99th percentile of the time from arrival to rejection.
const MAX_REJECTION_MS: f64 = 1.0;
/// Share of capacity that probes use.
const MAX_PROBE_SHARE: f64 = 0.01;

/// The runs of one scenario.
struct Runs<'a> {
    title: String,
    pattern: Pattern,
    galenapath: &'a Figures,
    power_of_two: &'a Figures,
    limit: &'a Figures,
}

/// Prints the result of each aim for each scenario that it applies to.
pub fn print(jobs: &[Job], figures: &[Figures]) {
    println!("\nAims\n\n| scenario | aim | measured | met |\n|---|---|---|---|");
    for runs in scenarios(jobs, figures) {
        if runs.pattern == Pattern::Straggler {
            print_straggler(&runs);
        } else {
            print_never_worse(&runs);
        }
        if runs.pattern == Pattern::Saturation {
            print_saturation(&runs);
        }
        let probe_share = runs.galenapath.probe_share;
        let text = format!("{:.3}%", probe_share * 100.0);
        print_aim(&runs.title, "measuring < 1%", &text, probe_share < MAX_PROBE_SHARE);
    }
}

fn print_straggler(runs: &Runs<'_>) {
    let Runs { title, galenapath: g, power_of_two: p, limit: l, .. } = runs;
    let over = g.p999 / l.p999;
    print_aim(title, "p99.9 <= 1.3 x limit", &format!("{over:.2}"), over <= MAX_RATIO_TO_LIMIT);
    let wait = g.wait99 / p.wait99;
    let is_met = wait < MAX_RATIO_TO_POWER_OF_TWO_WAIT;
    print_aim(title, "p99 wait < 1/4 of power of two", &format!("{wait:.2}"), is_met);
    let share = g.server0_share[1];
    let is_met = share < MAX_STRAGGLER_SHARE;
    print_aim(title, "share after 50 ms < 1/4 of even", &format!("{share:.3}"), is_met);
}

fn print_saturation(runs: &Runs<'_>) {
    let Runs { title, galenapath: g, .. } = runs;
    let goodput = g.goodput_first_second;
    let text = format!("{:.1}%", goodput * 100.0);
    print_aim(title, "goodput at 150% >= 95% of capacity", &text, goodput >= MIN_GOODPUT);
    let is_met = g.rejection_time99 <= MAX_REJECTION_MS;
    print_aim(
        title,
        "rejections within 1 ms, p99",
        &format!("{:.2} ms", g.rejection_time99),
        is_met,
    );
    let recovered = g.on_target_second_after;
    let text = format!("{:.2}%", recovered * 100.0);
    let is_met = recovered >= MIN_RECOVERED;
    print_aim(title, "second after the overload answered in time >= 99%", &text, is_met);
}

fn print_never_worse(runs: &Runs<'_>) {
    let Runs { title, galenapath: g, power_of_two: p, .. } = runs;
    let ratios = [g.p50 / p.p50, g.p99 / p.p99, g.p999 / p.p999];
    let [p50, p99, p999] = ratios;
    let text = format!("p50 {p50:.2}, p99 {p99:.2}, p99.9 {p999:.2} of it");
    let is_met = ratios.iter().all(|r| *r <= 1.0);
    print_aim(title, "never worse than power of two", &text, is_met);
}

fn print_aim(title: &str, aim: &str, measured: &str, is_met: bool) {
    println!("| {title} | {aim} | {measured} | {} |", if is_met { "met" } else { "not met" });
}

fn scenarios<'a>(jobs: &[Job], figures: &'a [Figures]) -> Vec<Runs<'a>> {
    let find = |title: &str, wanted: &dyn Fn(&Job) -> bool| {
        let index = jobs.iter().position(|j| j.title() == title && wanted(j))?;
        figures.get(index)
    };
    let is = |job: &Job, policy| job.variant.is_some_and(|v| v.policy == policy);
    let mut all: Vec<Runs<'a>> = Vec::new();
    for job in jobs {
        let title = job.title();
        if all.last().is_some_and(|r| r.title == title) {
            continue;
        }
        let galenapath = find(&title, &|j| is(j, ChoicePolicy::Galenapath));
        let power_of_two = find(&title, &|j| is(j, ChoicePolicy::PowerOfTwo));
        let limit = find(&title, &|j| j.variant.is_none());
        if let (Some(galenapath), Some(power_of_two), Some(limit)) =
            (galenapath, power_of_two, limit)
        {
            let pattern = job.scenario.pattern;
            all.push(Runs { title, pattern, galenapath, power_of_two, limit });
        }
    }
    all
}
