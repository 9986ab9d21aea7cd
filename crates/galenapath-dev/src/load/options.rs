//! Command line of the load generator.

use clap::Parser;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// Sends a bounded load of several classes and prints one row for each class.
#[derive(Clone, Debug, Parser)]
pub struct Options {
    /// Address of an entry instance to query for addresses; repeat for more.
    #[arg(long = "entry")]
    pub entries: Vec<SocketAddr>,
    /// Address to send to without querying, such as a backend server's; repeat for more.
    #[arg(long = "direct", conflicts_with = "entries", required_unless_present = "entries")]
    pub direct: Vec<SocketAddr>,
    /// Load of a class: `name=…,service=…,rate=PER_SECOND[,method=…][,path=…][,bytes=…][,body=…]
    /// [,filing=true][,deadline_ms=…][,target_ms=…][,reliability=…]`; repeat for more.
    #[arg(long = "class", required = true)]
    pub classes: Vec<ClassLoad>,
    /// Time during which requests are sent.
    #[arg(long, default_value = "10s", value_parser = humantime::parse_duration)]
    pub duration: Duration,
    /// Maximum number of requests of a class.
    #[arg(long = "most", value_name = "MOST", default_value_t = 1_000_000)]
    pub max_requests: u64,
    /// Maximum number of unanswered requests of a class; requests beyond it are not sent and
    /// counted as unsent.
    #[arg(long, default_value_t = 4_000)]
    pub outstanding: usize,
    /// Maximum number of attempts of a request, including the first.
    #[arg(long, default_value_t = 3)]
    pub attempts: u32,
    /// Time-out of one attempt.
    #[arg(
        long = "patience",
        value_name = "PATIENCE",
        default_value = "10s",
        value_parser = humantime::parse_duration
    )]
    pub attempt_timeout: Duration,
    /// Simulated one-way delay between callers and instances.
    #[arg(long, default_value = "0ms", value_parser = humantime::parse_duration)]
    pub delay: Duration,
    /// Maximum time to wait before the load starts until every entry instance knows every service.
    #[arg(long, default_value = "0s", value_parser = humantime::parse_duration)]
    pub warm_up: Duration,
    /// Exit with status 1 and print the reasons if an answer was wrong or missing, or a target was
    /// missed.
    #[arg(long)]
    pub check: bool,
    /// Admin address of a backend stand-in; with `--check`, a key that ran more than once is an
    /// error. Repeat for more.
    #[arg(long = "admin")]
    pub admins: Vec<SocketAddr>,
    /// Seed of the random arrival times.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Print rows as JSON, one per line, instead of a table.
    #[arg(long)]
    pub json: bool,
}

/// Load of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassLoad {
    /// Name of the class in the table.
    pub name: String,
    /// Service, sent as the `Host` header.
    pub service: String,
    /// Mean rate in requests per second.
    pub rate: f64,
    /// HTTP method.
    pub method: String,
    /// Path; a nonce is added to the query.
    pub path: String,
    /// Length of the requested answer body, in bytes; a short summary if `None`.
    pub bytes: Option<u64>,
    /// Length of the request body, in bytes.
    pub body: usize,
    /// Deadline of a request, in milliseconds; not sent if `None`.
    pub deadline_ms: Option<u64>,
    /// Whether requests carry an idempotency key.
    pub filing: bool,
    /// Latency target, in milliseconds.
    pub target_ms: u64,
    /// Share of the requests that must be answered within the target.
    pub reliability: f64,
}

/// Error of parsing a [`ClassLoad`].
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ParseClassError {
    /// A field is missing.
    #[error("class specification has no `{0}`")]
    Missing(&'static str),
    /// A field is unknown or its value cannot be read.
    #[error("class specification has an invalid field `{0}`")]
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
