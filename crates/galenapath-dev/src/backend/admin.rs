//! HTTP interface through which tests read counters and set faults.

use super::counters::{Counters, KeyCounts};
use super::faults::FaultsChange;
use super::server::Server;
use crate::wire::{Conn, Framing, WireError, answer_head};
use http::StatusCode;
use monoio::net::TcpListener;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;

/// Largest request body in bytes.
const BODY_LIMIT: usize = 64 * 1024;

/// State that the operations read and change.
pub struct Admin {
    /// All servers of the process.
    pub servers: Vec<Rc<Server>>,
    /// Executions per key.
    pub keys: Rc<RefCell<KeyCounts>>,
}

#[derive(Serialize)]
struct ServerCounters {
    server: String,
    service: String,
    leaving: bool,
    /// Requests running or queued.
    running: usize,
    #[serde(flatten)]
    counters: Counters,
}

#[derive(Serialize)]
struct AllCounters {
    servers: Vec<ServerCounters>,
    keys: usize,
    repeated_keys: Vec<String>,
}

#[derive(Deserialize)]
struct ServerName {
    server: Option<String>,
}

type Reply = (StatusCode, String);

/// Serves operations; never returns.
pub async fn serve(admin: Rc<Admin>, listener: TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let admin = Rc::clone(&admin);
            monoio::spawn(async move { admin.serve_connection(Conn::new(stream)).await });
        }
    }
}

impl Admin {
    async fn serve_connection(&self, mut conn: Conn) -> Result<(), WireError> {
        loop {
            let head = conn.read_request().await?;
            let body = conn.read_body(&mut Framing::of_request(&head.headers), BODY_LIMIT).await?;
            let op = format!("{} {}", head.method, head.uri.path());
            let (status, text) = self.operation(&op, head.uri.query().unwrap_or(""), &body);
            let len = text.len().to_string();
            let headers = [("content-type", "application/json"), ("content-length", &len)];
            conn.write(answer_head(status, &headers) + &text).await?;
        }
    }

    fn operation(&self, op: &str, query: &str, body: &[u8]) -> Reply {
        match op {
            "GET /healthz" => (StatusCode::OK, "{}".to_owned()),
            "GET /admin/counters" => (StatusCode::OK, self.counters()),
            "GET /admin/executions" => (StatusCode::OK, self.executions(query)),
            "PUT /admin/faults" => self.apply_to_servers(body, |change: &FaultsChange, server| {
                server.faults.borrow_mut().apply(change);
            }),
            "PUT /admin/drain" => {
                self.apply_to_servers(body, |_: &ServerName, server| server.begin_leaving())
            }
            "PUT /admin/crash" => {
                self.apply_to_servers(body, |_: &ServerName, server| server.crash_now())
            }
            _ => (StatusCode::NOT_FOUND, "{\"error\":\"no such operation\"}".to_owned()),
        }
    }

    fn counters(&self) -> String {
        let keys = self.keys.borrow();
        let servers = self.servers.iter().map(|server| ServerCounters {
            server: server.spec.name.clone(),
            service: server.spec.service.clone(),
            leaving: server.leaving.get().is_some(),
            running: server.slots.running() + server.slots.waiting(),
            counters: server.counters.borrow().clone(),
        });
        let all = AllCounters {
            servers: servers.collect(),
            keys: keys.len(),
            repeated_keys: keys.repeated(),
        };
        serde_json::to_string(&all).unwrap_or_default()
    }

    fn executions(&self, query: &str) -> String {
        let key = query.strip_prefix("key=").unwrap_or("");
        let count = self.keys.borrow().executions(key);
        serde_json::json!({ "executions": count }).to_string()
    }

    fn apply_to_servers<C>(&self, body: &[u8], apply: impl Fn(&C, &Server)) -> Reply
    where
        C: for<'de> Deserialize<'de> + HasTarget,
    {
        let change: C = match serde_json::from_slice(body) {
            Ok(change) => change,
            Err(e) => {
                let text = serde_json::json!({ "error": e.to_string() }).to_string();
                return (StatusCode::BAD_REQUEST, text);
            }
        };
        let mut changed = 0;
        for server in &self.servers {
            if change.server().is_none_or(|name| name == server.spec.name) {
                apply(&change, server);
                changed += 1;
            }
        }
        let status = if changed == 0 { StatusCode::NOT_FOUND } else { StatusCode::OK };
        (status, serde_json::json!({ "changed": changed }).to_string())
    }
}

/// A request body that may name the one server that it applies to.
trait HasTarget {
    fn server(&self) -> Option<&str>;
}

impl HasTarget for FaultsChange {
    fn server(&self) -> Option<&str> {
        self.server.as_deref()
    }
}

impl HasTarget for ServerName {
    fn server(&self) -> Option<&str> {
        self.server.as_deref()
    }
}
