//! The aims, and whether the runs met them.

use super::Job;
use super::scenario::Pattern;
use super::stats::Figures;
use galenapath_policy::ChoicePolicy;

const MOST_OVER_LIMIT: f64 = 1.3;
const MOST_OF_POWER_OF_TWO_WAIT: f64 = 0.25;
const MOST_STRAGGLER_SHARE: f64 = 0.25;
const LEAST_GOODPUT: f64 = 0.95;
const LEAST_RECOVERED: f64 = 0.99;
/// In milliseconds.
const LATEST_REJECTION: f64 = 1.0;
const MOST_MEASURING: f64 = 0.01;

/// The runs of one scenario.
struct Runs<'a> {
    title: String,
    pattern: Pattern,
    galenapath: &'a Figures,
    power_of_two: &'a Figures,
    limit: &'a Figures,
}

/// Prints each aim with its figures for each scenario that it speaks of.
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
        let measuring = runs.galenapath.measuring;
        let text = format!("{:.3}%", measuring * 100.0);
        print_aim(&runs.title, "measuring < 1%", &text, measuring < MOST_MEASURING);
    }
}

fn print_straggler(runs: &Runs<'_>) {
    let Runs { title, galenapath: g, power_of_two: p, limit: l, .. } = runs;
    let over = g.p999 / l.p999;
    print_aim(title, "p99.9 <= 1.3 x limit", &format!("{over:.2}"), over <= MOST_OVER_LIMIT);
    let wait = g.wait99 / p.wait99;
    let is_met = wait < MOST_OF_POWER_OF_TWO_WAIT;
    print_aim(title, "p99 wait < 1/4 of power of two", &format!("{wait:.2}"), is_met);
    let share = g.first_share[1];
    let is_met = share < MOST_STRAGGLER_SHARE;
    print_aim(title, "share after 50 ms < 1/4 of even", &format!("{share:.3}"), is_met);
}

fn print_saturation(runs: &Runs<'_>) {
    let Runs { title, galenapath: g, .. } = runs;
    let goodput = g.first_second;
    let text = format!("{:.1}%", goodput * 100.0);
    print_aim(title, "goodput at 150% >= 95% of capacity", &text, goodput >= LEAST_GOODPUT);
    let is_met = g.told99 <= LATEST_REJECTION;
    print_aim(title, "rejections within 1 ms, p99", &format!("{:.2} ms", g.told99), is_met);
    let recovered = g.second_after;
    let text = format!("{:.2}%", recovered * 100.0);
    let is_met = recovered >= LEAST_RECOVERED;
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
    let is = |job: &Job, policy| job.player.is_some_and(|p| p.policy == policy);
    let mut all: Vec<Runs<'a>> = Vec::new();
    for job in jobs {
        let title = job.title();
        if all.last().is_some_and(|r| r.title == title) {
            continue;
        }
        let galenapath = find(&title, &|j| is(j, ChoicePolicy::Galenapath));
        let power_of_two = find(&title, &|j| is(j, ChoicePolicy::PowerOfTwo));
        let limit = find(&title, &|j| j.player.is_none());
        if let (Some(galenapath), Some(power_of_two), Some(limit)) =
            (galenapath, power_of_two, limit)
        {
            let pattern = job.scenario.pattern;
            all.push(Runs { title, pattern, galenapath, power_of_two, limit });
        }
    }
    all
}
