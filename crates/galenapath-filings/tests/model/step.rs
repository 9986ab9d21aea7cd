//! All steps that the world can take from a state.
//!
//! A paused instance is one whose steps are not taken; a lost message is one that is never
//! delivered; an instance list that lags is a forward that is tried, passed to another instance or
//! given up in any case.

use super::world::{Claim, LEASE, Request, Stage, Try, World, at, fingerprint};
use bytes::Bytes;
use galenapath_filings::{
    AfterAttempt, Answer, AttemptEnd, ClaimId, ClaimResult, FilingDecision, FilingEnd, RecordId,
};
use galenapath_protocol::{Incarnation, Verdict};
use std::rc::Rc;

#[derive(Clone, Copy, Debug)]
pub enum Action {
    Send { t: Try, to: usize },
    DeliverForward { t: Try, at: usize },
    DropForward(Try),
    LandClaim { key: usize, by: Incarnation },
    ClaimReply { t: Try, at: usize },
    ClaimReplyLost { t: Try, at: usize },
    StoreDown { t: Try, at: usize },
    Shed { t: Try, at: usize },
    MarkSent { t: Try, at: usize },
    WriteFails { t: Try, at: usize },
    Write { t: Try, at: usize, backend: u8 },
    BackendRuns(Try),
    BackendRefuses(Try),
    Answer { t: Try, at: usize },
    Refusal { t: Try, at: usize },
    ConnectionLost { t: Try, at: usize },
    LateAnswer { t: Try, at: usize },
    Crash(usize),
    BeginStop(usize),
    HandOver(usize),
    Adopt { at: usize, from: Incarnation },
    Tick,
}

type Steps = Vec<(Action, World)>;

pub fn successors(w: &World) -> Steps {
    let mut steps = Vec::new();
    if w.broken.is_some() {
        return steps;
    }
    sends(w, &mut steps);
    messages(w, &mut steps);
    for place in 0..w.instances.len() {
        for (t, stage) in &w.instances[place].tasks {
            task(w, place, *t, *stage, &mut steps);
        }
        faults(w, place, &mut steps);
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
        if w.bounds.is_own(key) && !within_horizon(w, key) {
            continue;
        }
        for fp in 0..w.bounds.fingerprints {
            for to in 0..w.instances.len() {
                let t = Try { number: w.sends, key, fp };
                add(steps, w, Action::Send { t, to }, |w| {
                    w.sends += 1;
                    admit(w, to, t, true);
                });
            }
        }
    }
}

/// A caller's own key is remembered for the lease of its claim: afterwards it counts as a new key,
/// unless none of its requests has left an instance.
fn within_horizon(w: &World, key: usize) -> bool {
    let flying = w.requests.keys().any(|(t, ..)| t.key == key);
    let left = flying || w.key_runs(key) > 0 || marked(w, Some(key));
    w.claims.contains_key(&key) || !left
}

fn marked(w: &World, key: Option<usize>) -> bool {
    let mut tasks = w.instances.iter().flat_map(|i| &i.tasks);
    tasks.any(|(t, s)| matches!(s, Stage::Marked { .. }) && key.is_none_or(|key| key == t.key))
}

fn messages(w: &World, steps: &mut Steps) {
    for (t, to) in &w.forwards {
        for place in 0..w.instances.len() {
            add(steps, w, Action::DeliverForward { t: *t, at: place }, |w| {
                w.forwards.remove(&(*t, *to));
                admit(w, place, *t, false);
            });
        }
        add(steps, w, Action::DropForward(*t), |w| {
            w.forwards.remove(&(*t, *to));
        });
    }
    for write in &w.writes {
        let (key, claim) = *write;
        add(steps, w, Action::LandClaim { key, by: claim.by }, |w| {
            w.writes.remove(write);
            let now = w.now;
            let (held, _) = w.claims.entry(key).or_insert((claim, now));
            if held.same_lease(&claim) {
                *held = claim;
            }
        });
    }
    for ((t, attempt, by), request) in &w.requests {
        if *request == Request::Flying {
            let place = (*t, *attempt, *by);
            add(steps, w, Action::BackendRuns(*t), |w| {
                w.requests.insert(place, Request::Ran);
                w.run(*t);
            });
            add(steps, w, Action::BackendRefuses(*t), |w| {
                w.requests.insert(place, Request::Refused);
            });
        }
    }
}

/// An instance takes in a try. One that came by a forward is not passed on a second time.
fn admit(w: &mut World, place: usize, t: Try, direct: bool) {
    let (now, key) = (at(w.now), w.bounds.key(t.key));
    let admit = w.table(place).admit(now, &key, fingerprint(t.fp));
    admitted(w, place, t, admit, direct);
}

fn admitted(w: &mut World, place: usize, t: Try, admit: FilingDecision, direct: bool) {
    match admit {
        FilingDecision::Run(id) => {
            w.instance(place).tasks.insert((t, Stage::Admitted { id, attempt: 0 }));
        }
        FilingDecision::Claim(claim) => {
            let write = (t.key, stored(w, place, claim, w.now));
            w.writes.insert(write);
            let asked = w.now;
            w.instance(place).tasks.insert((t, Stage::Claiming { claim, asked, direct }));
        }
        FilingDecision::Forward(to) if direct => {
            w.forwards.insert((t, to));
        }
        FilingDecision::Replay(answer) => w.answer(t, &answer.body),
        FilingDecision::AnsweredNotKept { .. } => w.answer(t, &[t.key as u8, t.fp]),
        FilingDecision::Mismatch | FilingDecision::Full { .. } => w.deny(t),
        // Told "may have run", which is true in any case.
        FilingDecision::Forward(_)
        | FilingDecision::InProgress(_)
        | FilingDecision::MayHaveRun
        | FilingDecision::Expired
        | FilingDecision::Unclaimed { .. } => {}
    }
}

/// A claim as it is written at the tick `asked`.
fn stored(w: &World, place: usize, id: ClaimId, asked: u64) -> Claim {
    Claim { by: w.instances[place].incarnation, id, lease: asked / w.bounds.lease_use }
}

fn task(w: &World, place: usize, t: Try, stage: Stage, steps: &mut Steps) {
    let now = at(w.now);
    let by = w.instances[place].incarnation;
    let mut go = |action, change: &dyn Fn(&mut World)| {
        add(steps, w, action, |w| {
            w.instance(place).tasks.remove(&(t, stage));
            change(w);
        });
    };
    match stage {
        Stage::Claiming { claim, asked, direct } => {
            let result = |w: &mut World, result| {
                let admit = w.table(place).apply_claim_result(now, claim, result);
                admitted(w, place, t, admit, direct);
            };
            let write = (t.key, stored(w, place, claim, asked));
            let landed = !w.writes.contains(&write);
            if let Some((held, _)) = w.claims.get(&t.key)
                && landed
            {
                let lost = ClaimResult::Lost { incarnation: held.by, claim: held.id };
                let won = (held.by, held.id) == (by, claim);
                let reply = if won { ClaimResult::Won } else { lost };
                go(Action::ClaimReply { t, at: place }, &|w| result(w, reply));
            }
            if w.store_faults < w.bounds.store_faults {
                go(Action::ClaimReplyLost { t, at: place }, &|w| {
                    w.store_faults += 1;
                    result(w, ClaimResult::Unknown);
                });
                if w.writes.contains(&write) {
                    go(Action::StoreDown { t, at: place }, &|w| {
                        w.store_faults += 1;
                        w.writes.remove(&write);
                        result(w, ClaimResult::StoreDown);
                    });
                }
            }
        }
        Stage::Admitted { id, attempt } => {
            go(Action::Shed { t, at: place }, &|w| end(w, place, t, id, FilingEnd::NotRun));
            go(Action::MarkSent { t, at: place }, &|w| {
                let marked = w.table(place).mark_sent(now, id).is_ok();
                if marked && w.bounds.fine {
                    w.instance(place).tasks.insert((t, Stage::Marked { id, attempt }));
                } else if marked {
                    write(w, place, t, id, attempt);
                }
            });
        }
        Stage::Marked { id, attempt } => {
            go(Action::Write { t, at: place, backend: attempt }, &|w| {
                write(w, place, t, id, attempt);
            });
            go(Action::WriteFails { t, at: place }, &|w| {
                attempt_ended(w, place, t, id, attempt, AttemptEnd::NothingSent);
            });
        }
        Stage::Waiting { id, attempt } => {
            match w.requests[&(t, attempt, by)] {
                Request::Ran => go(Action::Answer { t, at: place }, &|w| {
                    attempt_ended(w, place, t, id, attempt, AttemptEnd::Answered);
                }),
                Request::Refused => go(Action::Refusal { t, at: place }, &|w| {
                    attempt_ended(w, place, t, id, attempt, AttemptEnd::Rejected);
                }),
                Request::Flying => {}
            }
            go(Action::ConnectionLost { t, at: place }, &|w| {
                attempt_ended(w, place, t, id, attempt, AttemptEnd::Lost);
            });
        }
        Stage::GivenUp { id, attempt } => {
            if w.requests.get(&(t, attempt, by)) == Some(&Request::Ran) {
                go(Action::LateAnswer { t, at: place }, &|w| end(w, place, t, id, answered(t)));
            }
        }
    }
}

fn write(w: &mut World, place: usize, t: Try, id: RecordId, attempt: u8) {
    let by = w.instances[place].incarnation;
    w.requests.insert((t, attempt, by), Request::Flying);
    w.instance(place).tasks.insert((t, Stage::Waiting { id, attempt }));
}

fn answered(t: Try) -> FilingEnd {
    let body = Bytes::from(vec![t.key as u8, t.fp]);
    FilingEnd::Answered(Answer { status: 201, headers: Vec::new(), body })
}

/// The attempt is over: by the table's word it is tried on the next backend server or closed.
fn attempt_ended(w: &mut World, place: usize, t: Try, id: RecordId, attempt: u8, how: AttemptEnd) {
    let now = at(w.now);
    match w.table(place).record_attempt_end(now, id, how) {
        AfterAttempt::Answered => end(w, place, t, id, answered(t)),
        AfterAttempt::NotRun if attempt + 1 < w.bounds.attempts => {
            let stage = Stage::Admitted { id, attempt: attempt + 1 };
            w.instance(place).tasks.insert((t, stage));
        }
        AfterAttempt::NotRun => end(w, place, t, id, FilingEnd::NotRun),
        AfterAttempt::MayHaveRun => {
            end(w, place, t, id, FilingEnd::MayHaveRun);
            if w.bounds.fine {
                w.instance(place).tasks.insert((t, Stage::GivenUp { id, attempt }));
            }
        }
    }
}

fn end(w: &mut World, place: usize, t: Try, id: RecordId, end: FilingEnd) {
    let now = at(w.now);
    match w.table(place).resolve(now, id, end) {
        Verdict::NotRun => w.deny(t),
        Verdict::Answered => w.answer(t, &[t.key as u8, t.fp]),
        Verdict::MayHaveRun => {}
    }
}

fn faults(w: &World, place: usize, steps: &mut Steps) {
    let instance = &w.instances[place];
    if w.crashes < w.bounds.crashes {
        add(steps, w, Action::Crash(place), |w| {
            w.crashes += 1;
            let fresh = w.bounds.instance(place, w.crashes);
            w.instances[place] = Rc::new(fresh);
        });
    }
    if w.stops < w.bounds.stops && !instance.stopping {
        add(steps, w, Action::BeginStop(place), |w| {
            w.stops += 1;
            w.instance(place).stopping = true;
            w.table(place).begin_stop();
        });
    }
    if instance.stopping && !instance.handed_over {
        add(steps, w, Action::HandOver(place), |w| {
            w.instance(place).handed_over = true;
            let records = w.table(place).hand_over();
            let from = w.instances[place].incarnation;
            w.estates.insert(from, Rc::new(records));
            let others = (0..w.instances.len()).filter(|other| *other != place);
            w.hand_overs.extend(others.map(|other| (other, from)));
        });
    }
    for (to, from) in w.hand_overs.iter().filter(|(to, _)| *to == place) {
        add(steps, w, Action::Adopt { at: place, from: *from }, |w| {
            w.hand_overs.remove(&(*to, *from));
            let (now, records) = (at(w.now), w.estates[from].to_vec());
            w.table(place).apply_hand_over(now, *from, records);
        });
    }
}

/// Time passes; leases lapse. Assumed: no lease lapses between marking a record as sent and the
/// write of the first byte, nor while a request is on its way to a backend server or is being
/// passed on (it carries a deadline).
fn tick(w: &World, steps: &mut Steps) {
    if w.now == w.bounds.ticks {
        return;
    }
    let lapses = w.claims.values().any(|(_, landed)| landed + LEASE <= w.now + 1);
    let flying = w.requests.values().any(|r| *r == Request::Flying);
    if lapses && (flying || marked(w, None) || !w.forwards.is_empty()) {
        return;
    }
    add(steps, w, Action::Tick, |w| {
        w.now += 1;
        let now = w.now;
        w.claims.retain(|_, (_, landed)| *landed + LEASE > now);
    });
}
