//! The simulated deployment: backend servers, their speed, and the requests of callers.

use serde::Deserialize;
use std::path::Path;

/// A deployment of one service.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Seconds for which callers send.
    pub length_s: f64,
    /// One-way latency between two failure domains, in milliseconds.
    pub crossing_ms: f64,
    /// Number of instances in each failure domain.
    pub instances_per_domain: usize,
    /// The backend servers.
    pub servers: ServerSpec,
    /// Slow periods of the servers.
    pub spells: SlowPeriodSpec,
    /// The callers and their requests.
    pub callers: CallerSpec,
    /// Periods of higher load.
    #[serde(default)]
    pub bursts: Vec<Burst>,
}

/// The backend servers of the service.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServerSpec {
    /// Number of servers in each failure domain.
    pub per_domain: Vec<usize>,
    /// Requests that one server runs at once.
    pub slots: u32,
    /// Requests that wait at one server at most; it sheds any more.
    pub queue: usize,
    /// Mean time that a request takes at the usual speed, in milliseconds.
    pub work_ms: f64,
    /// Standard deviation of the logarithm of that time.
    pub spread: f64,
    /// Fraction of the slots in use above which a request that starts takes longer.
    pub crowded_from: f64,
    /// Factor by which it takes longer.
    pub crowded_factor: f64,
}

/// Slow periods of servers. A request that starts in one takes longer, even if the period ends
/// before it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SlowPeriodSpec {
    /// Fraction of the time that a server is slow.
    pub part: f64,
    /// Factor by which requests take longer in a slow period.
    pub factor: f64,
    /// Mean time between two random draws of the slowdown of a server, in milliseconds.
    pub every_ms: f64,
}

/// The callers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CallerSpec {
    /// Requests per second in all domains together.
    pub per_second: f64,
    /// Latency target, in milliseconds.
    pub target_ms: f64,
    /// Time after which a caller gives up, in milliseconds.
    pub patience_ms: f64,
    /// Timeout of one attempt, in milliseconds.
    pub timeout_ms: f64,
    /// Fraction of its remaining time that a rejected caller waits at most before it retries, even
    /// if the instance asked for a longer delay. It retries once.
    pub heeded_part: f64,
}

/// A period of higher load.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, in seconds.
    pub from_s: f64,
    /// Length, in seconds.
    pub length_s: f64,
    /// Factor on the usual request rate.
    pub factor: f64,
}

/// Why a deployment cannot be simulated.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file.
        file: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The text is not a valid deployment file. The source gives line and key.
    #[error("{file}: {source}")]
    Malformed {
        /// The file.
        file: String,
        /// The parser's error.
        source: Box<toml::de::Error>,
    },
    /// A value is out of range.
    #[error("{file}: `{key}` {rule}")]
    OutOfRange {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
        /// The valid range.
        rule: &'static str,
    },
}

impl Deployment {
    /// Reads a deployment from a TOML file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or a value is not valid.
    pub fn read(path: &Path) -> Result<Self, DeploymentError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| DeploymentError::Unreadable { file: file.clone(), source })?;
        Self::parse(&file, &text)
    }

    /// Parses a deployment from `text`. Errors refer to it as `file`.
    ///
    /// # Errors
    ///
    /// Returns an error if the text cannot be parsed or a value is not valid.
    pub fn parse(file: &str, text: &str) -> Result<Self, DeploymentError> {
        let deployment: Self = toml::from_str(text).map_err(|source| {
            DeploymentError::Malformed { file: file.to_owned(), source: Box::new(source) }
        })?;
        match deployment.invalid_key() {
            Some((key, rule)) => {
                Err(DeploymentError::OutOfRange { file: file.to_owned(), key, rule })
            }
            None => Ok(deployment),
        }
    }

    /// The first key with an invalid value and the valid range, if any.
    fn invalid_key(&self) -> Option<(&'static str, &'static str)> {
        let Self { servers, spells, callers, .. } = self;
        let positive = "must be greater than 0";
        let fraction = "must be between 0 and 1";
        let at_least_one = "must be 1 or greater";
        let rules = [
            (self.length_s > 0.0, "length_s", positive),
            (self.crossing_ms >= 0.0, "crossing_ms", "must be 0 or greater"),
            (self.instances_per_domain > 0, "instances_per_domain", at_least_one),
            (servers.per_domain.iter().sum::<usize>() > 0, "servers.per_domain", positive),
            (servers.slots > 0, "servers.slots", at_least_one),
            (servers.work_ms > 0.0, "servers.work_ms", positive),
            (servers.spread >= 0.0, "servers.spread", "must be 0 or greater"),
            (servers.crowded_factor >= 1.0, "servers.crowded_factor", at_least_one),
            ((0.0..=1.0).contains(&spells.part), "spells.part", fraction),
            (spells.factor >= 1.0, "spells.factor", at_least_one),
            (spells.every_ms > 0.0, "spells.every_ms", positive),
            (callers.per_second > 0.0, "callers.per_second", positive),
            (callers.target_ms > 0.0, "callers.target_ms", positive),
            (callers.timeout_ms > 0.0, "callers.timeout_ms", positive),
            (
                callers.patience_ms >= callers.target_ms,
                "callers.patience_ms",
                "must not be below the target",
            ),
            ((0.0..=1.0).contains(&callers.heeded_part), "callers.heeded_part", fraction),
            (self.bursts.iter().all(|b| b.factor > 0.0), "bursts.factor", positive),
        ];
        rules.into_iter().find(|(holds, ..)| !holds).map(|(_, key, rule)| (key, rule))
    }

    /// Requests per second at `at_s` seconds.
    pub(crate) fn rate_at(&self, at_s: f64) -> f64 {
        let is_on = |b: &&Burst| at_s >= b.from_s && at_s < b.from_s + b.length_s;
        self.callers.per_second
            * self.bursts.iter().filter(is_on).map(|b| b.factor).product::<f64>()
    }
}
