//! Processes of backend servers in a scenario; each process has one or more servers.

use super::error::ScenarioError;
use super::line::Line;
use super::net::Net;
use super::process::{POLL, Process};
use super::programs::Programs;
use super::store::{START_LIMIT, json_value};
use crate::link::Relay;
use crate::wire::exchange;
use monoio::time::sleep;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Options of the step that are passed to the program as flags.
const PROGRAM_OPTIONS: &[&str] = &[
    "work",
    "slots",
    "room",
    "connections",
    "cold_start",
    "restart_after",
    "leave_after",
    "delay",
];
/// Limit for running requests to finish at the end of a scenario.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// A process of backend servers.
pub struct Backends {
    name: String,
    args: Vec<String>,
    admin: SocketAddr,
    dir: PathBuf,
    /// Relays in front of the servers, with `link=yes`.
    pub links: Vec<Relay>,
    /// The process; `None` while it is killed or stopped.
    pub process: Option<Process>,
}

impl Backends {
    /// `backend NAME service=… domain=… [count=…] [link=yes] …`: starts a process of backend
    /// servers.
    pub async fn start(
        line: &Line,
        programs: &Programs,
        net: &mut Net,
        store: SocketAddr,
        dir: &Path,
    ) -> Result<Self, ScenarioError> {
        let name = line.word(1).to_owned();
        let mut backends = Self {
            args: Vec::new(),
            admin: net.address()?,
            dir: dir.to_owned(),
            links: Vec::new(),
            process: None,
            name,
        };
        backends.args.extend(["--store".to_owned(), store.to_string()]);
        backends.args.extend(["--admin".to_owned(), backends.admin.to_string()]);
        let log = backends.log_path().display().to_string();
        backends.args.extend(["--executions".to_owned(), log]);
        backends.add_servers(line, net)?;
        for option in PROGRAM_OPTIONS {
            if let Some(value) = line.option(option) {
                backends.args.push(format!("--{}", option.replace('_', "-")));
                backends.args.push(value.to_owned());
            }
        }
        backends.restart(programs).await?;
        Ok(backends)
    }

    fn add_servers(&mut self, line: &Line, net: &mut Net) -> Result<(), ScenarioError> {
        let count: usize = line.option("count").unwrap_or("1").parse().unwrap_or(1);
        let service = line.option("service").unwrap_or("main");
        let domain = line.option("domain").unwrap_or("d1");
        for number in 1..=count {
            let listen = net.address()?;
            let mut spec = format!(
                "name={}-{number},service={service},domain={domain},listen={listen}",
                self.name
            );
            if line.option("link").is_some() {
                let relay = Relay::start(net.address()?).map_err(ScenarioError::io("relay"))?;
                relay.set_target(listen);
                spec.push_str(&format!(",advertise={}", relay.addr));
                self.links.push(relay);
            }
            self.args.extend(["--server".to_owned(), spec]);
        }
        Ok(())
    }

    /// Starts the process again on the same addresses.
    pub async fn restart(&mut self, programs: &Programs) -> Result<(), ScenarioError> {
        self.process = None;
        let mut process = Process::start(&self.name, &programs.backend, &self.args, &self.dir)?;
        process.wait_line("listening admin ", START_LIMIT).await?;
        self.process = Some(process);
        Ok(())
    }

    /// Returns the path of the execution log that the process writes.
    pub fn log_path(&self) -> PathBuf {
        self.dir.join(format!("{}.executions", self.name))
    }

    /// Sets the faults of one server or, without `server=`, of all servers.
    pub async fn set_faults(&self, line: &Line) -> Result<(), ScenarioError> {
        let mut faults = serde_json::Map::new();
        for (name, value) in &line.options {
            faults.insert(name.clone(), json_value(value));
        }
        self.operate("faults", &serde_json::Value::Object(faults).to_string()).await
    }

    /// Sends `PUT /admin/OPERATION` to the process.
    pub async fn operate(&self, operation: &str, body: &str) -> Result<(), ScenarioError> {
        let path = format!("/admin/{operation}");
        let answer = exchange(self.admin, "PUT", &path, body.as_bytes()).await;
        let answer = answer
            .map_err(ScenarioError::call(format!("operation {operation} on {}", self.name)))?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(ScenarioError::bad(String::from_utf8_lossy(&answer.body)))
    }

    /// Reads a counter: the sum over the servers, or the maximum for fields that end in `_ms` or
    /// `_most`.
    pub async fn counter(&self, field: &str) -> Result<f64, ScenarioError> {
        let answer = exchange(self.admin, "GET", "/admin/counters", b"").await;
        let answer = answer
            .map_err(ScenarioError::call(format!("reading the counters of {}", self.name)))?;
        let all: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let servers = all["servers"].as_array().into_iter().flatten();
        let values = servers.filter_map(|server| server[field].as_f64());
        if field.ends_with("_ms") || field.ends_with("_most") {
            return Ok(values.fold(0.0, f64::max));
        }
        Ok(values.sum())
    }

    /// Ends any freeze of a running process and waits until its requests have finished, so that its
    /// execution log is complete.
    pub async fn wait_idle(&self) -> Result<(), ScenarioError> {
        let Some(process) = &self.process else { return Ok(()) };
        process.signal(Signal::CONT)?;
        self.operate("faults", r#"{"freeze":false}"#).await?;
        let began = Instant::now();
        while self.counter("running").await? > 0.0 {
            if began.elapsed() > IDLE_LIMIT {
                return Err(ScenarioError::bad(format!(
                    "{} still runs requests after {IDLE_LIMIT:?}",
                    self.name
                )));
            }
            sleep(POLL).await;
        }
        Ok(())
    }
}
