//! The users' platform in a scenario: its store, its backend servers, and the answers that callers
//! of gateways received.

use super::error::ScenarioError;
use super::line::Line;
use super::run::duration;
use crate::link::{LinkFault, Relay};
use crate::users_platform::{KvStandIn, ServerFault, ServerStandIn};
use crate::wire::{Conn, Framing, request_head};
use galenapath_protocol::FastMap;
use http::{Method, StatusCode};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Host name of all routes.
const HOST: &str = "h.example";
/// Failure domain of a server without `domain=`.
const DEFAULT_DOMAIN: &str = "d1";
/// Time that a request takes at a server without `work=`.
const DEFAULT_WORK: Duration = Duration::from_millis(20);
/// Requests per second that a cold server can handle.
const COLD_RATE_PER_S: f64 = 6.0;
/// Warm-up time, in seconds, of a server that has not stated its own.
const WARM_UP_S: u64 = 3;
/// Caller timeout sent with each request, in milliseconds.
const CALLER_TIMEOUT_MS: &str = "3000";
/// Limit for an answer to arrive.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);
/// Largest body of an answer, in bytes.
const BODY_LIMIT: usize = 1 << 20;

/// A backend server that is registered in the store.
struct ListedServer {
    service: String,
    /// Failure domain.
    domain: String,
    server: ServerStandIn,
    /// Relay in front of it, with `link=yes`.
    link: Option<Relay>,
}

/// A request and the status of its answer.
struct AnsweredRequest {
    id: String,
    is_filing: bool,
    status: StatusCode,
}

/// The users' platform.
#[derive(Default)]
pub struct Users {
    store: KvStandIn,
    servers: BTreeMap<String, ListedServer>,
    answered: Vec<AnsweredRequest>,
}

impl Users {
    /// Listens on a new address of the store and returns it.
    pub fn store_addr(&self) -> Result<SocketAddr, ScenarioError> {
        self.store.listen().map_err(ScenarioError::io("the users' store"))
    }

    /// `server NAME service=S [work=T] [bytes=N] [domain=D] [link=yes]`: starts a server, with a
    /// relay in front of it or without one, and registers it in the store.
    pub fn start_server(&mut self, line: &Line) -> Result<(), ScenarioError> {
        let name = line.word(1);
        let work = line.option("work").map_or(Ok(DEFAULT_WORK), duration)?;
        let server = ServerStandIn::start(&format!("i-{name}"), work);
        let server = server.map_err(ScenarioError::io("a server"))?;
        if let Some(bytes) = line.option("bytes") {
            server.set_body(
                bytes.parse().map_err(|_| ScenarioError::bad("bytes must be a whole number"))?,
            );
        }
        let service = line.option("service").unwrap_or(name).to_owned();
        let domain = line.option("domain").unwrap_or(DEFAULT_DOMAIN).to_owned();
        let has_link = line.option("link").is_some();
        let link = has_link.then(|| Relay::start_on_thread(server.address())).transpose();
        let link = link.map_err(ScenarioError::io("a relay"))?;
        self.servers.insert(name.to_owned(), ListedServer { service, domain, server, link });
        self.set_entry_state(name, "ready")
    }

    /// `mark NAME ready|draining|gone`: sets the state in the server's entry, or deletes the entry.
    pub fn set_entry_state(&self, name: &str, state: &str) -> Result<(), ScenarioError> {
        let listed = self.listed(name)?;
        let (key, mut entry) = listed.server.entry(&listed.service, state);
        entry["zone"] = json!(listed.domain);
        if let Some(link) = &listed.link {
            entry["address"] = json!(link.addr.to_string());
        }
        match state {
            "gone" => self.store.delete(&key),
            _ => self.store.put(&key, &entry),
        }
        Ok(())
    }

    /// `paths GATEWAY all|SERVICE hang|cut|refuse|good`: sets the fault of a gateway's paths to the
    /// servers with a link, all of them or those of a service. `pid` is the gateway's process.
    pub fn set_paths(&self, line: &Line, pid: u32) -> Result<(), ScenarioError> {
        let fault = match line.word(3) {
            "hang" => LinkFault::Hold,
            "cut" => LinkFault::Cut,
            "refuse" => LinkFault::CutNew,
            "good" => LinkFault::None,
            other => return Err(ScenarioError::bad(format!("unknown fault of paths `{other}`"))),
        };
        let service = line.word(2);
        for listed in self.servers.values() {
            if let Some(link) = &listed.link
                && (service == "all" || listed.service == service)
            {
                link.set_fault_of(pid, fault);
            }
        }
        Ok(())
    }

    /// `cool NAME for=T`: makes a server cold without changing its entry.
    pub fn set_cold(&self, line: &Line) -> Result<(), ScenarioError> {
        let left =
            line.option("for").ok_or_else(|| ScenarioError::bad("option for= is missing"))?;
        self.listed(line.word(1))?.server.set_cold(duration(left)?, COLD_RATE_PER_S);
        Ok(())
    }

    /// `says NAME [limit=N] [leaving=yes] [pause=T]`: replaces the rate limit, leaving state and
    /// pause that the server states in its answers; options left out are no longer stated.
    pub fn set_stated_limits(&self, line: &Line) -> Result<(), ScenarioError> {
        let server = &self.listed(line.word(1))?.server;
        let limit = line.option("limit").map(str::parse).transpose();
        server.set_limit(limit.map_err(|_| ScenarioError::bad("limit must be a number"))?);
        server.set_leaving(line.option("leaving").is_some());
        server.set_pause(line.option("pause").map(duration).transpose()?);
        Ok(())
    }

    /// `evacuate DOMAIN`: evacuates a failure domain, so that its servers get no new requests.
    pub fn evacuate(&self, domain: &str) {
        self.store.put(&format!("op/evacuate/{domain}"), &json!({}));
    }

    /// `restore DOMAIN`: ends the evacuation of a failure domain.
    pub fn restore(&self, domain: &str) {
        self.store.delete(&format!("op/evacuate/{domain}"));
    }

    /// `backup made|restored|completed`: copies the store, lets it come back from the copy, or lets
    /// the operator and the servers write again what it has lost.
    pub fn back_up(&self, step: &str) -> Result<(), ScenarioError> {
        match step {
            "made" => self.store.back_up(),
            "restored" => self.store.restore_backup(),
            "completed" => self.store.write_again(),
            other => return Err(ScenarioError::bad(format!("unknown step `{other}`"))),
        }
        Ok(())
    }

    /// `trouble NAME shed|hang|errors|crashes|none`: sets the server's fault.
    pub fn set_fault(&self, name: &str, what: &str) -> Result<(), ScenarioError> {
        let fault = match what {
            "shed" => ServerFault::Shed,
            "hang" => ServerFault::Hang,
            "errors" => ServerFault::Errors,
            "crashes" => ServerFault::CrashesOnPoison,
            "none" => ServerFault::None,
            other => return Err(ScenarioError::bad(format!("unknown fault `{other}`"))),
        };
        self.listed(name)?.server.set_fault(fault);
        Ok(())
    }

    /// `routes VERSION NAME=KIND… [key_WORKSPACE=KEY]…`: stores a configuration with one service and
    /// one route per name, and with workspaces if any has a key.
    pub fn set_routes(&self, line: &Line) -> Result<(), ScenarioError> {
        let version: u64 = line
            .word(1)
            .parse()
            .map_err(|_| ScenarioError::bad("the version must be a whole number"))?;
        let mut resources = vec![json!({
            "resource_type": "limits", "metadata": {},
            "spec": { "max_header_bytes": 16384, "max_body_bytes": 100_000,
                      "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        })];
        for (name, kind) in &line.options {
            if let Some(workspace) = name.strip_prefix("key_") {
                resources.push(json!({
                    "resource_type": "tenants", "metadata": { "name": workspace },
                    "spec": { "api_keys": [kind], "priority": 1 },
                }));
                continue;
            }
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
                          "warmup_s": WARM_UP_S, "warmup_per_s": COLD_RATE_PER_S },
            }));
        }
        let config = json!({ "version": format!("{version:08x}"), "resources": resources });
        self.store.put("op/config", &config);
        Ok(())
    }

    /// `ask ID GATEWAY METHOD PATH [status=N] [key=K]`: sends a request to the gateway at `addr`, with
    /// an API key if there is one, and fails if the answer has another status.
    pub async fn send_request(
        &mut self,
        line: &Line,
        addr: SocketAddr,
    ) -> Result<(), ScenarioError> {
        let id = line.word(1).to_owned();
        let answer = exchange(addr, &id, line.word(3), line.word(4), line.option("key"));
        let status = monoio::time::timeout(ANSWER_LIMIT, answer).await;
        let status = status.map_err(|_| {
            ScenarioError::bad(format!("request {id} was not answered within {ANSWER_LIMIT:?}"))
        })??;
        let is_filing = line.word(3) == "POST";
        self.answered.push(AnsweredRequest { id, is_filing, status });
        let expected = line.option("status").unwrap_or("200");
        if status.as_str() == expected {
            return Ok(());
        }
        let (expected, got) = (format!("status {expected}"), status.to_string());
        Err(ScenarioError::Unexpected { expected, got })
    }

    /// `press GATEWAYS PATH for=T`: sends lookups to the gateways in turn, one at a time, for the
    /// time T; fails if none succeeds.
    pub async fn send_lookups(
        &mut self,
        line: &Line,
        to: &[SocketAddr],
    ) -> Result<(), ScenarioError> {
        let length = duration(
            line.option("for").ok_or_else(|| ScenarioError::bad("option for= is missing"))?,
        )?;
        let end = Instant::now() + length;
        let (mut sent, mut answered) = (0, 0);
        for addr in to.iter().cycle() {
            if Instant::now() >= end {
                break;
            }
            let id = format!("{}-{sent}", line.word(2));
            let answer = exchange(*addr, &id, "GET", line.word(2), None);
            let status = monoio::time::timeout(ANSWER_LIMIT, answer).await;
            let status = status.map_err(|_| {
                ScenarioError::bad(format!("request {id} was not answered within {ANSWER_LIMIT:?}"))
            })??;
            sent += 1;
            answered += usize::from(status == StatusCode::OK);
        }
        if answered > 0 {
            return Ok(());
        }
        let expected = "at least one successful answer".to_owned();
        Err(ScenarioError::Unexpected { expected, got: format!("none to {sent} requests") })
    }

    /// Returns a counter of a server:
    ///
    /// - `runs`: requests that it ran
    /// - `crashes`: crashes because it got too many requests while cold
    /// - `overruns`: requests beyond its stated rate limit
    /// - `paused_arrivals`: requests and load queries that arrived while it was paused
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

    /// Fails if a filing ran more than once, or ran although its answer says that it did not.
    pub fn check(&self) -> Result<(), ScenarioError> {
        let mut runs: FastMap<String, usize> = FastMap::default();
        for listed in self.servers.values() {
            for seen in listed.server.executed_requests() {
                *runs.entry(seen.id).or_default() += 1;
            }
        }
        for req in &self.answered {
            let ran = runs.get(&req.id).copied().unwrap_or(0);
            let is_rejected = matches!(req.status.as_u16(), 408 | 421 | 429 | 503);
            let max_runs = match (req.is_filing, is_rejected) {
                (true, true) => 0,
                (true, false) => 1,
                (false, _) => usize::MAX,
            };
            if ran > max_runs {
                let expected = format!("{} runs at most {max_runs} times", req.id);
                let got = format!("it ran {ran} times");
                return Err(ScenarioError::Unexpected { expected, got });
            }
        }
        Ok(())
    }

    fn listed(&self, name: &str) -> Result<&ListedServer, ScenarioError> {
        let listed = self.servers.get(name);
        listed.ok_or_else(|| ScenarioError::bad(format!("no server is named {name}")))
    }
}

async fn exchange(
    addr: SocketAddr,
    id: &str,
    method: &str,
    path: &str,
    key: Option<&str>,
) -> Result<StatusCode, ScenarioError> {
    let failed = || ScenarioError::call(format!("request {id}"));
    let mut conn = Conn::connect(addr).await.map_err(ScenarioError::io("a gateway"))?;
    let body = if method == "POST" { "a filing" } else { "" };
    let length = body.len().to_string();
    let authorization = key.map(|key| format!("Bearer {key}"));
    let mut headers = vec![
        ("Host", HOST),
        ("X-Attempt-Id", id),
        ("X-Request-Deadline-Ms", CALLER_TIMEOUT_MS),
        ("Content-Length", length.as_str()),
    ];
    headers.extend(authorization.as_deref().map(|text| ("Authorization", text)));
    let head = request_head(method, path, &headers);
    conn.write(format!("{head}{body}")).await.map_err(failed())?;
    let head = conn.read_answer().await.map_err(failed())?;
    let method = Method::from_bytes(method.as_bytes()).unwrap_or(Method::GET);
    let mut framing = Framing::of_answer(&method, head.status, &head.headers);
    conn.read_body(&mut framing, BODY_LIMIT).await.map_err(failed())?;
    Ok(head.status)
}
