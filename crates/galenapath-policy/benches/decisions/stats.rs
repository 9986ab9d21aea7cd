//! Statistics of a run.

use super::scenario::{
    Arrival, CALLERS, HEAVY_CALLERS, MEAN_WORK, MEASURED_FROM, MS, SECOND, SERVERS, SLOTS, Time,
};

/// Ends of the windows after the event in which the share of server 0 is counted.
const SHARE_WINDOWS: [Time; 3] = [50 * MS, 250 * MS, Time::MAX];

/// Number of seconds that are counted separately.
const SECONDS: usize = 4;
/// Start of the interval before the event whose latencies are used as the reference. Servers are
/// warm by then.
const WARM_FROM: Time = 300 * MS;

#[derive(Debug)]
pub struct Stats {
    latencies: Vec<Time>,
    waits: Vec<Time>,
    offered: usize,
    rejected: usize,
    within_target: usize,
    /// Requests that arrived in each second, and the number of them answered within target.
    offered_by_second: [u32; SECONDS],
    on_target_by_second: [u32; SECONDS],
    /// Times from arrival to rejection.
    rejection_times: Vec<Time>,
    /// Latencies of the callers that are not heavy, before and after the event.
    others_before: Vec<Time>,
    others: Vec<Time>,
    caller_offered: Vec<u32>,
    caller_on_target: Vec<u32>,
    sent: [u64; 3],
    sent_to_server0: [u64; 3],
    pub probes: u64,
    probe_time: Time,
    pub to_leaving: u64,
    /// Arrival time of the last answered request, summed over the runs.
    ended_at: Time,
    /// Number of runs that were added.
    runs: u32,
}

/// Results of a job; times are in milliseconds, other values are shares.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub p50: f64,
    pub p99: f64,
    pub p999: f64,
    pub wait99: f64,
    pub wait999: f64,
    pub goodput: f64,
    pub rejected: f64,
    pub jain: f64,
    pub probe_share: f64,
    /// Share of server 0 in the windows after the event, relative to an even share.
    pub server0_share: [f64; 3],
    pub to_leaving: u64,
    /// Answered within target in the first second after the event, as a share of capacity.
    pub goodput_first_second: f64,
    /// Answered within target in the second after that one, as a share of what arrived.
    pub on_target_second_after: f64,
    /// 99th percentile of the time from arrival to rejection, in milliseconds.
    pub rejection_time99: f64,
    /// 99th percentile of the latency of callers that are not heavy, relative to that before the
    /// event.
    pub others99: f64,
}

impl Stats {
    pub fn new() -> Self {
        Self {
            latencies: Vec::new(),
            waits: Vec::new(),
            offered: 0,
            rejected: 0,
            within_target: 0,
            offered_by_second: [0; SECONDS],
            on_target_by_second: [0; SECONDS],
            rejection_times: Vec::new(),
            others_before: Vec::new(),
            others: Vec::new(),
            caller_offered: vec![0; CALLERS],
            caller_on_target: vec![0; CALLERS],
            sent: [0; 3],
            sent_to_server0: [0; 3],
            probes: 0,
            probe_time: 0,
            to_leaving: 0,
            ended_at: 0,
            runs: 0,
        }
    }

    /// Adds the requests of another run.
    pub fn add(&mut self, other: Self) {
        self.latencies.extend(other.latencies);
        self.waits.extend(other.waits);
        self.rejection_times.extend(other.rejection_times);
        self.others.extend(other.others);
        self.others_before.extend(other.others_before);
        self.offered += other.offered;
        self.rejected += other.rejected;
        self.within_target += other.within_target;
        add_all(&mut self.offered_by_second, &other.offered_by_second);
        add_all(&mut self.on_target_by_second, &other.on_target_by_second);
        add_all(&mut self.caller_offered, &other.caller_offered);
        add_all(&mut self.caller_on_target, &other.caller_on_target);
        add_all(&mut self.sent, &other.sent);
        add_all(&mut self.sent_to_server0, &other.sent_to_server0);
        self.probes += other.probes;
        self.probe_time += other.probe_time;
        self.to_leaving += other.to_leaving;
        self.ended_at += other.ended_at;
        self.runs += 1;
    }

    pub fn offer(&mut self, arrived: Time, caller: usize) {
        self.offered_by_second[second(arrived)] += 1;
        if arrived >= MEASURED_FROM {
            self.offered += 1;
            self.caller_offered[caller] += 1;
        }
    }

    /// Records an answer. `latency` is that seen by the caller; `wait` excludes work and the
    /// network delay between caller and instance. Long work counts for goodput only.
    pub fn answer(&mut self, arrival: &Arrival, latency: Time, wait: Time) {
        self.ended_at = self.ended_at.max(arrival.at);
        let is_on_target = latency <= arrival.target();
        self.on_target_by_second[second(arrival.at)] += u32::from(is_on_target);
        if arrival.caller >= HEAVY_CALLERS {
            self.record_other_latency(arrival.at, latency);
        }
        if arrival.at < MEASURED_FROM {
            return;
        }
        if !arrival.is_long {
            self.latencies.push(latency);
            self.waits.push(wait);
        }
        if is_on_target {
            self.within_target += 1;
            self.caller_on_target[arrival.caller] += 1;
        }
    }

    fn record_other_latency(&mut self, arrived: Time, latency: Time) {
        if arrived >= MEASURED_FROM {
            self.others.push(latency);
        } else if arrived >= WARM_FROM {
            self.others_before.push(latency);
        }
    }

    /// Records that a request was rejected `after` its arrival.
    pub fn record_rejection_time(&mut self, arrived: Time, after: Time) {
        if arrived >= MEASURED_FROM {
            self.rejection_times.push(after);
        }
    }

    pub fn reject(&mut self, arrived: Time) {
        self.rejected += usize::from(arrived >= MEASURED_FROM);
    }

    pub fn send(&mut self, at: Time, server: usize) {
        let Some(since) = at.checked_sub(MEASURED_FROM) else { return };
        let window = SHARE_WINDOWS.iter().position(|&end| since < end).unwrap_or(2);
        self.sent[window] += 1;
        self.sent_to_server0[window] += u64::from(server == 0);
    }

    pub fn probe(&mut self, cost: Time) {
        self.probes += 1;
        self.probe_time += cost;
    }

    pub fn figures(mut self) -> Figures {
        self.latencies.sort_unstable();
        self.waits.sort_unstable();
        self.rejection_times.sort_unstable();
        self.others.sort_unstable();
        self.others_before.sort_unstable();
        let capacity = (SERVERS as u64 * u64::from(SLOTS) * self.ended_at.max(1)) as f64;
        let offered = self.offered.max(1) as f64;
        let mut server0_share = [0.0; 3];
        for (share, (first, all)) in
            server0_share.iter_mut().zip(self.sent_to_server0.iter().zip(&self.sent))
        {
            *share = *first as f64 * SERVERS as f64 / (*all).max(1) as f64;
        }
        Figures {
            p50: quantile(&self.latencies, 0.5),
            p99: quantile(&self.latencies, 0.99),
            p999: quantile(&self.latencies, 0.999),
            wait99: quantile(&self.waits, 0.99),
            wait999: quantile(&self.waits, 0.999),
            goodput: self.within_target as f64 / offered,
            rejected: self.rejected as f64 / offered,
            jain: self.jain(),
            probe_share: self.probe_time as f64 / capacity,
            server0_share,
            to_leaving: self.to_leaving,
            goodput_first_second: f64::from(self.on_target_by_second[1])
                / (per_second() * f64::from(self.runs)),
            on_target_second_after: f64::from(self.on_target_by_second[2])
                / f64::from(self.offered_by_second[2].max(1)),
            rejection_time99: quantile(&self.rejection_times, 0.99),
            others99: quantile(&self.others, 0.99) / quantile(&self.others_before, 0.99).max(0.1),
        }
    }

    /// Jain's index of the share of each caller's requests that were answered within target.
    fn jain(&self) -> f64 {
        let shares: Vec<f64> = self
            .caller_offered
            .iter()
            .zip(&self.caller_on_target)
            .filter(|(offered, _)| **offered > 0)
            .map(|(offered, good)| f64::from(*good) / f64::from(*offered))
            .collect();
        let sum: f64 = shares.iter().sum();
        let squares: f64 = shares.iter().map(|x| x * x).sum();
        if squares == 0.0 { 0.0 } else { sum * sum / (shares.len() as f64 * squares) }
    }
}

fn add_all<T: std::ops::AddAssign + Copy>(mine: &mut [T], others: &[T]) {
    for (a, b) in mine.iter_mut().zip(others) {
        *a += *b;
    }
}

fn second(at: Time) -> usize {
    ((at / SECOND) as usize).min(SECONDS - 1)
}

/// Requests per second that all servers can handle together.
fn per_second() -> f64 {
    SERVERS as f64 * f64::from(SLOTS) * SECOND as f64 / MEAN_WORK
}

/// Returns a quantile in milliseconds.
fn quantile(sorted: &[Time], q: f64) -> f64 {
    let Some(last) = sorted.len().checked_sub(1) else { return 0.0 };
    sorted[(last as f64 * q) as usize] as f64 / MS as f64
}
