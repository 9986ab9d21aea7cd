//! `POST /v1/changes`: configuration changes by operators, authorized by the token.

use super::answer::Answer;
use crate::control::plane::ControlPlane;
use crate::control::{accept, broadcast};
use galenapath_config::wire::{AcceptedWire, ChangeRequestWire, ErrorCodeWire, VerdictWire};
use galenapath_config::{
    ChangeRejection, ChangeRequest, DecodeError, Outcome, Version, last_change_wire,
};
use galenapath_protocol::Verdict;
use http::StatusCode;
use http::header::{AUTHORIZATION, HeaderMap};
use std::rc::Rc;
use subtle::ConstantTimeEq;

/// Seconds after which an operator should retry a change when the store could not be used. Store
/// calls time out after two seconds, so the end of an outage has been detected by then.
const STORE_RETRY_S: u64 = 5;

/// Handles a change request.
pub(super) async fn handle_change(
    plane: &Rc<ControlPlane>,
    headers: &HeaderMap,
    body: &[u8],
) -> Answer {
    if !is_authorized(&plane.wiring.token, headers) {
        plane.shared.metrics.count_fault("operator_unauthorized");
        let message = "the token is missing or wrong; pass --token-file".to_owned();
        return Answer::error(StatusCode::UNAUTHORIZED, ErrorCodeWire::Unauthorized, message);
    }
    let req = match parse_change(body) {
        Ok(req) => req,
        Err(e) => return answer_invalid(e.to_string()),
    };
    let (id, author) = (req.id.clone(), req.author.clone());
    let class = req.change.class_name().to_owned();
    let outcome = accept::accept(plane, req).await;
    log::info!(change:% = id, author, class, outcome = outcome_name(&outcome); "change decided");
    match outcome {
        Outcome::Accepted { version, .. } => answer_accepted(plane, version).await,
        Outcome::Rejected(rejection) => answer_rejected(&rejection),
        Outcome::Unavailable(verdict) => answer_unavailable(verdict),
        Outcome::StoreBehind => answer_store_behind(),
    }
}

/// Returns whether the headers contain the operators' token. The comparison takes constant time for
/// tokens of equal length; the length itself is not secret.
fn is_authorized(token: &str, headers: &HeaderMap) -> bool {
    let value = headers.get(AUTHORIZATION).map(|value| value.as_bytes());
    let given = value.and_then(|value| value.strip_prefix(b"Bearer ")).unwrap_or_default();
    bool::from(given.ct_eq(token.as_bytes()))
}

fn parse_change(body: &[u8]) -> Result<ChangeRequest, DecodeError> {
    serde_json::from_slice::<ChangeRequestWire>(body)?.try_into()
}

async fn answer_accepted(plane: &Rc<ControlPlane>, version: Version) -> Answer {
    let known_by = broadcast::broadcast_version(plane, version).await;
    Answer::json(StatusCode::OK, &AcceptedWire { version: version.0, known_by })
}

fn answer_invalid(message: String) -> Answer {
    Answer::error(StatusCode::BAD_REQUEST, ErrorCodeWire::Invalid, message)
}

fn answer_rejected(rejection: &ChangeRejection) -> Answer {
    let message = rejection.to_string();
    match rejection {
        ChangeRejection::Conflict { class, newer } => Answer::failure(
            StatusCode::CONFLICT,
            ErrorCodeWire::Conflict,
            format!("{message}; look at it with `galenactl class list` and decide again"),
            VerdictWire::NotRun,
            Some(last_change_wire(class, newer)),
        ),
        ChangeRejection::BaseTooOld { .. } => Answer::failure(
            StatusCode::CONFLICT,
            ErrorCodeWire::Conflict,
            format!("{message}; see `galenactl audit`"),
            VerdictWire::MayHaveRun,
            None,
        ),
        ChangeRejection::ClassExists { .. } | ChangeRejection::Overlap { .. } => {
            Answer::error(StatusCode::CONFLICT, ErrorCodeWire::Conflict, message)
        }
        ChangeRejection::NoSuchClass { .. } => {
            Answer::error(StatusCode::NOT_FOUND, ErrorCodeWire::NotFound, message)
        }
        ChangeRejection::AlreadyAccepted { .. }
        | ChangeRejection::IdReused { .. }
        | ChangeRejection::TooLarge
        | ChangeRejection::Invalid(_) => answer_invalid(message),
    }
}

fn answer_unavailable(verdict: Verdict) -> Answer {
    let (verdict, message) = match verdict {
        Verdict::NotRun => (VerdictWire::NotRun, "the store cannot be used; nothing was changed"),
        Verdict::MayHaveRun | Verdict::Answered => {
            (VerdictWire::MayHaveRun, "the store cannot be used; the change may have been accepted")
        }
    };
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let code = ErrorCodeWire::Unavailable;
    let answer = Answer::failure(status, code, message.to_owned(), verdict, None);
    answer.with_retry_after(STORE_RETRY_S)
}

fn answer_store_behind() -> Answer {
    let message = "the store holds an older configuration than the one in force, or another one; \
                   nothing was changed. Restore the store's newest state";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Answer::error(status, ErrorCodeWire::StoreBehind, message.to_owned())
        .with_retry_after(STORE_RETRY_S)
}

fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Accepted { .. } => "accepted",
        Outcome::Rejected(_) => "refused",
        Outcome::Unavailable(verdict) => verdict.as_str(),
        Outcome::StoreBehind => "store-behind",
    }
}
