//! The platform's store in a scenario.

use super::error::ScenarioError;
use super::line::Line;
use super::net::Net;
use super::process::Process;
use super::programs::Programs;
use crate::wire::exchange;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Limit for a stand-in to start.
pub const START_LIMIT: Duration = Duration::from_secs(20);

/// Running stand-in for the platform's store.
pub struct Store {
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Kills the process on drop.
    _process: Process,
}

impl Store {
    /// `store [list_lag_ms=…] [call_ms=…]`: starts the store.
    pub async fn start(
        line: &Line,
        programs: &Programs,
        net: &mut Net,
        dir: &Path,
    ) -> Result<Self, ScenarioError> {
        let addr = net.address()?;
        let mut args = vec!["--listen".to_owned(), addr.to_string()];
        for (name, value) in &line.options {
            args.push(format!("--{}", name.replace('_', "-")));
            args.push(value.clone());
        }
        let mut process = Process::start("store", &programs.store, &args, dir)?;
        process.wait_line("listening ", START_LIMIT).await?;
        Ok(Self { addr, _process: process })
    }

    /// `platform [down=true] [frozen=true] [slow_ms=…] [lose_replies=…] …`: replaces the store's
    /// faults.
    pub async fn set_faults(&self, line: &Line) -> Result<(), ScenarioError> {
        let mut faults = serde_json::Map::new();
        for (name, value) in &line.options {
            faults.insert(name.clone(), json_value(value));
        }
        let body = serde_json::Value::Object(faults).to_string();
        let answer = exchange(self.addr, "PUT", "/admin/faults", body.as_bytes()).await;
        let answer = answer.map_err(ScenarioError::call("setting the faults of the store"))?;
        if answer.status.is_success() {
            return Ok(());
        }
        Err(ScenarioError::bad(String::from_utf8_lossy(&answer.body)))
    }

    /// Reads a counter: a named one, the number of calls of one kind, or `total` for all calls.
    pub async fn counter(&self, field: &str) -> Result<f64, ScenarioError> {
        let answer = exchange(self.addr, "GET", "/admin/counters", b"").await;
        let answer = answer.map_err(ScenarioError::call("reading the counters of the store"))?;
        let all: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        if field == "total" {
            let calls = all["calls"].as_object();
            return Ok(calls.into_iter().flatten().filter_map(|(_, n)| n.as_f64()).sum());
        }
        Ok(all[field].as_f64().or_else(|| all["calls"][field].as_f64()).unwrap_or(0.0))
    }
}

/// Parses `text` as JSON, such as a number or boolean; any other text becomes a string.
pub fn json_value(text: &str) -> serde_json::Value {
    serde_json::from_str(text).unwrap_or_else(|_| serde_json::Value::String(text.to_owned()))
}
