//! Filings: requests that run at most once.

use super::answer::{OwnAnswer, send_whole};
use super::attempt::{Fault, Reply, outcome_of};
use super::call::Call;
use super::caller::Caller;
use super::dispatch::{Dispatch, Served};
use super::permit::Permit;
use super::plane::DataPlane;
use super::prepare::Prepared;
use super::relay::Told;
use super::request::RequestMeta;
use super::{filing_wait, forward, headers, refusal, relay};
use bytes::Bytes;
use galenapath_filings::{
    AfterAttempt, Answer, AttemptEnd, FilingDecision, FilingEnd, FilingKey, RecordId,
};
use galenapath_http::{HttpError, RequestHead};
use galenapath_policy::Outcome;
use galenapath_protocol::{Micros, REQUEST_ID_HEADER, VERDICT_HEADER, Verdict};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

/// When a caller whose filing may have run should ask again with the same key.
const ASK_AGAIN: Micros = Micros::from_secs(2);

/// Serves a filing.
pub(super) async fn serve(
    call: &Call,
    caller: &mut Caller,
    head: RequestHead,
    body: Bytes,
) -> Result<(), HttpError> {
    let key = match key_of(&call.meta) {
        Ok(key) => key,
        Err(answer) => return call.refuse(caller, &answer).await,
    };
    let req = Prepared::new(&call.plane, &call.meta, head, body);
    let admit = filing_wait::admit(&call.plane, &call.meta, &key, &req).await;
    count(&call.plane, &admit);
    match admit {
        // Once dispatched, a filing runs to its end even when the caller goes away: its outcome is
        // what a resend asks for.
        FilingDecision::Run(id) => {
            let ended = run(call, &req, id).await;
            finish(call, caller, ended).await
        }
        FilingDecision::Replay(answer) => replay(call, caller, &answer).await,
        FilingDecision::Forward(incarnation) => {
            forward::serve(call, caller, &req, incarnation).await
        }
        other => call.refuse(caller, &refusal_of(&other)).await,
    }
}

fn key_of(meta: &RequestMeta) -> Result<FilingKey, OwnAnswer> {
    let bad = |text: &str| OwnAnswer::not_run(StatusCode::BAD_REQUEST, "bad_key", text);
    let Some(text) = &meta.key else {
        return Err(bad(
            "a filing needs an Idempotency-Key header: the key_prefix of /v1/entries \
                        and a part of your own",
        ));
    };
    FilingKey::parse(&meta.workspace, text).map_err(|e| bad(&e.to_string()))
}

fn count(plane: &DataPlane, admit: &FilingDecision) {
    let decision = match admit {
        FilingDecision::Run(_) => "run",
        FilingDecision::InProgress(_) => "in_progress",
        FilingDecision::Replay(_) => "replayed",
        FilingDecision::AnsweredNotKept { .. } => "answer_not_kept",
        FilingDecision::MayHaveRun => "may_have_run",
        FilingDecision::Mismatch => "mismatch",
        FilingDecision::Full { .. } => "full",
        FilingDecision::Forward(_) => "forwarded",
        FilingDecision::Claim(_) => "claim",
        FilingDecision::Unclaimed { .. } => "unclaimed",
        FilingDecision::Expired => "expired",
    };
    plane.shared.metrics.filings.with_label_values(&[decision]).inc();
    let records = i64::try_from(plane.filings.borrow().len()).unwrap_or(i64::MAX);
    plane.shared.metrics.filing_records.set(records);
}

/// The answer to a filing that is not dispatched.
fn refusal_of(admit: &FilingDecision) -> OwnAnswer {
    let may_have = |reason, text| {
        OwnAnswer::may_have_run(StatusCode::CONFLICT, reason, text).retry_after(ASK_AGAIN)
    };
    match admit {
        FilingDecision::Mismatch => OwnAnswer::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key_mismatch",
            "the idempotency key was used for another request; use a new key",
        ),
        FilingDecision::Full { retry_after } => OwnAnswer::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "filings_full",
            "no new filings are taken now",
        )
        .retry_after(*retry_after),
        FilingDecision::AnsweredNotKept { status } => OwnAnswer {
            verdict: Verdict::Answered,
            ..OwnAnswer::not_run(
                StatusCode::CONFLICT,
                "answer_not_kept",
                &format!(
                    "the filing ran and was answered with status {status}; the answer itself \
                          was not kept"
                ),
            )
        },
        FilingDecision::Unclaimed { retry_after } => may_have(
            "unclaimed",
            "the key cannot be checked now; send the filing again with the same key",
        )
        .retry_after(*retry_after),
        FilingDecision::InProgress(_) => may_have(
            "in_progress",
            "the filing is still running; send it again with the same key for its answer",
        ),
        FilingDecision::Expired => may_have(
            "key_expired",
            "nothing is known of this key any more; the filing may have run",
        ),
        _ => may_have("may_have_run", "the filing may have run; look before you file anew"),
    }
}

/// How a filing that was admitted ended.
enum Ended {
    Answered { served: Box<Served>, permit: Permit },
    Unanswered(OwnAnswer),
}

async fn run(call: &Call, req: &Prepared, id: RecordId) -> Ended {
    let open = OpenRecord { plane: &call.plane, id, is_resolved: false };
    let dispatch = match Dispatch::new(call, req) {
        Ok(dispatch) => dispatch,
        Err(answer) => return Ended::Unanswered(open.not_run(answer)),
    };
    let permit = match Permit::acquire(call).await {
        Ok(permit) => permit,
        Err(rejection) => {
            return Ended::Unanswered(open.not_run(refusal::turn_away(&rejection)));
        }
    };
    match try_until_final(&dispatch, &permit, id).await {
        Tried::Answered(served) => {
            open.answered(&served.reply);
            Ended::Answered { served, permit }
        }
        Tried::NotRun(fault) => {
            let answer = match &fault {
                Some(fault) => refusal::failed(fault, Verdict::NotRun),
                None => refusal::no_backend(Verdict::NotRun),
            };
            permit.finish(fault.map_or(Outcome::Shed, |fault| fault.outcome()));
            Ended::Unanswered(open.not_run(answer))
        }
        Tried::MayHaveRun(fault) => {
            permit.finish(fault.outcome());
            dispatch.peers_told().await;
            let answer = refusal::failed(&fault, Verdict::MayHaveRun).retry_after(ASK_AGAIN);
            Ended::Unanswered(open.may_have_run(answer))
        }
    }
}

enum Tried {
    Answered(Box<Served>),
    NotRun(Option<Fault>),
    MayHaveRun(Fault),
}

/// Tries backend servers for as long as the attempts before certainly did not run the filing.
async fn try_until_final(dispatch: &Dispatch<'_>, permit: &Permit, id: RecordId) -> Tried {
    let plane = &dispatch.call.plane;
    loop {
        let Some(slot) = dispatch.choose() else { return Tried::NotRun(None) };
        let mut was_sent = false;
        let before_send = || {
            was_sent = plane.filings.borrow_mut().mark_sent(plane.now(), id).is_ok();
            was_sent
        };
        let result = dispatch.attempt(permit, slot, before_send).await;
        let fault = match result {
            Ok(served) => return Tried::Answered(Box::new(served)),
            Err(Fault::Withdrawn) => return Tried::MayHaveRun(Fault::Withdrawn),
            Err(fault) => fault,
        };
        let end = match &fault {
            Fault::Shed => AttemptEnd::Rejected,
            _ if !was_sent => AttemptEnd::NothingSent,
            _ => AttemptEnd::Lost,
        };
        match plane.filings.borrow_mut().record_attempt_end(plane.now(), id, end) {
            AfterAttempt::NotRun => {}
            AfterAttempt::MayHaveRun | AfterAttempt::Answered => {
                return Tried::MayHaveRun(fault);
            }
        }
        if !dispatch.may_go_on(Verdict::NotRun) {
            return Tried::NotRun(Some(fault));
        }
    }
}

/// A record that has to be resolved. Dropping it unresolved says that it did not run, which the
/// table takes back where bytes may have left.
struct OpenRecord<'a> {
    plane: &'a DataPlane,
    id: RecordId,
    is_resolved: bool,
}

impl OpenRecord<'_> {
    /// Resolves as not run and returns the answer with the verdict that may be told.
    fn not_run(mut self, answer: OwnAnswer) -> OwnAnswer {
        let verdict = self.resolve(FilingEnd::NotRun);
        OwnAnswer { verdict, ..answer }
    }

    fn may_have_run(mut self, answer: OwnAnswer) -> OwnAnswer {
        let verdict = self.resolve(FilingEnd::MayHaveRun);
        OwnAnswer { verdict, ..answer }
    }

    fn answered(mut self, reply: &Reply) {
        let mut headers = reply.headers.clone();
        headers::strip(&mut headers);
        let kept = headers
            .iter()
            .filter_map(|(name, value)| {
                Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
            })
            .collect();
        // An answer too large to be read first is too large to be kept: its length tells so.
        let body = if reply.rest.is_some() {
            Bytes::from(vec![0; super::attempt::BUFFERED_ANSWER])
        } else {
            reply.start.clone()
        };
        self.resolve(FilingEnd::Answered(Answer {
            status: reply.status.as_u16(),
            headers: kept,
            body,
        }));
    }

    fn resolve(&mut self, end: FilingEnd) -> Verdict {
        self.is_resolved = true;
        let verdict = self.plane.filings.borrow_mut().resolve(self.plane.now(), self.id, end);
        filing_wait::wake(self.plane, self.id);
        verdict
    }
}

impl Drop for OpenRecord<'_> {
    fn drop(&mut self) {
        if !self.is_resolved {
            self.resolve(FilingEnd::NotRun);
        }
    }
}

async fn finish(call: &Call, caller: &mut Caller, ended: Ended) -> Result<(), HttpError> {
    let (served, permit) = match ended {
        Ended::Unanswered(answer) => return call.refuse(caller, &answer).await,
        Ended::Answered { served, permit } => (*served, permit),
    };
    call.observe_latency();
    let status = served.reply.status;
    let outcome = outcome_of(status);
    let told = Told::answered(call, &served.backend);
    let sent = relay::send(caller, &told, served.reply).await;
    served.in_flight.finish(outcome);
    permit.finish(outcome);
    call.ended(status.as_u16(), Verdict::Answered, "answered");
    sent
}

/// Gives a resend the answer that the filing had.
async fn replay(call: &Call, caller: &mut Caller, answer: &Answer) -> Result<(), HttpError> {
    let mut head = HeaderMap::new();
    for (name, value) in &answer.headers {
        if let (Ok(name), Ok(value)) =
            (HeaderName::try_from(name.as_str()), HeaderValue::from_str(value))
        {
            head.append(name, value);
        }
    }
    headers::set(&mut head, VERDICT_HEADER, Verdict::Answered.as_str());
    headers::set(&mut head, REQUEST_ID_HEADER, &call.meta.id.to_string());
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    call.ended(answer.status, Verdict::Answered, "replayed");
    send_whole(caller, status, head, &answer.body).await
}
