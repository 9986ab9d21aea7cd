//! Serving filings: requests that run at most once.

use super::answer::{OwnAnswer, send_whole};
use super::attempt::{AttemptError, Reply, outcome_of};
use super::call::Call;
use super::caller::Caller;
use super::dispatch::{Dispatch, Served};
use super::open::Phase;
use super::permit::Permit;
use super::plane::DataPlane;
use super::prepare::Prepared;
use super::relay::AnswerMeta;
use super::request::RequestMeta;
use super::{error_answers, filing_wait, forward, headers, relay};
use bytes::Bytes;
use galenapath_filings::{
    AfterAttempt, Answer, AttemptEnd, FilingDecision, FilingEnd, FilingKey, RecordId,
};
use galenapath_http::{HttpError, RequestHead};
use galenapath_policy::Outcome;
use galenapath_protocol::{Micros, REQUEST_ID_HEADER, VERDICT_HEADER, Verdict};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

/// Time after which a caller whose filing may have run should resend it with the same key.
const RESEND_AFTER: Micros = Micros::from_secs(2);

/// Serves a filing.
pub(super) async fn serve(
    call: &Call,
    caller: &mut Caller,
    head: RequestHead,
    body: Bytes,
) -> Result<(), HttpError> {
    let key = match parse_key(&call.meta) {
        Ok(key) => key,
        Err(answer) => return call.end_with(caller, &answer).await,
    };
    let req = Prepared::new(&call.plane, &call.meta, head, body);
    // Until it is known, the key may have run, here or elsewhere.
    call.open.add_send();
    let decision = filing_wait::admit(&call.plane, &call.meta, &key, &req).await;
    count_decision(&call.plane, &decision);
    match decision {
        // Once dispatched, a filing runs to its end even if the caller disconnects, because a
        // resend with the same key is answered with its outcome.
        FilingDecision::Run(id) => {
            call.open.remove_send();
            let result = run(call, &req, id).await;
            finish(call, caller, result).await
        }
        FilingDecision::Replay(answer) => replay(call, caller, &answer).await,
        FilingDecision::Forward(incarnation) => {
            forward::serve(call, caller, &req, incarnation).await
        }
        FilingDecision::Full { .. } if call.plane.shared.is_draining() => {
            call.end_with(caller, &error_answers::filing_while_stopping()).await
        }
        other => call.end_with(caller, &answer_to(&other)).await,
    }
}

fn parse_key(meta: &RequestMeta) -> Result<FilingKey, OwnAnswer> {
    let bad = |text: &str| OwnAnswer::not_run(StatusCode::BAD_REQUEST, "bad_key", text);
    let Some(text) = &meta.key else {
        return Err(bad(
            "a filing needs an Idempotency-Key header: the key_prefix of /v1/entries \
                        and a part of your own",
        ));
    };
    FilingKey::parse(&meta.workspace, text).map_err(|e| bad(&e.to_string()))
}

fn count_decision(plane: &DataPlane, decision: &FilingDecision) {
    let label = match decision {
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
    plane.shared.metrics.filings.with_label_values(&[label]).inc();
    let records = i64::try_from(plane.filings.borrow().len()).unwrap_or(i64::MAX);
    plane.shared.metrics.filing_records.set(records);
}

/// Returns the answer to a filing that is not dispatched.
fn answer_to(decision: &FilingDecision) -> OwnAnswer {
    let may_have = |reason, text| {
        OwnAnswer::may_have_run(StatusCode::CONFLICT, reason, text).with_retry_after(RESEND_AFTER)
    };
    match decision {
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
        .with_retry_after(*retry_after),
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
        .with_retry_after(*retry_after),
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

/// The outcome of an admitted filing.
enum RunOutcome {
    Answered { served: Box<Served>, permit: Permit },
    Unanswered(OwnAnswer),
}

async fn run(call: &Call, req: &Prepared, id: RecordId) -> RunOutcome {
    let open = OpenRecord { plane: &call.plane, id, is_resolved: false };
    if !call.ends_in_time() {
        return RunOutcome::Unanswered(open.not_run(error_answers::filing_while_stopping()));
    }
    let dispatch = match Dispatch::new(call, req) {
        Ok(dispatch) => dispatch,
        Err(answer) => return RunOutcome::Unanswered(open.not_run(answer)),
    };
    let permit = match Permit::acquire(call).await {
        Ok(permit) => permit,
        Err(rejection) => {
            return RunOutcome::Unanswered(
                open.not_run(error_answers::admission_rejected(&rejection)),
            );
        }
    };
    match try_until_final(&dispatch, &permit, id).await {
        TryOutcome::Answered(served) => {
            open.answered(&served.reply);
            RunOutcome::Answered { served, permit }
        }
        TryOutcome::NotRun(error) => {
            let answer = match &error {
                Some(error) => error_answers::failed(error, Verdict::NotRun),
                None => error_answers::no_backend(Verdict::NotRun),
            };
            permit.finish(error.map_or(Outcome::Shed, |error| error.outcome()));
            RunOutcome::Unanswered(open.not_run(answer))
        }
        TryOutcome::MayHaveRun(error) => {
            permit.finish(error.outcome());
            dispatch.wait_for_peers().await;
            let answer =
                error_answers::failed(&error, Verdict::MayHaveRun).with_retry_after(RESEND_AFTER);
            RunOutcome::Unanswered(open.may_have_run(answer))
        }
    }
}

/// The outcome of all attempts at a filing.
enum TryOutcome {
    Answered(Box<Served>),
    NotRun(Option<AttemptError>),
    MayHaveRun(AttemptError),
}

/// Tries backend servers until one answers, an attempt may have run the filing, or no retry is
/// allowed.
async fn try_until_final(dispatch: &Dispatch<'_>, permit: &Permit, id: RecordId) -> TryOutcome {
    let plane = &dispatch.call.plane;
    loop {
        let Some(handle) = dispatch.choose() else { return TryOutcome::NotRun(None) };
        let mut was_sent = false;
        let before_send = || {
            let marked = plane.filings.borrow_mut().mark_sent(plane.now(), id);
            was_sent = marked.is_ok();
            marked.map_err(|_| AttemptError::Withdrawn)
        };
        let result = dispatch.attempt(permit, handle, before_send).await;
        let error = match result {
            Ok(served) => return TryOutcome::Answered(Box::new(served)),
            Err(AttemptError::Withdrawn) => return TryOutcome::MayHaveRun(AttemptError::Withdrawn),
            Err(error) => error,
        };
        let end = match &error {
            AttemptError::Shed => AttemptEnd::Rejected,
            _ if !was_sent => AttemptEnd::NothingSent,
            _ => AttemptEnd::Lost,
        };
        match plane.filings.borrow_mut().record_attempt_end(plane.now(), id, end) {
            AfterAttempt::NotRun => {}
            AfterAttempt::MayHaveRun | AfterAttempt::Answered => {
                return TryOutcome::MayHaveRun(error);
            }
        }
        if !dispatch.try_retry(Verdict::NotRun) {
            return TryOutcome::NotRun(Some(error));
        }
    }
}

/// Guard of a filing's record, which must be resolved. Dropping it unresolved resolves it as not
/// run; the table turns that into "may have run" if bytes may have been sent.
struct OpenRecord<'a> {
    plane: &'a DataPlane,
    id: RecordId,
    is_resolved: bool,
}

impl OpenRecord<'_> {
    /// Resolves the record as not run. Returns the answer with the verdict that the table decided.
    fn not_run(mut self, answer: OwnAnswer) -> OwnAnswer {
        let verdict = self.resolve(FilingEnd::NotRun);
        OwnAnswer { verdict, ..answer }
    }

    /// Resolves the record as one that may have run. Returns the answer with the verdict that the
    /// table decided.
    fn may_have_run(mut self, answer: OwnAnswer) -> OwnAnswer {
        let verdict = self.resolve(FilingEnd::MayHaveRun);
        OwnAnswer { verdict, ..answer }
    }

    /// Resolves the record with an answer, which the table may keep for resends.
    fn answered(mut self, reply: &Reply) {
        let mut headers = reply.headers.clone();
        headers::strip(&mut headers);
        let kept = headers
            .iter()
            .filter_map(|(name, value)| {
                Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
            })
            .collect();
        // An answer that is too large to be buffered is too large to be kept. The table recognizes
        // that by the length of this placeholder.
        let body = if reply.rest.is_some() {
            Bytes::from(vec![0; super::attempt::BUFFERED_ANSWER_BYTES])
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

/// Sends the answer to an admitted filing.
async fn finish(call: &Call, caller: &mut Caller, result: RunOutcome) -> Result<(), HttpError> {
    let (served, permit) = match result {
        RunOutcome::Unanswered(answer) => return call.end_with(caller, &answer).await,
        RunOutcome::Answered { served, permit } => (*served, permit),
    };
    call.observe_latency();
    call.open.set_phase(Phase::Answering);
    let status = served.reply.status;
    let outcome = outcome_of(status);
    let answer_meta = AnswerMeta::answered(call, &served.backend);
    let sent = relay::send(caller, &answer_meta, served.reply).await;
    served.in_flight.finish(outcome);
    permit.finish(outcome);
    call.record_end(status.as_u16(), Verdict::Answered, "answered");
    sent
}

/// Answers a resend with the kept answer to the filing.
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
    call.open.set_phase(Phase::Answering);
    call.record_end(answer.status, Verdict::Answered, "replayed");
    send_whole(caller, status, head, &answer.body).await
}
