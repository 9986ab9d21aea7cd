//! What is played: servers, how they work, and what callers send.

use serde::Deserialize;
use std::path::Path;

/// A deployment of one service.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Seconds for which callers send.
    pub length_s: f64,
    /// Time of one way between two failure domains, in milliseconds.
    pub crossing_ms: f64,
    /// Instances in each failure domain that serve callers.
    pub instances_per_domain: usize,
    /// The backend servers.
    pub servers: ServerSpec,
    /// How their pace changes.
    pub spells: SpellSpec,
    /// What callers send.
    pub callers: CallerSpec,
    /// Times of a higher load.
    #[serde(default)]
    pub bursts: Vec<Burst>,
}

/// The backend servers of the service.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ServerSpec {
    /// Servers in each failure domain.
    pub per_domain: Vec<usize>,
    /// Requests that one runs at once.
    pub slots: u32,
    /// Requests that one lets wait; it sheds more.
    pub queue: usize,
    /// Mean work of a request at the usual pace, in milliseconds.
    pub work_ms: f64,
    /// Standard deviation of the logarithm of the work.
    pub spread: f64,
    /// Part of the slots above which a request that begins takes longer.
    pub crowded_from: f64,
    /// How much longer.
    pub crowded_factor: f64,
}

/// Spells in which a server works slowly; what begins in one takes longer to its end.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SpellSpec {
    /// Part of the time that a server is slow.
    pub part: f64,
    /// How much longer work takes then.
    pub factor: f64,
    /// Mean time between two draws of a server's pace, in milliseconds.
    pub every_ms: f64,
}

/// The callers.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CallerSpec {
    /// Requests a second, all domains together.
    pub per_second: f64,
    /// Time within which an answer is worth most, in milliseconds.
    pub target_ms: f64,
    /// Time that a caller waits, in milliseconds.
    pub patience_ms: f64,
    /// Longest time of one attempt, in milliseconds.
    pub timeout_ms: f64,
    /// Part of the time left up to which a caller heeds the time to come back. It comes back once.
    pub heeded_part: f64,
}

/// A time of higher load.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start, in seconds.
    pub from_s: f64,
    /// Length, in seconds.
    pub length_s: f64,
    /// Requests a second over the usual.
    pub factor: f64,
}

/// Why a deployment cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file.
        file: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// The text is no deployment; the source names line and key.
    #[error("{file}: {source}")]
    Malformed {
        /// The file.
        file: String,
        /// What is wrong where.
        source: Box<toml::de::Error>,
    },
    /// A figure makes no sense.
    #[error("{file}: `{key}` {rule}")]
    OutOfRange {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
        /// What it has to be.
        rule: &'static str,
    },
}

impl Deployment {
    /// Reads a deployment from a TOML file.
    ///
    /// # Errors
    ///
    /// Where the file cannot be read or played.
    pub fn read(path: &Path) -> Result<Self, DeploymentError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| DeploymentError::Unreadable { file: file.clone(), source })?;
        Self::parse(&file, &text)
    }

    /// Reads a deployment from `text`, which `file` names in errors.
    ///
    /// # Errors
    ///
    /// Where it cannot be played.
    pub fn parse(file: &str, text: &str) -> Result<Self, DeploymentError> {
        let deployment: Self = toml::from_str(text).map_err(|source| {
            DeploymentError::Malformed { file: file.to_owned(), source: Box::new(source) }
        })?;
        match deployment.fault() {
            Some((key, rule)) => {
                Err(DeploymentError::OutOfRange { file: file.to_owned(), key, rule })
            }
            None => Ok(deployment),
        }
    }

    fn fault(&self) -> Option<(&'static str, &'static str)> {
        let Self { servers, spells, callers, .. } = self;
        let positive = "has to be more than 0";
        let part = "has to be between 0 and 1";
        let at_least_one = "has to be 1 or more";
        let rules = [
            (self.length_s > 0.0, "length_s", positive),
            (self.crossing_ms >= 0.0, "crossing_ms", "has to be 0 or more"),
            (self.instances_per_domain > 0, "instances_per_domain", at_least_one),
            (servers.per_domain.iter().sum::<usize>() > 0, "servers.per_domain", positive),
            (servers.slots > 0, "servers.slots", at_least_one),
            (servers.work_ms > 0.0, "servers.work_ms", positive),
            (servers.spread >= 0.0, "servers.spread", "has to be 0 or more"),
            (servers.crowded_factor >= 1.0, "servers.crowded_factor", at_least_one),
            ((0.0..=1.0).contains(&spells.part), "spells.part", part),
            (spells.factor >= 1.0, "spells.factor", at_least_one),
            (spells.every_ms > 0.0, "spells.every_ms", positive),
            (callers.per_second > 0.0, "callers.per_second", positive),
            (callers.target_ms > 0.0, "callers.target_ms", positive),
            (callers.timeout_ms > 0.0, "callers.timeout_ms", positive),
            (
                callers.patience_ms >= callers.target_ms,
                "callers.patience_ms",
                "is below the target",
            ),
            ((0.0..=1.0).contains(&callers.heeded_part), "callers.heeded_part", part),
            (self.bursts.iter().all(|b| b.factor > 0.0), "bursts.factor", positive),
        ];
        rules.into_iter().find(|(holds, ..)| !holds).map(|(_, key, rule)| (key, rule))
    }

    /// Requests a second at `at_s` seconds.
    pub(crate) fn rate_at(&self, at_s: f64) -> f64 {
        let is_on = |b: &&Burst| at_s >= b.from_s && at_s < b.from_s + b.length_s;
        self.callers.per_second
            * self.bursts.iter().filter(is_on).map(|b| b.factor).product::<f64>()
    }
}
