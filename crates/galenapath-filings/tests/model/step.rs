//! All steps from a state of the model.
//!
//! A paused instance is one whose steps are not taken, and a lost message is one that is never
//! delivered. Since instance lists may be outdated, a forward may always reach any instance or be
//! dropped.

use super::world::{CallerSend, Claim, LEASE_TICKS, Request, Stage, World, fingerprint, tick_time};
use bytes::Bytes;
use galenapath_filings::{
    AfterAttempt, Answer, AttemptEnd, ClaimId, ClaimResult, FilingDecision, FilingEnd, RecordId,
};
use galenapath_protocol::{Incarnation, Verdict};
use std::rc::Rc;

#[derive(Clone, Copy, Debug)]
pub enum Action {
    Send { t: CallerSend, to: usize },
    DeliverForward { t: CallerSend, at: usize },
    DropForward(CallerSend),
    StoreClaim { key: usize, by: Incarnation },
    ClaimReply { t: CallerSend, at: usize },
    ClaimReplyLost { t: CallerSend, at: usize },
    StoreDown { t: CallerSend, at: usize },
    Shed { t: CallerSend, at: usize },
    MarkSent { t: CallerSend, at: usize },
    WriteFails { t: CallerSend, at: usize },
    Write { t: CallerSend, at: usize, backend: u8 },
    BackendRuns(CallerSend),
    BackendRejects(CallerSend),
    Answer { t: CallerSend, at: usize },
    Rejection { t: CallerSend, at: usize },
    ConnectionLost { t: CallerSend, at: usize },
    LateAnswer { t: CallerSend, at: usize },
    Crash(usize),
    BeginStop(usize),
    HandOver(usize),
    ApplyHandOver { at: usize, from: Incarnation },
    Tick,
}

type Steps = Vec<(Action, World)>;

pub fn successors(w: &World) -> Steps {
    let mut steps = Vec::new();
    if w.violation.is_some() {
        return steps;
    }
    sends(w, &mut steps);
    messages(w, &mut steps);
    for index in 0..w.instances.len() {
        for (t, stage) in &w.instances[index].tasks {
            task(w, index, *t, *stage, &mut steps);
        }
        faults(w, index, &mut steps);
    }
    tick(w, &mut steps);
    steps
}

fn add(steps: &mut Steps, w: &World, action: Action, change: impl FnOnce(&mut World)) {
    let mut next = w.clone();
    change(&mut next);
    next.normalise();
    steps.push((action, next));
}

fn sends(w: &World, steps: &mut Steps) {
    if w.sends == w.bounds.sends {
        return;
    }
    for key in 0..w.bounds.keys {
        if w.bounds.is_caller_chosen(key) && !is_claim_known(w, key) {
            continue;
        }
        for fp in 0..w.bounds.fingerprints {
            for to in 0..w.instances.len() {
                let t = CallerSend { number: w.sends, key, fp };
                add(steps, w, Action::Send { t, to }, |w| {
                    w.sends += 1;
                    admit(w, to, t, true);
                });
            }
        }
    }
}

/// Whether callers may still send the key. A caller-chosen key is known for the lease of its claim.
/// Afterwards it counts as a new key, unless none of its requests has been sent by an instance.
fn is_claim_known(w: &World, key: usize) -> bool {
    let in_flight = w.requests.keys().any(|(t, ..)| t.key == key);
    let left = in_flight || w.key_runs(key) > 0 || marked(w, Some(key));
    w.claims.contains_key(&key) || !left
}

fn marked(w: &World, key: Option<usize>) -> bool {
    let mut tasks = w.instances.iter().flat_map(|i| &i.tasks);
    tasks.any(|(t, s)| matches!(s, Stage::Marked { .. }) && key.is_none_or(|key| key == t.key))
}

fn messages(w: &World, steps: &mut Steps) {
    for (t, to) in &w.forwards {
        for index in 0..w.instances.len() {
            add(steps, w, Action::DeliverForward { t: *t, at: index }, |w| {
                w.forwards.remove(&(*t, *to));
                admit(w, index, *t, false);
            });
        }
        add(steps, w, Action::DropForward(*t), |w| {
            w.forwards.remove(&(*t, *to));
        });
    }
    for write in &w.writes {
        let (key, claim) = *write;
        add(steps, w, Action::StoreClaim { key, by: claim.by }, |w| {
            w.writes.remove(write);
            let now = w.now;
            let (held, _) = w.claims.entry(key).or_insert((claim, now));
            if held.same_lease(&claim) {
                *held = claim;
            }
        });
    }
    for ((t, attempt, by), request) in &w.requests {
        if *request == Request::InFlight {
            let request_key = (*t, *attempt, *by);
            add(steps, w, Action::BackendRuns(*t), |w| {
                w.requests.insert(request_key, Request::Ran);
                w.run(*t);
            });
            add(steps, w, Action::BackendRejects(*t), |w| {
                w.requests.insert(request_key, Request::Rejected);
            });
        }
    }
}

/// An instance receives a send. One that was forwarded (not `direct`) is not forwarded again.
fn admit(w: &mut World, index: usize, t: CallerSend, direct: bool) {
    let (now, key) = (tick_time(w.now), w.bounds.key(t.key));
    let decision = w.table(index).admit(now, &key, fingerprint(t.fp));
    admitted(w, index, t, decision, direct);
}

fn admitted(w: &mut World, index: usize, t: CallerSend, decision: FilingDecision, direct: bool) {
    match decision {
        FilingDecision::Run(id) => {
            w.instance(index).tasks.insert((t, Stage::Admitted { id, attempt: 0 }));
        }
        FilingDecision::Claim(claim) => {
            let write = (t.key, stored(w, index, claim, w.now));
            w.writes.insert(write);
            let requested_at = w.now;
            w.instance(index).tasks.insert((t, Stage::Claiming { claim, requested_at, direct }));
        }
        FilingDecision::Forward(to) if direct => {
            w.forwards.insert((t, to));
        }
        FilingDecision::Replay(answer) => w.answer(t, &answer.body),
        FilingDecision::AnsweredNotKept { .. } => w.answer(t, &[t.key as u8, t.fp]),
        FilingDecision::Mismatch | FilingDecision::Full { .. } => w.answer_not_run(t),
        // The caller gets "may have run", which is always correct.
        FilingDecision::Forward(_)
        | FilingDecision::InProgress(_)
        | FilingDecision::MayHaveRun
        | FilingDecision::Expired
        | FilingDecision::Unclaimed { .. } => {}
    }
}

/// A claim as written at the tick `requested_at`.
fn stored(w: &World, index: usize, id: ClaimId, requested_at: u64) -> Claim {
    Claim { by: w.instances[index].incarnation, id, lease: requested_at / w.bounds.lease_use }
}

fn task(w: &World, index: usize, t: CallerSend, stage: Stage, steps: &mut Steps) {
    let now = tick_time(w.now);
    let by = w.instances[index].incarnation;
    let mut add_step = |action, change: &dyn Fn(&mut World)| {
        add(steps, w, action, |w| {
            w.instance(index).tasks.remove(&(t, stage));
            change(w);
        });
    };
    match stage {
        Stage::Claiming { claim, requested_at, direct } => {
            let result = |w: &mut World, result| {
                let decision = w.table(index).apply_claim_result(now, claim, result);
                admitted(w, index, t, decision, direct);
            };
            let write = (t.key, stored(w, index, claim, requested_at));
            let is_applied = !w.writes.contains(&write);
            if let Some((held, _)) = w.claims.get(&t.key)
                && is_applied
            {
                let lost = ClaimResult::Lost { incarnation: held.by, claim: held.id };
                let won = (held.by, held.id) == (by, claim);
                let reply = if won { ClaimResult::Won } else { lost };
                add_step(Action::ClaimReply { t, at: index }, &|w| result(w, reply));
            }
            if w.store_faults < w.bounds.store_faults {
                add_step(Action::ClaimReplyLost { t, at: index }, &|w| {
                    w.store_faults += 1;
                    result(w, ClaimResult::Unknown);
                });
                if w.writes.contains(&write) {
                    add_step(Action::StoreDown { t, at: index }, &|w| {
                        w.store_faults += 1;
                        w.writes.remove(&write);
                        result(w, ClaimResult::StoreDown);
                    });
                }
            }
        }
        Stage::Admitted { id, attempt } => {
            add_step(Action::Shed { t, at: index }, &|w| end(w, index, t, id, FilingEnd::NotRun));
            add_step(Action::MarkSent { t, at: index }, &|w| {
                let marked = w.table(index).mark_sent(now, id).is_ok();
                if marked && w.bounds.fine_steps {
                    w.instance(index).tasks.insert((t, Stage::Marked { id, attempt }));
                } else if marked {
                    write(w, index, t, id, attempt);
                }
            });
        }
        Stage::Marked { id, attempt } => {
            add_step(Action::Write { t, at: index, backend: attempt }, &|w| {
                write(w, index, t, id, attempt);
            });
            add_step(Action::WriteFails { t, at: index }, &|w| {
                attempt_ended(w, index, t, id, attempt, AttemptEnd::NothingSent);
            });
        }
        Stage::Waiting { id, attempt } => {
            match w.requests[&(t, attempt, by)] {
                Request::Ran => add_step(Action::Answer { t, at: index }, &|w| {
                    attempt_ended(w, index, t, id, attempt, AttemptEnd::Answered);
                }),
                Request::Rejected => add_step(Action::Rejection { t, at: index }, &|w| {
                    attempt_ended(w, index, t, id, attempt, AttemptEnd::Rejected);
                }),
                Request::InFlight => {}
            }
            add_step(Action::ConnectionLost { t, at: index }, &|w| {
                attempt_ended(w, index, t, id, attempt, AttemptEnd::Lost);
            });
        }
        Stage::GivenUp { id, attempt } => {
            if w.requests.get(&(t, attempt, by)) == Some(&Request::Ran) {
                add_step(Action::LateAnswer { t, at: index }, &|w| {
                    end(w, index, t, id, answered(t))
                });
            }
        }
    }
}

fn write(w: &mut World, index: usize, t: CallerSend, id: RecordId, attempt: u8) {
    let by = w.instances[index].incarnation;
    w.requests.insert((t, attempt, by), Request::InFlight);
    w.instance(index).tasks.insert((t, Stage::Waiting { id, attempt }));
}

fn answered(t: CallerSend) -> FilingEnd {
    let body = Bytes::from(vec![t.key as u8, t.fp]);
    FilingEnd::Answered(Answer { status: 201, headers: Vec::new(), body })
}

/// Ends an attempt. The table decides whether the next backend server is tried or the filing is
/// closed.
fn attempt_ended(
    w: &mut World,
    index: usize,
    t: CallerSend,
    id: RecordId,
    attempt: u8,
    how: AttemptEnd,
) {
    let now = tick_time(w.now);
    match w.table(index).record_attempt_end(now, id, how) {
        AfterAttempt::Answered => end(w, index, t, id, answered(t)),
        AfterAttempt::NotRun if attempt + 1 < w.bounds.attempts => {
            let stage = Stage::Admitted { id, attempt: attempt + 1 };
            w.instance(index).tasks.insert((t, stage));
        }
        AfterAttempt::NotRun => end(w, index, t, id, FilingEnd::NotRun),
        AfterAttempt::MayHaveRun => {
            end(w, index, t, id, FilingEnd::MayHaveRun);
            if w.bounds.fine_steps {
                w.instance(index).tasks.insert((t, Stage::GivenUp { id, attempt }));
            }
        }
    }
}

fn end(w: &mut World, index: usize, t: CallerSend, id: RecordId, end: FilingEnd) {
    let now = tick_time(w.now);
    match w.table(index).resolve(now, id, end) {
        Verdict::NotRun => w.answer_not_run(t),
        Verdict::Answered => w.answer(t, &[t.key as u8, t.fp]),
        Verdict::MayHaveRun => {}
    }
}

fn faults(w: &World, index: usize, steps: &mut Steps) {
    let instance = &w.instances[index];
    if w.crashes < w.bounds.crashes {
        add(steps, w, Action::Crash(index), |w| {
            w.crashes += 1;
            let fresh = w.bounds.instance(index, w.crashes);
            w.instances[index] = Rc::new(fresh);
        });
    }
    if w.stops < w.bounds.stops && !instance.stopping {
        add(steps, w, Action::BeginStop(index), |w| {
            w.stops += 1;
            w.instance(index).stopping = true;
            w.table(index).begin_stop();
        });
    }
    if instance.stopping && !instance.handed_over {
        add(steps, w, Action::HandOver(index), |w| {
            w.instance(index).handed_over = true;
            let records = w.table(index).hand_over();
            let from = w.instances[index].incarnation;
            w.handed_over_outcomes.insert(from, Rc::new(records));
            let others = (0..w.instances.len()).filter(|other| *other != index);
            w.hand_overs.extend(others.map(|other| (other, from)));
        });
    }
    for (to, from) in w.hand_overs.iter().filter(|(to, _)| *to == index) {
        add(steps, w, Action::ApplyHandOver { at: index, from: *from }, |w| {
            w.hand_overs.remove(&(*to, *from));
            let (now, records) = (tick_time(w.now), w.handed_over_outcomes[from].to_vec());
            w.table(index).apply_hand_over(now, *from, records);
        });
    }
}

/// Advances the time and expires leases. The model assumes that no lease expires between marking a
/// record as sent and the write of the first byte, nor while a request is on its way to a backend
/// server or being forwarded (it carries a deadline).
fn tick(w: &World, steps: &mut Steps) {
    if w.now == w.bounds.ticks {
        return;
    }
    let expires = w.claims.values().any(|(_, created_at)| created_at + LEASE_TICKS <= w.now + 1);
    let in_flight = w.requests.values().any(|r| *r == Request::InFlight);
    if expires && (in_flight || marked(w, None) || !w.forwards.is_empty()) {
        return;
    }
    add(steps, w, Action::Tick, |w| {
        w.now += 1;
        let now = w.now;
        w.claims.retain(|_, (_, created_at)| *created_at + LEASE_TICKS > now);
    });
}
