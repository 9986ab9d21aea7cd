//! Effect of admission: results of the scenarios that overload the service, with and without it.

use super::Job;
use super::scenario::Pattern;
use super::stats::Figures;
use galenapath_policy::ChoicePolicy;

/// Prints the table that compares runs with and without admission.
pub fn print(jobs: &[Job], figures: &[Figures]) {
    println!("\nAdmission\n");
    println!(
        "| scenario | policy | goodput in the first second, of capacity | in the second one, of \
         what arrived | p99 | rejected after, p99 | others' p99, of that before |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (job, figures) in jobs.iter().zip(figures).filter(|(job, _)| is_shown(job)) {
        print_row(job, figures);
    }
}

fn is_shown(job: &Job) -> bool {
    let overloads = [Pattern::HeavyOverload, Pattern::Saturation];
    let is_galenapath = job.variant.is_some_and(|v| v.policy == ChoicePolicy::Galenapath);
    overloads.contains(&job.scenario.pattern) && is_galenapath
}

fn print_row(job: &Job, f: &Figures) {
    let name = job.variant.map_or("", |v| v.name);
    println!(
        "| {} | {name} | {:.1}% | {:.1}% | {:.1} | {:.2} | {:.2} |",
        job.title(),
        f.goodput_first_second * 100.0,
        f.on_target_second_after * 100.0,
        f.p99,
        f.rejection_time99,
        f.others99
    );
}
