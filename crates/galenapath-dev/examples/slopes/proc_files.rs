//! Processor time and memory of a process, from `/proc`.

use std::fs;

/// Clock ticks per second in `/proc`; a fixed part of the kernel's ABI.
const TICKS_PER_S: f64 = 100.0;

/// Returns the processor time of all threads except the data thread, in seconds.
pub fn control_cpu(pid: u32) -> f64 {
    cpu(pid, |stat| !stat.contains("(data)"))
}

/// Returns the processor time of the data thread in seconds.
pub fn data_cpu(pid: u32) -> f64 {
    cpu(pid, |stat| stat.contains("(data)"))
}

fn cpu(pid: u32, counts: impl Fn(&str) -> bool) -> f64 {
    let Ok(tasks) = fs::read_dir(format!("/proc/{pid}/task")) else { return 0.0 };
    let stats =
        tasks.flatten().filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
    stats.filter(|stat| counts(stat)).map(|stat| ticks(&stat) / TICKS_PER_S).sum()
}

/// Returns the ticks in user and kernel mode (fields 14 and 15). The name in parentheses may
/// contain spaces, so the fields are counted from its end.
fn ticks(stat: &str) -> f64 {
    let after_name = stat.rsplit(") ").next().unwrap_or("");
    let fields = after_name.split_whitespace().skip(11).take(2);
    fields.filter_map(|field| field.parse::<f64>().ok()).sum()
}

/// Returns the resident memory in MiB.
pub fn rss_mib(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kib.unwrap_or(0.0) / 1024.0
}
