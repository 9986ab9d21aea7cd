//! Scenarios: deployments, work distributions and load patterns.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time or duration in microseconds of virtual time.
pub type Time = u64;

pub const MS: Time = 1_000;
pub const SECOND: Time = 1_000_000;
/// Start of the measured part of a run, and time of the pattern's event.
pub const MEASURED_FROM: Time = SECOND;
/// Time after which no requests arrive.
pub const END: Time = 3 * SECOND;
pub const SERVERS: usize = 20;
pub const SLOTS: u32 = 6;
pub const INSTANCES: usize = 16;
pub const DOMAINS: usize = 3;
pub const CALLERS: usize = 200;
/// Mean work of a request.
pub const MEAN_WORK: f64 = 5_000.0;
/// Latency target.
pub const TARGET: Time = 100 * MS;
/// Latency target of long work.
pub const LONG_TARGET: Time = SECOND;
const LONG_WORK: f64 = 10.0 * MEAN_WORK;
pub const HEAVY_CALLERS: usize = 4;
const HEAVY_SHARE: f64 = 0.7;
/// Load of the other callers and additional load of the heavy ones, in pattern 2b.
const OTHERS_LOAD: f64 = 0.5;
const HEAVY_LOAD: f64 = 1.2;
const BURST_EVERY: Time = 500 * MS;
const BURST_LENGTH: Time = 5 * MS;
const LONG_SHARE: f64 = 0.05;

/// One-way network delays of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub cross_domain_delay: Time,
    pub client_delay: Time,
}

pub const HSINCHU: Deployment =
    Deployment { name: "Hsinchu", cross_domain_delay: 1_500, client_delay: 1_000 };
pub const LAGOS: Deployment =
    Deployment { name: "Lagos", cross_domain_delay: 500, client_delay: 3_000 };

/// Work distribution with the mean `MEAN_WORK`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    Exponential,
    /// Pareto with shape 1.5, cut at 500 ms.
    HeavyTailed,
    Constant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    Steady,
    Burst,
    HeavyCallers,
    HeavyOverload,
    Straggler,
    FastFailure,
    LongAmongShort,
    Saturation,
    RollingServers,
    HalfInstances,
    BadReports,
}

impl Pattern {
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "0 steady",
            Self::Burst => "1 burst x5 in 5 ms",
            Self::HeavyCallers => "2 few heavy callers",
            Self::HeavyOverload => "2b few heavy callers over capacity",
            Self::Straggler => "3a straggler x10",
            Self::FastFailure => "3b fast failure",
            Self::LongAmongShort => "4 long among short",
            Self::Saturation => "5 saturation 150%",
            Self::RollingServers => "6 rolling servers",
            Self::HalfInstances => "7 half of instances",
            Self::BadReports => "8 late, lying reports",
        }
    }

    /// Load as a share of the capacity of all servers at full speed.
    fn load(self, at: Time) -> f64 {
        match self {
            Self::Burst => {
                let since = at % BURST_EVERY;
                if at >= MEASURED_FROM && since < BURST_LENGTH { 3.0 } else { 0.6 }
            }
            Self::Saturation => {
                let overloaded = (MEASURED_FROM..2 * SECOND).contains(&at);
                if overloaded { 1.5 } else { 0.7 }
            }
            Self::HeavyOverload => OTHERS_LOAD + if at >= MEASURED_FROM { HEAVY_LOAD } else { 0.0 },
            Self::LongAmongShort | Self::RollingServers => 0.7,
            _ => 0.85,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub deployment: Deployment,
    pub work: Work,
    pub pattern: Pattern,
    pub seed: u64,
}

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time at which it reaches an instance.
    pub at: Time,
    pub caller: usize,
    /// Work on a server at full speed.
    pub work: Time,
    /// Whether the request belongs to the pattern's class of long work.
    pub is_long: bool,
}

impl Arrival {
    /// Latency target of the request.
    pub fn target(&self) -> Time {
        if self.is_long { LONG_TARGET } else { TARGET }
    }
}

impl Scenario {
    /// Returns all requests of the run, which are the same for every policy.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let capacity = (SERVERS as f64) * f64::from(SLOTS) / MEAN_WORK;
        let highest = 3.0 * capacity;
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            at += exponential(&mut rng, 1.0 / highest);
            if at as Time >= END {
                return arrivals;
            }
            let rate = self.pattern.load(at as Time) * capacity;
            if rng.random::<f64>() * highest < rate {
                let caller = self.caller(at as Time, &mut rng);
                let work = self.work(&mut rng).max(1.0);
                let is_long = self.pattern == Pattern::LongAmongShort && work >= LONG_WORK;
                arrivals.push(Arrival { at: at as Time, caller, work: work as Time, is_long });
            }
        }
    }

    fn caller(&self, at: Time, rng: &mut SmallRng) -> usize {
        let heavy_share = match self.pattern {
            Pattern::HeavyCallers => HEAVY_SHARE,
            Pattern::HeavyOverload => return self.caller_in_overload(at, rng),
            _ => 0.0,
        };
        let is_heavy = heavy_share > 0.0 && rng.random::<f64>() < heavy_share;
        rng.random_range(0..if is_heavy { HEAVY_CALLERS } else { CALLERS })
    }

    /// Heavy callers send nothing before the event; the other callers send the remaining load.
    fn caller_in_overload(&self, at: Time, rng: &mut SmallRng) -> usize {
        let others = OTHERS_LOAD / self.pattern.load(at);
        let is_heavy = rng.random::<f64>() >= others;
        if is_heavy {
            rng.random_range(0..HEAVY_CALLERS)
        } else {
            rng.random_range(HEAVY_CALLERS..CALLERS)
        }
    }

    fn work(&self, rng: &mut SmallRng) -> f64 {
        if self.pattern == Pattern::LongAmongShort {
            let is_long = rng.random::<f64>() < LONG_SHARE;
            return if is_long { LONG_WORK } else { exponential(rng, MEAN_WORK / 2.0) };
        }
        match self.work {
            Work::Exponential => exponential(rng, MEAN_WORK),
            Work::HeavyTailed => pareto(rng),
            Work::Constant => MEAN_WORK,
        }
    }
}

pub fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() * mean
}

/// Pareto distribution with shape 1.5, cut at 500 ms; its mean is about 5 ms.
fn pareto(rng: &mut SmallRng) -> f64 {
    const LEAST: f64 = 1_773.0;
    const MOST: f64 = 500_000.0;
    let u = 1.0 - rng.random::<f64>();
    (LEAST * u.powf(-1.0 / 1.5)).min(MOST)
}
