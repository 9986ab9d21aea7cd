//! Implementation of [`Platform`] over the published Consul HTTP API.

use crate::http_client::{Answer, Call, HttpClient};
use crate::{
    Announcement, Cause, Entry, Expected, Lease, ListedInstance, Listing, Platform, PlatformError,
    Read, StoreIndex, SwapOutcome,
};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use galenapath_protocol::{FastMap, Verdict};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::fmt::Write;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Response header with the position from which the next watch starts.
const INDEX_HEADER: &str = "x-consul-index";

/// Client of a platform that implements the Consul HTTP API: `kv`, `session`, `health/service` and
/// `agent/service`.
///
/// Can be used only on the thread that created it, on a runtime with a timer.
pub struct ConsulPlatform {
    http: HttpClient,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct KvWire {
    modify_index: u64,
    session: Option<String>,
    value: Option<String>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct NewSessionWire {
    #[serde(rename = "TTL")]
    ttl: String,
    behavior: &'static str,
    lock_delay: &'static str,
}

#[derive(Deserialize)]
struct SessionWire {
    #[serde(rename = "ID")]
    id: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct HealthWire {
    service: ServiceWire,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ServiceWire {
    #[serde(rename = "ID")]
    id: String,
    address: String,
    port: u16,
    #[serde(default)]
    meta: Option<FastMap<String, String>>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct RegisterWire<'a> {
    #[serde(rename = "ID")]
    id: &'a str,
    name: &'a str,
    address: String,
    port: u16,
    meta: &'a FastMap<String, String>,
}

impl ConsulPlatform {
    /// Creates a client of the service at `address` whose calls take at most `timeout`, plus the
    /// wait of a watch.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { http: HttpClient::new(address, timeout) }
    }

    async fn read_entry(&self, key: &str, call: Call) -> Result<Read, PlatformError> {
        let answer = self.http.exchange(&call).await?;
        let position = position(&answer);
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(Read { position, entry: None });
        }
        let wires: Vec<KvWire> = parse(&call, &answer)?;
        let wire = wires.into_iter().next();
        let wire = wire.ok_or_else(|| bad_answer(&call, &format!("no entry for {key}")))?;
        let entry = Entry::try_from(wire).map_err(|e| bad_answer(&call, &e.to_string()))?;
        Ok(Read { position: position.max(entry.index), entry: Some(entry) })
    }

    /// Makes a write whose response is `true` or `false`.
    async fn conditional_write(&self, call: Call) -> Result<bool, PlatformError> {
        let answer = self.http.exchange(&call).await?;
        match answer.body.trim_ascii() {
            b"true" => Ok(true),
            b"false" => Ok(false),
            _ => Err(bad_answer(&call, "body is neither `true` nor `false`")),
        }
    }
}

impl Platform for ConsulPlatform {
    async fn read(&self, key: &str) -> Result<Read, PlatformError> {
        self.read_entry(key, Call::get(kv_path(key))).await
    }

    async fn watch(
        &self,
        key: &str,
        after: StoreIndex,
        wait: Duration,
    ) -> Result<Read, PlatformError> {
        let path = format!("{}?{}", kv_path(key), watch_query(after, wait));
        self.read_entry(key, Call::get(path).with_wait(wait)).await
    }

    async fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Bytes,
    ) -> Result<SwapOutcome, PlatformError> {
        let cas = match expected {
            Expected::Absent => 0,
            Expected::At(StoreIndex(index)) => index,
        };
        let done =
            self.conditional_write(Call::put(format!("{}?cas={cas}", kv_path(key)), value)).await?;
        Ok(if done { SwapOutcome::Done } else { SwapOutcome::Conflict })
    }

    async fn lease(&self, ttl: Duration) -> Result<Lease, PlatformError> {
        let ttl = format!("{}s", ttl.as_secs().max(1));
        let wire = NewSessionWire { ttl, behavior: "delete", lock_delay: "0s" };
        let call = put_json("/v1/session/create".into(), &wire)?;
        let answer = self.http.exchange(&call).await?;
        let session: SessionWire = parse(&call, &answer)?;
        Ok(Lease(session.id))
    }

    async fn renew(&self, lease: &Lease) -> Result<bool, PlatformError> {
        let call = Call::put(format!("/v1/session/renew/{}", escape(&lease.0)), Bytes::new());
        let answer = self.http.exchange(&call).await?;
        Ok(answer.status != StatusCode::NOT_FOUND)
    }

    async fn claim(&self, key: &str, lease: &Lease, value: Bytes) -> Result<bool, PlatformError> {
        let path = format!("{}?acquire={}", kv_path(key), escape(&lease.0));
        self.conditional_write(Call::put(path, value)).await
    }

    async fn list(
        &self,
        service: &str,
        after: Option<StoreIndex>,
        wait: Duration,
    ) -> Result<Listing, PlatformError> {
        let path = format!("/v1/health/service/{}", escape(service));
        let call = match after {
            Some(after) => {
                Call::get(format!("{path}?{}", watch_query(after, wait))).with_wait(wait)
            }
            None => Call::get(path),
        };
        let answer = self.http.exchange(&call).await?;
        // Each entry is read for itself: another writer's entry must not hide the others.
        let entries: Vec<&RawValue> = parse(&call, &answer)?;
        let listed = entries.len();
        let instances: Vec<ListedInstance> = entries.into_iter().filter_map(instance).collect();
        let skipped = listed - instances.len();
        Ok(Listing { position: position(&answer), instances, skipped })
    }

    async fn announce(&self, announcement: &Announcement) -> Result<(), PlatformError> {
        let wire = RegisterWire {
            id: &announcement.id,
            name: &announcement.service,
            address: announcement.address.ip().to_string(),
            port: announcement.address.port(),
            meta: &announcement.meta,
        };
        let call = put_json("/v1/agent/service/register".into(), &wire)?;
        self.http.exchange(&call).await.map(drop)
    }

    async fn withdraw(&self, id: &str) -> Result<(), PlatformError> {
        let path = format!("/v1/agent/service/deregister/{}", escape(id));
        self.http.exchange(&Call::put(path, Bytes::new())).await.map(drop)
    }
}

impl TryFrom<KvWire> for Entry {
    type Error = base64::DecodeError;

    fn try_from(wire: KvWire) -> Result<Self, Self::Error> {
        let value = STANDARD.decode(wire.value.unwrap_or_default())?;
        Ok(Self {
            value: value.into(),
            index: StoreIndex(wire.modify_index),
            holder: wire.session.filter(|id| !id.is_empty()).map(Lease),
        })
    }
}

impl TryFrom<ServiceWire> for ListedInstance {
    type Error = std::net::AddrParseError;

    fn try_from(wire: ServiceWire) -> Result<Self, Self::Error> {
        let ip: IpAddr = wire.address.parse()?;
        let meta = wire.meta.unwrap_or_default();
        Ok(Self { id: wire.id, address: SocketAddr::new(ip, wire.port), meta })
    }
}

fn put_json<T: Serialize>(path: String, wire: &T) -> Result<Call, PlatformError> {
    match serde_json::to_vec(wire) {
        Ok(body) => Ok(Call::put(path, body.into())),
        Err(e) => {
            let call = Call::put(path, Bytes::new());
            Err(call.error(Cause::BadCall(e.to_string()), Verdict::NotRun))
        }
    }
}

/// The instance that an entry of the list names, if it names one.
fn instance(entry: &RawValue) -> Option<ListedInstance> {
    let wire: HealthWire = serde_json::from_str(entry.get()).ok()?;
    ListedInstance::try_from(wire.service).ok().filter(|instance| instance.address.port() != 0)
}

fn parse<'a, T: Deserialize<'a>>(call: &Call, answer: &'a Answer) -> Result<T, PlatformError> {
    serde_json::from_slice(&answer.body).map_err(|e| bad_answer(call, &e.to_string()))
}

fn bad_answer(call: &Call, why: &str) -> PlatformError {
    call.error(Cause::BadAnswer(why.to_owned()), Verdict::MayHaveRun)
}

fn position(answer: &Answer) -> StoreIndex {
    let value = answer.headers.get(INDEX_HEADER);
    StoreIndex(value.and_then(|v| v.to_str().ok()?.parse().ok()).unwrap_or(0))
}

fn watch_query(after: StoreIndex, wait: Duration) -> String {
    format!("index={}&wait={}ms", after.0, wait.as_millis())
}

fn kv_path(key: &str) -> String {
    let parts: Vec<String> = key.split('/').map(escape).collect();
    format!("/v1/kv/{}", parts.join("/"))
}

/// Percent-encodes everything but unreserved characters (RFC 3986, section 2.3).
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            let _ = write!(escaped, "%{byte:02X}");
        }
    }
    escaped
}
