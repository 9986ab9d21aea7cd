//! Processing of one request in the simulation.

use super::{CALLER_LATENCY, MAX_FRESH_AGE, MAX_UNFIT_SERVERS, Simulation};
use crate::callers::{Arrival, micros_from_ms};
use crate::event::{Event, Load};
use crate::instance::{Instance, backend_id, server_index};
use crate::report::Outcome;
use crate::servers::{ReceiveOutcome, ServerRequest};
use crate::switch::Switch;
use galenapath_policy::place::{
    Assignment, PlacementOutcome, PlacementRequest, QueueEntry, QueueOutcome, QueueRejection,
};
use galenapath_protocol::Micros;

impl Simulation<'_> {
    /// Requests a server from the placement queue.
    pub(super) fn place(&mut self, request: usize, instance: usize) {
        let share = 1.0 / self.instances.len() as f32;
        let placement_request = self.placement_request(request, instance);
        let now = self.now;
        let Instance { queue, placement, .. } = &mut self.instances[instance];
        match queue.place(now, placement, placement_request, share) {
            PlacementOutcome::Assigned(assignment) => {
                self.query_or_send(request, instance, &assignment)
            }
            PlacementOutcome::Queued => {}
            PlacementOutcome::Rejected(rejection) => self.reject(request, rejection),
            PlacementOutcome::NoServer => self.finish(request, Outcome::Rejected),
        }
    }

    fn placement_request(&mut self, request: usize, instance: usize) -> PlacementRequest {
        let Arrival { at, .. } = self.arrivals[request];
        let callers = &self.deployment.callers;
        let deadline = (at + micros_from_ms(callers.patience_ms))
            .min(self.now + micros_from_ms(callers.timeout_ms));
        let state = self.instances[instance].requests.entry(request).or_default();
        PlacementRequest {
            entry: QueueEntry {
                workspace: None,
                ticket: request as u64,
                rank: 0,
                arrived: self.now,
                target: at + micros_from_ms(callers.target_ms),
                deadline,
                has_exclusions: !state.passed_over.is_empty(),
            },
            tried: Vec::new(),
            unfit: state.passed_over.clone(),
            is_large: false,
        }
    }

    pub(super) fn poll(&mut self, instance: usize) {
        let now = self.now;
        let Instance { queue, placement, .. } = &mut self.instances[instance];
        for QueueOutcome { ticket, result } in queue.poll(now, placement) {
            let request = ticket as usize;
            match result {
                Ok(assignment) => self.query_or_send(request, instance, &assignment),
                Err(rejection) => self.reject(request, rejection),
            }
        }
    }

    /// Sends a load query to the assigned server, or the request at once if the last load
    /// observation is fresh.
    fn query_or_send(&mut self, request: usize, instance: usize, assignment: &Assignment) {
        let server = server_index(&assignment.server);
        self.instances[instance].record_assignment(request, assignment);
        let observation = self.instances[instance].placement.last_observation(&assignment.server);
        let is_fresh =
            observation.is_some_and(|observation| self.now - observation.at <= MAX_FRESH_AGE);
        if is_fresh || self.is_disabled(Switch::Queries) {
            self.send(request, instance, server);
            return;
        }
        self.report.questions += 1;
        let received = Event::QueryReceived { request, instance, server, sent_at: self.now };
        self.schedule(self.now + self.latency(instance, server), received);
    }

    /// Handles the answer to a load query: sends the request if the server is fit, or places it
    /// again.
    pub(super) fn check_fitness(&mut self, request: usize, instance: usize, server: usize) {
        let (now, id) = (self.now, backend_id(server));
        let Instance { placement, requests, .. } = &mut self.instances[instance];
        let state = requests.entry(request).or_default();
        if placement.is_fit(now, &id, state.snapshot) || state.unfit_count >= MAX_UNFIT_SERVERS {
            self.send(request, instance, server);
            return;
        }
        state.unfit_count += 1;
        state.passed_over.push(id.clone());
        placement.finish(&id);
        self.place(request, instance);
    }

    fn send(&mut self, request: usize, instance: usize, server: usize) {
        let (now, id) = (self.now, backend_id(server));
        let sends_update = !self.is_disabled(Switch::OwnSends);
        let here = &mut self.instances[instance];
        here.placement.mark_sent(&id);
        here.requests.entry(request).or_default().sent_at = now;
        if sends_update && let Some(observation) = here.placement.last_observation(&id) {
            let load = here.placement.load(&id);
            here.queue_observation(server, observation.with_load(load));
        }
        let received = Event::RequestReceived { request, instance, server };
        self.schedule(now + self.latency(instance, server), received);
    }

    pub(super) fn receive(&mut self, request: usize, instance: usize, server: usize) {
        let server_request = ServerRequest { request, work: self.arrivals[request].work };
        match self.servers[server].receive(self.deployment, self.now, server_request) {
            ReceiveOutcome::Started { ends } => {
                self.schedule(ends, Event::RequestEnded { request, instance, server })
            }
            ReceiveOutcome::Queued => {}
            ReceiveOutcome::Shed => {
                self.report.shed += 1;
                let shed = Event::ShedReceived { request, instance, server };
                self.schedule(self.now + self.latency(instance, server), shed);
            }
        }
    }

    pub(super) fn end(&mut self, request: usize, instance: usize, server: usize) {
        if let Some((server_request, ends)) = self.servers[server].end(self.deployment, self.now) {
            let current = self.instance_of(server_request.request).unwrap_or(instance);
            self.schedule(
                ends,
                Event::RequestEnded { request: server_request.request, instance: current, server },
            );
        }
        let load = self.load(server);
        let answered = Event::AnswerReceived { request, instance, server, load };
        self.schedule(self.now + self.latency(instance, server), answered);
    }

    /// The instance that processes a request.
    fn instance_of(&self, request: usize) -> Option<usize> {
        self.instances.iter().position(|instance| instance.requests.contains_key(&request))
    }

    pub(super) fn receive_answer(
        &mut self,
        request: usize,
        instance: usize,
        server: usize,
        load: Load,
    ) {
        let (now, id) = (self.now, backend_id(server));
        let here = &mut self.instances[instance];
        if let Some(state) = here.requests.remove(&request) {
            here.placement.finish(&id);
            here.placement.record_success(now, &id, now - state.sent_at, state.snapshot);
        }
        self.observe(instance, server, load, now);
        self.poll(instance);
        let callers = &self.deployment.callers;
        let took = now + CALLER_LATENCY - self.arrivals[request].at;
        let outcome = if took <= micros_from_ms(callers.target_ms) {
            Outcome::InTarget
        } else if took <= micros_from_ms(callers.patience_ms) {
            Outcome::Late
        } else {
            Outcome::Failed
        };
        self.finish(request, outcome);
    }

    pub(super) fn receive_shed(&mut self, request: usize, instance: usize, server: usize) {
        let id = backend_id(server);
        let Instance { placement, requests, .. } = &mut self.instances[instance];
        placement.finish(&id);
        placement.record_failure(self.now, &id, 0.3);
        requests.entry(request).or_default().passed_over.push(id);
        self.place(request, instance);
    }

    /// Rejects a request. Its caller retries once.
    fn reject(&mut self, request: usize, rejection: QueueRejection) {
        for instance in &mut self.instances {
            instance.requests.remove(&request);
        }
        let Arrival { at, domain, .. } = self.arrivals[request];
        let callers = &self.deployment.callers;
        let left = at + micros_from_ms(callers.patience_ms) - self.now;
        if self.is_retried[request] || left == Micros::ZERO {
            self.finish(request, Outcome::Rejected);
            return;
        }
        let max_delay = Micros((left.0 as f64 * callers.heeded_part) as u64);
        let back =
            self.now + rejection.retry_after.min(max_delay) + CALLER_LATENCY + CALLER_LATENCY;
        let instance = self.instance_in(domain);
        self.schedule(back, Event::RequestArrived { request, instance, is_retry: true });
    }

    fn finish(&mut self, request: usize, outcome: Outcome) {
        if std::mem::replace(&mut self.done[request], true) {
            return;
        }
        self.open_count -= 1;
        self.report.record(self.arrivals[request].at.as_millis_f64() / 1_000.0, outcome);
    }
}
