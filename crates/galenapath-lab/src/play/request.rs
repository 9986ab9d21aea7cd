//! The way of one request through the play.

use super::{CALLER_WAY, FRESH_LOAD, MOST_CHOICES, Play};
use crate::callers::{Arrival, millis};
use crate::event::{Event, Load};
use crate::instance::{Instance, id_of, server_of};
use crate::report::Outcome;
use crate::servers::{Reached, Run};
use crate::switch::Switch;
use galenapath_policy::place::{
    Assignment, PlacementOutcome, PlacementRequest, QueueEntry, QueueOutcome, QueueRejection,
};
use galenapath_protocol::Micros;

impl Play<'_> {
    /// Asks the line for a server.
    pub(super) fn place(&mut self, request: usize, instance: usize) {
        let part = 1.0 / self.instances.len() as f32;
        let wanted = self.wanted(request, instance);
        let now = self.now;
        let Instance { line, placement, .. } = &mut self.instances[instance];
        match line.place(now, placement, wanted, part) {
            PlacementOutcome::Assigned(given) => self.start(request, instance, &given),
            PlacementOutcome::Queued => {}
            PlacementOutcome::Rejected(refusal) => self.refuse(request, refusal),
            PlacementOutcome::NoServer => {
                let call = self.instances[instance].calls.entry(request).or_default();
                if call.passed_over.is_empty() {
                    self.finish(request, Outcome::Refused);
                } else {
                    call.passed_over.clear();
                    self.place(request, instance);
                }
            }
        }
    }

    fn wanted(&mut self, request: usize, instance: usize) -> PlacementRequest {
        let Arrival { at, .. } = self.arrivals[request];
        let callers = &self.deployment.callers;
        let deadline =
            (at + millis(callers.patience_ms)).min(self.now + millis(callers.timeout_ms));
        let call = self.instances[instance].calls.entry(request).or_default();
        PlacementRequest {
            entry: QueueEntry {
                ticket: request as u64,
                rank: 0,
                arrived: self.now,
                target: at + millis(callers.target_ms),
                deadline,
                has_exclusions: !call.passed_over.is_empty(),
            },
            tried: call.passed_over.clone(),
            is_large: false,
        }
    }

    pub(super) fn poll(&mut self, instance: usize) {
        let now = self.now;
        let Instance { line, placement, .. } = &mut self.instances[instance];
        for QueueOutcome { ticket, result } in line.poll(now, placement) {
            let request = ticket as usize;
            match result {
                Ok(given) => self.start(request, instance, &given),
                Err(refusal) => self.refuse(request, refusal),
            }
        }
    }

    /// A request has a server: asks it first, unless it was seen just now.
    fn start(&mut self, request: usize, instance: usize, given: &Assignment) {
        let server = server_of(&given.server);
        self.instances[instance].given(request, given);
        let seen = self.instances[instance].placement.last_observation(&given.server);
        let is_fresh = seen.is_some_and(|seen| self.now - seen.at <= FRESH_LOAD);
        if is_fresh || self.is_without(Switch::Questions) {
            self.send(request, instance, server);
            return;
        }
        self.report.questions += 1;
        let reaches = Event::AskReaches { request, instance, server, asked_at: self.now };
        self.at(self.now + self.way(instance, server), reaches);
    }

    /// A server was asked: sends the request there, or looks for another one.
    pub(super) fn judge(&mut self, request: usize, instance: usize, server: usize) {
        let (now, id) = (self.now, id_of(server));
        let Instance { placement, calls, .. } = &mut self.instances[instance];
        let call = calls.entry(request).or_default();
        if placement.is_fit(now, &id, call.started) || call.choices >= MOST_CHOICES {
            self.send(request, instance, server);
            return;
        }
        call.choices += 1;
        call.passed_over.push(id.clone());
        placement.finish(&id);
        self.place(request, instance);
    }

    fn send(&mut self, request: usize, instance: usize, server: usize) {
        let (now, id) = (self.now, id_of(server));
        let tells = !self.is_without(Switch::OwnSends);
        let here = &mut self.instances[instance];
        here.placement.mark_sent(&id);
        here.calls.entry(request).or_default().sent_at = now;
        if tells && let Some(seen) = here.placement.last_observation(&id) {
            let load = here.placement.load(&id);
            here.tell(server, seen.with_load(load));
        }
        let reaches = Event::Reaches { request, instance, server };
        self.at(now + self.way(instance, server), reaches);
    }

    pub(super) fn reach(&mut self, request: usize, instance: usize, server: usize) {
        let run = Run { request, work: self.arrivals[request].work };
        match self.servers[server].reach(self.deployment, self.now, run) {
            Reached::Began { ends } => self.at(ends, Event::Ends { request, instance, server }),
            Reached::Waits => {}
            Reached::Shed => {
                self.report.shed += 1;
                let shed = Event::Shed { request, instance, server };
                self.at(self.now + self.way(instance, server), shed);
            }
        }
    }

    pub(super) fn end(&mut self, request: usize, instance: usize, server: usize) {
        if let Some((run, ends)) = self.servers[server].end(self.deployment, self.now) {
            let owner = self.owner(run.request).unwrap_or(instance);
            self.at(ends, Event::Ends { request: run.request, instance: owner, server });
        }
        let load = self.load(server);
        let answered = Event::Answered { request, instance, server, load };
        self.at(self.now + self.way(instance, server), answered);
    }

    /// The instance at which a request is in progress.
    fn owner(&self, request: usize) -> Option<usize> {
        self.instances.iter().position(|instance| instance.calls.contains_key(&request))
    }

    pub(super) fn answered(&mut self, request: usize, instance: usize, server: usize, load: Load) {
        let (now, id) = (self.now, id_of(server));
        let here = &mut self.instances[instance];
        if let Some(call) = here.calls.remove(&request) {
            here.placement.finish(&id);
            here.placement.record_success(now, &id, now - call.sent_at, call.started);
        }
        self.see(instance, server, load, now);
        self.poll(instance);
        let callers = &self.deployment.callers;
        let took = now + CALLER_WAY - self.arrivals[request].at;
        let outcome = if took <= millis(callers.target_ms) {
            Outcome::InTarget
        } else if took <= millis(callers.patience_ms) {
            Outcome::Late
        } else {
            Outcome::Failed
        };
        self.finish(request, outcome);
    }

    pub(super) fn shed(&mut self, request: usize, instance: usize, server: usize) {
        let id = id_of(server);
        let Instance { placement, calls, .. } = &mut self.instances[instance];
        placement.finish(&id);
        placement.record_failure(self.now, &id, 0.3);
        calls.entry(request).or_default().passed_over.push(id);
        self.place(request, instance);
    }

    /// Turns a request away; its caller comes back once.
    fn refuse(&mut self, request: usize, refusal: QueueRejection) {
        for instance in &mut self.instances {
            instance.calls.remove(&request);
        }
        let Arrival { at, domain, .. } = self.arrivals[request];
        let callers = &self.deployment.callers;
        let left = at + millis(callers.patience_ms) - self.now;
        if self.came_back[request] || left == Micros::ZERO {
            self.finish(request, Outcome::Refused);
            return;
        }
        let most = Micros((left.0 as f64 * callers.heeded_part) as u64);
        let back = self.now + refusal.retry_after.min(most) + CALLER_WAY + CALLER_WAY;
        let instance = self.instance_in(domain);
        self.at(back, Event::Arrives { request, instance, is_back: true });
    }

    fn finish(&mut self, request: usize, outcome: Outcome) {
        if std::mem::replace(&mut self.done[request], true) {
            return;
        }
        self.open -= 1;
        self.report.add(self.arrivals[request].at.as_millis_f64() / 1_000.0, outcome);
    }
}
