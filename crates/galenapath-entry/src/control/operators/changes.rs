//! `POST /v1/changes`: operators' changes, for those who know the token.

use super::answer::Answer;
use crate::control::plane::ControlPlane;
use crate::control::{accept, spread};
use galenapath_config::wire::{AcceptedWire, ChangeRequestWire, ErrorCodeWire, VerdictWire};
use galenapath_config::{
    ChangeRejection, ChangeRequest, DecodeError, Outcome, Version, last_change_wire,
};
use galenapath_protocol::Verdict;
use http::StatusCode;
use http::header::{AUTHORIZATION, HeaderMap};
use std::rc::Rc;
use subtle::ConstantTimeEq;

/// Seconds after which an operator should try a store again that could not be used. Its calls
/// time out after two seconds, so an outage that ends is seen by then.
const STORE_RETRY_S: u64 = 5;

/// Decides on a change.
pub(super) async fn change(plane: &Rc<ControlPlane>, headers: &HeaderMap, body: &[u8]) -> Answer {
    if !is_authorized(&plane.wiring.token, headers) {
        plane.shared.metrics.fault("operator_unauthorized");
        let message = "the token is missing or wrong; pass --token-file".to_owned();
        return Answer::error(StatusCode::UNAUTHORIZED, ErrorCodeWire::Unauthorized, message);
    }
    let req = match parse(body) {
        Ok(req) => req,
        Err(e) => return invalid(e.to_string()),
    };
    let (id, author) = (req.id.clone(), req.author.clone());
    let class = req.change.class_name().to_owned();
    let outcome = accept::accept(plane, req).await;
    log::info!(change:% = id, author, class, outcome = name(&outcome); "change decided");
    match outcome {
        Outcome::Accepted { version, .. } => accepted(plane, version).await,
        Outcome::Rejected(refusal) => refused(&refusal),
        Outcome::Unavailable(verdict) => unavailable(verdict),
        Outcome::StoreBehind => store_behind(),
    }
}

/// Compares in constant time for tokens of one length; the length is no secret.
fn is_authorized(token: &str, headers: &HeaderMap) -> bool {
    let value = headers.get(AUTHORIZATION).map(|value| value.as_bytes());
    let given = value.and_then(|value| value.strip_prefix(b"Bearer ")).unwrap_or_default();
    bool::from(given.ct_eq(token.as_bytes()))
}

fn parse(body: &[u8]) -> Result<ChangeRequest, DecodeError> {
    serde_json::from_slice::<ChangeRequestWire>(body)?.try_into()
}

async fn accepted(plane: &Rc<ControlPlane>, version: Version) -> Answer {
    let known_by = spread::spread(plane, version).await;
    Answer::json(StatusCode::OK, &AcceptedWire { version: version.0, known_by })
}

fn invalid(message: String) -> Answer {
    Answer::error(StatusCode::BAD_REQUEST, ErrorCodeWire::Invalid, message)
}

fn refused(refusal: &ChangeRejection) -> Answer {
    let message = refusal.to_string();
    match refusal {
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
        | ChangeRejection::Invalid(_) => invalid(message),
    }
}

fn unavailable(verdict: Verdict) -> Answer {
    let (verdict, message) = match verdict {
        Verdict::NotRun => (VerdictWire::NotRun, "the store cannot be used; nothing was changed"),
        Verdict::MayHaveRun | Verdict::Answered => {
            (VerdictWire::MayHaveRun, "the store cannot be used; the change may have been accepted")
        }
    };
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let code = ErrorCodeWire::Unavailable;
    let answer = Answer::failure(status, code, message.to_owned(), verdict, None);
    answer.come_back_after(STORE_RETRY_S)
}

fn store_behind() -> Answer {
    let message = "the store holds an older configuration than the one in force, or another one; \
                   nothing was changed. Restore the store's newest state";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Answer::error(status, ErrorCodeWire::StoreBehind, message.to_owned())
        .come_back_after(STORE_RETRY_S)
}

fn name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Accepted { .. } => "accepted",
        Outcome::Rejected(_) => "refused",
        Outcome::Unavailable(verdict) => verdict.as_str(),
        Outcome::StoreBehind => "store-behind",
    }
}
