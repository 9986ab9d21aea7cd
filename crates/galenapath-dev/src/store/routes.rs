//! Parses calls from method, path and query.

use super::counters::CallKind;
use http::{Method, Uri};
use std::time::Duration;

/// Maximum wait of a watch that states none.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);

/// A parsed call.
pub(super) enum Route {
    Read { key: String },
    Watch { key: String, after: u64, wait: Duration },
    Swap { key: String, expected: u64 },
    Claim { key: String, session: String },
    SessionCreate,
    SessionRenew { id: String },
    List { service: String },
    ListWatch { service: String, after: u64, wait: Duration },
    Register,
    Deregister { id: String },
    SetFaults,
    GetFaults,
    GetCounters,
}

impl Route {
    /// Parses a request; returns `None` if the stand-in does not support it.
    pub(super) fn parse(method: &Method, uri: &Uri) -> Option<Self> {
        let query = Query(uri.query().unwrap_or(""));
        let path = uri.path();
        let is_get = method == Method::GET;
        if !is_get && method != Method::PUT {
            return None;
        }
        if let Some(key) = path.strip_prefix("/v1/kv/") {
            let key = unescape(key)?;
            return if is_get { query.read(key) } else { query.write(key) };
        }
        if let Some(service) = path.strip_prefix("/v1/health/service/") {
            return is_get.then(|| query.list(unescape(service)?)).flatten();
        }
        if let Some(id) = path.strip_prefix("/v1/session/renew/") {
            return Some(Self::SessionRenew { id: unescape(id)? });
        }
        if let Some(id) = path.strip_prefix("/v1/agent/service/deregister/") {
            return Some(Self::Deregister { id: unescape(id)? });
        }
        match (path, is_get) {
            ("/v1/session/create", false) => Some(Self::SessionCreate),
            ("/v1/agent/service/register", false) => Some(Self::Register),
            ("/admin/faults", false) => Some(Self::SetFaults),
            ("/admin/faults", true) => Some(Self::GetFaults),
            ("/admin/counters", true) => Some(Self::GetCounters),
            _ => None,
        }
    }

    /// Returns the kind under which the call is counted; `None` for administration calls.
    pub(super) fn kind(&self) -> Option<CallKind> {
        Some(match self {
            Self::Read { .. } => CallKind::Read,
            Self::Watch { .. } => CallKind::Watch,
            Self::Swap { .. } => CallKind::Swap,
            Self::Claim { .. } => CallKind::Claim,
            Self::SessionCreate => CallKind::SessionCreate,
            Self::SessionRenew { .. } => CallKind::SessionRenew,
            Self::List { .. } => CallKind::List,
            Self::ListWatch { .. } => CallKind::ListWatch,
            Self::Register => CallKind::Register,
            Self::Deregister { .. } => CallKind::Deregister,
            Self::SetFaults | Self::GetFaults | Self::GetCounters => return None,
        })
    }
}

struct Query<'a>(&'a str);

impl Query<'_> {
    fn get(&self, name: &str) -> Option<&str> {
        self.0
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|p| p.1)
    }

    fn after(&self) -> Option<u64> {
        self.get("index").and_then(|index| index.parse().ok())
    }

    fn wait(&self) -> Duration {
        let wait = self.get("wait").and_then(|text| humantime::parse_duration(text).ok());
        wait.unwrap_or(DEFAULT_WAIT)
    }

    fn read(&self, key: String) -> Option<Route> {
        Some(match self.after() {
            Some(after) => Route::Watch { key, after, wait: self.wait() },
            None => Route::Read { key },
        })
    }

    fn list(&self, service: String) -> Option<Route> {
        Some(match self.after() {
            Some(after) => Route::ListWatch { service, after, wait: self.wait() },
            None => Route::List { service },
        })
    }

    fn write(&self, key: String) -> Option<Route> {
        if let Some(session) = self.get("acquire") {
            return Some(Route::Claim { key, session: unescape(session)? });
        }
        let expected = self.get("cas")?.parse().ok()?;
        Some(Route::Swap { key, expected })
    }
}

fn unescape(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits = [rest.next()?, rest.next()?];
        let digits = std::str::from_utf8(&digits).ok()?;
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
    }
    String::from_utf8(bytes).ok()
}
