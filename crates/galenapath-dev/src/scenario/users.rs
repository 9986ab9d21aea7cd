//! The users' platform in a scenario: its store, its backend servers, and what callers of gateways were
//! told.

use super::error::ScenarioError;
use super::line::Line;
use super::run::duration;
use crate::users_platform::{KvStandIn, ServerFault, ServerStandIn};
use crate::wire::{Conn, Framing, request_head};
use galenapath_protocol::FastMap;
use http::{Method, StatusCode};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Host of all routes.
const HOST: &str = "h.example";
/// Failure domain of servers where the line names none.
const DOMAIN: &str = "d1";
/// Time that a server's work takes where the line says nothing.
const WORK: Duration = Duration::from_millis(20);
/// Requests a second that a cold server can take.
const COLD_PER_SECOND: f64 = 6.0;
/// Seconds for which a server is taken to be cold that has not said.
const WARM_UP_S: u64 = 3;
/// Time that callers say they wait, in milliseconds.
const CALLER_WAITS_MS: &str = "3000";
/// Longest wait for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);
/// Largest body of an answer, in bytes.
const BODY_LIMIT: usize = 1 << 20;

/// A backend server and its service.
struct Listed {
    service: String,
    /// Failure domain.
    domain: String,
    server: ServerStandIn,
}

/// What a caller was told.
struct Told {
    id: String,
    is_filing: bool,
    status: StatusCode,
}

/// The users' platform.
#[derive(Default)]
pub struct Users {
    store: KvStandIn,
    servers: BTreeMap<String, Listed>,
    told: Vec<Told>,
}

impl Users {
    /// A new address of the store.
    pub fn store_addr(&self) -> Result<SocketAddr, ScenarioError> {
        self.store.listen().map_err(ScenarioError::io("the users' store"))
    }

    /// `server NAME service=S [work=T] [bytes=N] [domain=D]`: starts a server that lists itself.
    pub fn start_server(&mut self, line: &Line) -> Result<(), ScenarioError> {
        let name = line.word(1);
        let work = line.option("work").map_or(Ok(WORK), duration)?;
        let server = ServerStandIn::start(&format!("i-{name}"), work);
        let server = server.map_err(ScenarioError::io("a server"))?;
        if let Some(bytes) = line.option("bytes") {
            server.set_body(bytes.parse().map_err(|_| ScenarioError::bad("no number"))?);
        }
        let service = line.option("service").unwrap_or(name).to_owned();
        let domain = line.option("domain").unwrap_or(DOMAIN).to_owned();
        self.servers.insert(name.to_owned(), Listed { service, domain, server });
        self.mark(name, "ready")
    }

    /// `mark NAME ready|draining|gone`: what the server's entry says, or that it has none.
    pub fn mark(&self, name: &str, state: &str) -> Result<(), ScenarioError> {
        let listed = self.listed(name)?;
        let (key, mut entry) = listed.server.entry(&listed.service, state);
        entry["zone"] = json!(listed.domain);
        match state {
            "gone" => self.store.delete(&key),
            _ => self.store.put(&key, &entry),
        }
        Ok(())
    }

    /// `cool NAME for=T`: turns a server cold, without a word in its entry.
    pub fn cool(&self, line: &Line) -> Result<(), ScenarioError> {
        let left = line.option("for").ok_or_else(|| ScenarioError::bad("no for="))?;
        self.listed(line.word(1))?.server.set_cold(duration(left)?, COLD_PER_SECOND);
        Ok(())
    }

    /// `says NAME [limit=N] [leaving=yes] [pause=T]`: what the server asks for in its answers from now on, and no
    /// more than that.
    pub fn say(&self, line: &Line) -> Result<(), ScenarioError> {
        let server = &self.listed(line.word(1))?.server;
        let limit = line.option("limit").map(str::parse).transpose();
        server.set_limit(limit.map_err(|_| ScenarioError::bad("no number"))?);
        server.set_leaving(line.option("leaving").is_some());
        server.set_pause(line.option("pause").map(duration).transpose()?);
        Ok(())
    }

    /// `evacuate DOMAIN`: nothing more is to be sent to the servers of a failure domain.
    pub fn evacuate(&self, domain: &str) {
        self.store.put(&format!("op/evacuate/{domain}"), &json!({}));
    }

    /// `restore DOMAIN`: the servers of a failure domain may get requests again.
    pub fn restore(&self, domain: &str) {
        self.store.delete(&format!("op/evacuate/{domain}"));
    }

    /// `trouble NAME shed|hang|errors|none`: what the server does wrong.
    pub fn trouble(&self, name: &str, what: &str) -> Result<(), ScenarioError> {
        let trouble = match what {
            "shed" => ServerFault::Shed,
            "hang" => ServerFault::Hang,
            "errors" => ServerFault::Errors,
            "none" => ServerFault::None,
            other => return Err(ScenarioError::bad(format!("no trouble `{other}`"))),
        };
        self.listed(name)?.server.set_fault(trouble);
        Ok(())
    }

    /// `routes VERSION NAME=KIND…`: a configuration with a route for each service of that name.
    pub fn configure(&self, line: &Line) -> Result<(), ScenarioError> {
        let version: u64 = line.word(1).parse().map_err(|_| ScenarioError::bad("no version"))?;
        let mut resources = vec![json!({
            "resource_type": "limits", "metadata": {},
            "spec": { "max_header_bytes": 16384, "max_body_bytes": 100_000,
                      "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        })];
        for (name, kind) in &line.options {
            let kind = match kind.as_str() {
                "lookup" => "idempotent",
                "filing" => "non_idempotent",
                other => other,
            };
            resources.push(json!({
                "resource_type": "routes", "metadata": { "name": name },
                "spec": { "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
                          "timeout_ms": 2000, "target_latency_ms": 400, "priority": 1,
                          "service": name, "max_attempts": 2 },
            }));
            resources.push(json!({
                "resource_type": "services", "metadata": { "name": name },
                "spec": { "health_path": "/health", "max_conns": 240, "protocol": "h1", "tls": false,
                          "warmup_s": WARM_UP_S, "warmup_per_s": COLD_PER_SECOND },
            }));
        }
        let config = json!({ "version": format!("{version:08x}"), "resources": resources });
        self.store.put("op/config", &config);
        Ok(())
    }

    /// `ask ID GATEWAY METHOD PATH [status=N]`: sends a request to a gateway at `addr` and waits for its
    /// answer.
    pub async fn ask(&mut self, line: &Line, addr: SocketAddr) -> Result<(), ScenarioError> {
        let id = line.word(1).to_owned();
        let asking = exchange(addr, &id, line.word(3), line.word(4));
        let status = monoio::time::timeout(ANSWER_LIMIT, asking).await;
        let status = status.map_err(|_| ScenarioError::bad(format!("{id} is not answered")))??;
        let is_filing = line.word(3) == "POST";
        self.told.push(Told { id, is_filing, status });
        let expected = line.option("status").unwrap_or("200");
        if status.as_str() == expected {
            return Ok(());
        }
        let (expected, got) = (format!("status {expected}"), status.to_string());
        Err(ScenarioError::Unexpected { expected, got })
    }

    /// `press GATEWAYS PATH for=T`: sends lookups to the gateways in turn, one after the other, for a while; some
    /// have to be answered.
    pub async fn press(&mut self, line: &Line, to: &[SocketAddr]) -> Result<(), ScenarioError> {
        let span = duration(line.option("for").ok_or_else(|| ScenarioError::bad("no for="))?)?;
        let end = Instant::now() + span;
        let (mut sent, mut answered) = (0, 0);
        for addr in to.iter().cycle() {
            if Instant::now() >= end {
                break;
            }
            let id = format!("{}-{sent}", line.word(2));
            let asking = exchange(*addr, &id, "GET", line.word(2));
            let status = monoio::time::timeout(ANSWER_LIMIT, asking).await;
            let status =
                status.map_err(|_| ScenarioError::bad(format!("{id} is not answered")))??;
            sent += 1;
            answered += usize::from(status == StatusCode::OK);
        }
        if answered > 0 {
            return Ok(());
        }
        let expected = "some answers".to_owned();
        Err(ScenarioError::Unexpected { expected, got: format!("none to {sent} requests") })
    }

    /// `runs`: requests that a server ran; `crashes`: how often it crashed because it was cold and got too many;
    /// `overruns`: requests beyond the limit that it named; `paused_arrivals`: requests and questions while it
    /// wanted nothing.
    pub fn counter(&self, name: &str, field: &str) -> Option<f64> {
        let server = &self.servers.get(name)?.server;
        match field {
            "runs" => Some(server.executed_requests().len() as f64),
            "crashes" => Some(server.crashes() as f64),
            "overruns" => Some(server.overruns() as f64),
            "paused_arrivals" => Some(server.arrivals_in_pause() as f64),
            _ => None,
        }
    }

    /// Fails where a filing ran twice, or a caller was told "not run" of something that ran.
    pub fn check(&self) -> Result<(), ScenarioError> {
        let mut runs: FastMap<String, usize> = FastMap::default();
        for listed in self.servers.values() {
            for seen in listed.server.executed_requests() {
                *runs.entry(seen.id).or_default() += 1;
            }
        }
        for told in &self.told {
            let ran = runs.get(&told.id).copied().unwrap_or(0);
            let is_denied = matches!(told.status.as_u16(), 408 | 421 | 429 | 503);
            let most = match (told.is_filing, is_denied) {
                (true, true) => 0,
                (true, false) => 1,
                (false, _) => usize::MAX,
            };
            if ran > most {
                let expected = format!("{} runs {most} times at most", told.id);
                let got = format!("it ran {ran} times");
                return Err(ScenarioError::Unexpected { expected, got });
            }
        }
        Ok(())
    }

    fn listed(&self, name: &str) -> Result<&Listed, ScenarioError> {
        let listed = self.servers.get(name);
        listed.ok_or_else(|| ScenarioError::bad(format!("no server {name}")))
    }
}

async fn exchange(
    addr: SocketAddr,
    id: &str,
    method: &str,
    path: &str,
) -> Result<StatusCode, ScenarioError> {
    let failed = || ScenarioError::call(format!("request {id}"));
    let mut conn = Conn::connect(addr).await.map_err(ScenarioError::io("a gateway"))?;
    let body = if method == "POST" { "a filing" } else { "" };
    let length = body.len().to_string();
    let headers = [
        ("Host", HOST),
        ("X-Attempt-Id", id),
        ("X-Request-Deadline-Ms", CALLER_WAITS_MS),
        ("Content-Length", length.as_str()),
    ];
    let head = request_head(method, path, &headers);
    conn.write(format!("{head}{body}")).await.map_err(failed())?;
    let head = conn.read_answer().await.map_err(failed())?;
    let method = Method::from_bytes(method.as_bytes()).unwrap_or(Method::GET);
    let mut framing = Framing::of_answer(&method, head.status, &head.headers);
    conn.read_body(&mut framing, BODY_LIMIT).await.map_err(failed())?;
    Ok(head.status)
}
