//! The address answer: the instances that a caller should use for a service.

use super::answer::{OwnAnswer, send_whole};
use super::caller::Caller;
use super::headers::set;
use super::plane::DataPlane;
use super::service::Service;
use galenapath_config::Config;
use galenapath_http::HttpError;
use galenapath_protocol::{Micros, VERDICT_HEADER, Verdict, hash64};
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use http::{StatusCode, Uri};
use serde::Serialize;

/// Path of the address answer, unless a class covers that path.
pub(super) const PATH: &str = "/v1/entries";

/// Time for which callers may use an answer. Short enough that a new instance gets requests within
/// seconds, long enough that the load from address requests is negligible.
const VALID_FOR: Micros = Micros::from_secs(5);

/// An address that a caller may use.
#[derive(Serialize)]
struct EntryBody {
    address: String,
    domain: String,
    instance: String,
    /// Prefix for the idempotency keys of filings sent to this address. The instance runs filings
    /// with this prefix itself, without a call to the platform's store.
    key_prefix: String,
}

/// The address answer.
#[derive(Serialize)]
struct EntriesBody<'a> {
    service: &'a str,
    /// Addresses, in the order in which callers should try them.
    entries: Vec<EntryBody>,
    valid_for_ms: u64,
    /// The key prefix of the first address.
    key_prefix: String,
}

/// Returns the service that an address request names.
pub(super) fn requested_service(uri: &Uri) -> Option<String> {
    let query = uri.query()?;
    let value = query.split('&').find_map(|pair| pair.strip_prefix("service="))?;
    Some(value.to_owned())
}

/// Answers an address request.
pub(super) async fn answer(
    plane: &DataPlane,
    caller: &mut Caller,
    service: Option<&str>,
    config: &Config,
) -> Result<(), HttpError> {
    let Some(service) = service.filter(|s| config.classes().any(|class| class.service == *s))
    else {
        let text = "name a known service: /v1/entries?service=NAME";
        let answer = OwnAnswer::not_run(StatusCode::NOT_FOUND, "unknown_service", text);
        return answer.send(caller, None).await;
    };
    let entries = entries(plane, &plane.service(service, config));
    let body = EntriesBody {
        service,
        key_prefix: entries.first().map_or_else(String::new, |entry| entry.key_prefix.clone()),
        entries,
        valid_for_ms: VALID_FOR.0 / 1_000,
    };
    let body = serde_json::to_vec(&body)
        .map_err(|e| HttpError::Io(std::io::Error::new(std::io::ErrorKind::InvalidData, e)))?;
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    set(&mut headers, VERDICT_HEADER, Verdict::Answered.as_str());
    send_whole(caller, StatusCode::OK, headers, &body).await
}

fn entries(plane: &DataPlane, service: &Service) -> Vec<EntryBody> {
    let own = plane.shared.incarnation;
    let mut chosen = service.state.borrow().dispatchers.chosen().to_vec();
    // This instance comes first if it dispatches for the service, so that callers stay with it. The
    // list is rotated by a hash of its incarnation and the service, so that callers spread over the
    // other instances.
    if !chosen.is_empty() {
        let offset = hash64(own.0, service.name.as_bytes()) as usize % chosen.len();
        chosen.rotate_left(offset);
    }
    chosen.sort_by_key(|member| member.incarnation != own);
    let mut filings = plane.filings.borrow_mut();
    chosen
        .into_iter()
        .map(|member| EntryBody {
            key_prefix: filings.key_prefix_for(plane.now(), member.incarnation),
            address: member.caller_address.to_string(),
            domain: member.domain.0.to_string(),
            instance: member.id.0,
        })
        .collect()
}
