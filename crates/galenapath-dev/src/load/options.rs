//! Command line of the load generator.

use clap::Parser;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// Sends bounded load of several classes and prints one row for each.
#[derive(Clone, Debug, Parser)]
pub struct Options {
    /// Address of an entry instance to ask for addresses; repeat for more.
    #[arg(long = "entry")]
    pub entries: Vec<SocketAddr>,
    /// Address to send to without asking, such as a backend server's; repeat for more.
    #[arg(long = "direct", conflicts_with = "entries", required_unless_present = "entries")]
    pub direct: Vec<SocketAddr>,
    /// Load of a class: `name=…,service=…,rate=PER_SECOND[,method=…][,path=…][,bytes=…][,body=…]
    /// [,filing=true][,deadline_ms=…][,target_ms=…][,reliability=…]`; repeat for more.
    #[arg(long = "class", required = true)]
    pub classes: Vec<ClassLoad>,
    /// How long requests are sent.
    #[arg(long, default_value = "10s", value_parser = humantime::parse_duration)]
    pub duration: Duration,
    /// Most requests of a class.
    #[arg(long, default_value_t = 1_000_000)]
    pub most: u64,
    /// Most requests of a class that are unanswered at a time; what exceeds it is not sent and
    /// counted as unsent.
    #[arg(long, default_value_t = 4_000)]
    pub outstanding: usize,
    /// Times that a caller sends a request, the first one counted.
    #[arg(long, default_value_t = 3)]
    pub attempts: u32,
    /// Longest that a caller waits for one answer.
    #[arg(long, default_value = "10s", value_parser = humantime::parse_duration)]
    pub patience: Duration,
    /// Simulated one-way delay between callers and instances.
    #[arg(long, default_value = "0ms", value_parser = humantime::parse_duration)]
    pub delay: Duration,
    /// Longest wait, before the load begins, until every entry instance knows every service.
    #[arg(long, default_value = "0s", value_parser = humantime::parse_duration)]
    pub warm_up: Duration,
    /// Exit with 1 and say why where an answer was wrong or missing, or a target was missed.
    #[arg(long)]
    pub check: bool,
    /// Address of a backend stand-in's counters; with `--check`, a key that ran twice is an error.
    /// Repeat for more.
    #[arg(long = "admin")]
    pub admins: Vec<SocketAddr>,
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Print rows as JSON, one a line, instead of a table.
    #[arg(long)]
    pub json: bool,
}

/// Load of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassLoad {
    /// Name in the table.
    pub name: String,
    /// Service, sent as `Host`.
    pub service: String,
    /// Requests a second.
    pub rate: f64,
    /// Method.
    pub method: String,
    /// Path; a nonce is added to its query.
    pub path: String,
    /// Length of the answer that is asked for, in bytes; a short one where it is missing.
    pub bytes: Option<u64>,
    /// Length of the request's body in bytes.
    pub body: usize,
    /// Time that callers give a request, in milliseconds; not sent where it is missing.
    pub deadline_ms: Option<u64>,
    /// Whether requests carry an idempotency key.
    pub filing: bool,
    /// Time within which an answer meets the target, in milliseconds.
    pub target_ms: u64,
    /// Share of the sent requests that must meet it.
    pub reliability: f64,
}

/// Why a text describes no load of a class.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ParseClassError {
    /// A field is missing.
    #[error("class has no `{0}`")]
    Missing(&'static str),
    /// A field is unknown or its value cannot be read.
    #[error("class has a bad field `{0}`")]
    BadField(String),
}

impl FromStr for ClassLoad {
    type Err = ParseClassError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut class = Self {
            name: String::new(),
            service: String::new(),
            rate: 0.0,
            method: "GET".to_owned(),
            path: "/".to_owned(),
            bytes: None,
            body: 0,
            deadline_ms: None,
            filing: false,
            target_ms: 1_000,
            reliability: 0.99,
        };
        for field in text.split(',') {
            class.set(field).ok_or_else(|| ParseClassError::BadField(field.to_owned()))?;
        }
        match (class.name.is_empty(), class.service.is_empty(), class.rate > 0.0) {
            (true, _, _) => Err(ParseClassError::Missing("name")),
            (_, true, _) => Err(ParseClassError::Missing("service")),
            (_, _, false) => Err(ParseClassError::Missing("rate")),
            _ => Ok(class),
        }
    }
}

impl ClassLoad {
    fn set(&mut self, field: &str) -> Option<()> {
        let (name, value) = field.split_once('=')?;
        match name {
            "name" => self.name = value.to_owned(),
            "service" => self.service = value.to_owned(),
            "method" => self.method = value.to_owned(),
            "path" => self.path = value.to_owned(),
            "rate" => self.rate = value.parse().ok()?,
            "bytes" => self.bytes = Some(value.parse().ok()?),
            "body" => self.body = value.parse().ok()?,
            "deadline_ms" => self.deadline_ms = Some(value.parse().ok()?),
            "filing" => self.filing = value.parse().ok()?,
            "target_ms" => self.target_ms = value.parse().ok()?,
            "reliability" => self.reliability = value.parse().ok()?,
            _ => return None,
        }
        Some(())
    }
}
