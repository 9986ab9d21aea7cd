//! Command line of the backend stand-in.

use super::work::Work;
use clap::Parser;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// Runs stand-ins for backend servers, any number in one process.
#[derive(Clone, Debug, Parser)]
pub struct Options {
    /// A server: `name=…,service=…,domain=…[,listen=ADDR]
    /// [,advertise=ADDR][,work=…][,delay=…]`; repeat for more.
    #[arg(long = "server", required = true)]
    pub servers: Vec<ServerSpec>,
    /// Address of the platform's service registry to register with.
    #[arg(long)]
    pub store: Option<SocketAddr>,
    /// Address of the HTTP interface for counters and faults.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub admin: SocketAddr,
    /// Work time of a request, unless the server's `work` or the request's `work_ms` overrides it.
    #[arg(long, default_value = "constant:5")]
    pub work: Work,
    /// Requests that a server runs concurrently.
    #[arg(long, default_value_t = 6)]
    pub slots: usize,
    /// Requests that may wait for a slot; a server rejects further ones.
    #[arg(long, default_value_t = 12)]
    pub room: usize,
    /// Connections that a server accepts; further ones are closed on accept.
    #[arg(long, default_value_t = 240)]
    pub connections: u64,
    /// Time from accepting a connection until its first request is read.
    #[arg(long, default_value = "1ms", value_parser = humantime::parse_duration)]
    pub accept_time: Duration,
    /// Simulated one-way delay between callers and a server.
    #[arg(long, default_value = "0ms", value_parser = humantime::parse_duration)]
    pub delay: Duration,
    /// Time after a start or restart during which work is slower.
    #[arg(long, default_value = "0ms", value_parser = humantime::parse_duration)]
    pub cold_start: Duration,
    /// Time from a crash until the server restarts.
    #[arg(long, default_value = "2s", value_parser = humantime::parse_duration)]
    pub restart_after: Duration,
    /// Shortest time from the announcement that a server is leaving until it stops.
    #[arg(long, default_value = "4s", value_parser = humantime::parse_duration)]
    pub leave_after: Duration,
    /// File to which a line `SERVER KEY PATH` is appended when a request starts to run; it records
    /// the executions even if the process is killed.
    #[arg(long)]
    pub executions: Option<PathBuf>,
    /// Seed of the random work times.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// One server of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSpec {
    /// Name in the platform's list of instances.
    pub name: String,
    /// Service that the server belongs to.
    pub service: String,
    /// Failure domain that the server runs in.
    pub domain: String,
    /// Address to listen on; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address to register with the platform, if it differs from the one listened on.
    pub advertise: Option<SocketAddr>,
    /// Work time; overrides [`Options::work`].
    pub work: Option<Work>,
    /// One-way delay; overrides [`Options::delay`].
    pub delay: Option<Duration>,
}

/// Error of parsing a [`ServerSpec`].
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ParseSpecError {
    /// A field is missing.
    #[error("server specification has no `{0}`")]
    Missing(&'static str),
    /// A field is unknown or its value cannot be read.
    #[error("server specification has an invalid field `{0}`")]
    BadField(String),
}

impl FromStr for ServerSpec {
    type Err = ParseSpecError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut spec = Self {
            name: String::new(),
            service: String::new(),
            domain: String::new(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            advertise: None,
            work: None,
            delay: None,
        };
        for field in text.split(',') {
            spec.set(field).ok_or_else(|| ParseSpecError::BadField(field.to_owned()))?;
        }
        for (name, value) in
            [("name", &spec.name), ("service", &spec.service), ("domain", &spec.domain)]
        {
            if value.is_empty() {
                return Err(ParseSpecError::Missing(name));
            }
        }
        Ok(spec)
    }
}

impl ServerSpec {
    fn set(&mut self, field: &str) -> Option<()> {
        let (name, value) = field.split_once('=')?;
        match name {
            "name" => self.name = value.to_owned(),
            "service" => self.service = value.to_owned(),
            "domain" => self.domain = value.to_owned(),
            "listen" => self.listen = value.parse().ok()?,
            "advertise" => self.advertise = Some(value.parse().ok()?),
            "work" => self.work = Some(value.parse().ok()?),
            "delay" => self.delay = Some(humantime::parse_duration(value).ok()?),
            _ => return None,
        }
        Some(())
    }
}
