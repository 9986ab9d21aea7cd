//! The address answer: which instances a caller should use for a service.

use super::answer::{OwnAnswer, send_whole};
use super::caller::Caller;
use super::headers::set;
use super::plane::DataPlane;
use crate::shared::MemberView;
use galenapath_config::Config;
use galenapath_http::HttpError;
use galenapath_membership::Member;
use galenapath_protocol::{DomainId, FastSet, Micros, VERDICT_HEADER, Verdict, hash64};
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use http::{StatusCode, Uri};
use serde::Serialize;

/// Path of the address answer. It is taken only where no class covers it.
pub(super) const PATH: &str = "/v1/entries";

/// How long callers keep an answer. Short enough that a new instance gets work within seconds,
/// long enough that asking costs next to nothing.
const VALID_FOR: Micros = Micros::from_secs(5);

/// Least number of addresses in an answer, where there are so many instances.
const LEAST_ENTRIES: usize = 4;

/// An address that a caller may use.
#[derive(Serialize)]
struct EntryBody<'a> {
    address: String,
    domain: &'a str,
    instance: &'a str,
}

/// The address answer.
#[derive(Serialize)]
struct EntriesBody<'a> {
    service: &'a str,
    /// Addresses in the order in which to try them.
    entries: Vec<EntryBody<'a>>,
    valid_for_ms: u64,
    /// What idempotency keys should begin with; keys with it cost no call on the platform.
    key_prefix: String,
}

/// The service that an address question names.
pub(super) fn service_asked_for(uri: &Uri) -> Option<String> {
    let query = uri.query()?;
    let value = query.split('&').find_map(|pair| pair.strip_prefix("service="))?;
    Some(value.to_owned())
}

/// Answers an address question.
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
    let view = plane.shared.members.load();
    let body = EntriesBody {
        service,
        entries: entries(plane, &view, service),
        valid_for_ms: VALID_FOR.0 / 1_000,
        key_prefix: plane.filings.borrow_mut().prefix(plane.now()),
    };
    let body = serde_json::to_vec(&body)
        .map_err(|e| HttpError::Io(std::io::Error::new(std::io::ErrorKind::InvalidData, e)))?;
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    set(&mut headers, VERDICT_HEADER, Verdict::Answered.as_str());
    send_whole(caller, StatusCode::OK, headers, &body).await
}

fn entries<'a>(plane: &DataPlane, view: &'a MemberView, service: &str) -> Vec<EntryBody<'a>> {
    let mut chosen = dispatching(view, service);
    // The asked instance comes first where it dispatches for the service, since the key prefix is
    // its own. The others are turned by its name, so that callers spread over them.
    let own = plane.shared.incarnation;
    if !chosen.is_empty() {
        let turn = hash64(own.0, service.as_bytes()) as usize % chosen.len();
        chosen.rotate_left(turn);
    }
    chosen.sort_by_key(|member| member.incarnation != own);
    chosen
        .into_iter()
        .map(|member| EntryBody {
            address: member.callers.to_string(),
            domain: &member.domain.0,
            instance: &member.id.0,
        })
        .collect()
}

/// The instances that dispatch for a service, by rendezvous hashing: the best of each failure
/// domain, then the best of the rest up to a least number.
fn dispatching<'a>(view: &'a MemberView, service: &str) -> Vec<&'a Member> {
    let mut ranked: Vec<&Member> = view.usable.iter().collect();
    ranked
        .sort_by_key(|member| std::cmp::Reverse(hash64(member.incarnation.0, service.as_bytes())));
    let mut domains: FastSet<&DomainId> = FastSet::default();
    let (mut chosen, rest): (Vec<&Member>, Vec<&Member>) =
        ranked.into_iter().partition(|member| domains.insert(&member.domain));
    let missing = LEAST_ENTRIES.saturating_sub(chosen.len());
    chosen.extend(rest.into_iter().take(missing));
    chosen
}
