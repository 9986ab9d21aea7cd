//! Charges requests to the quotas of their workspaces and reports that to other instances.

use crate::answer::LocalAnswer;
use crate::fleet::{self, Datagram};
use crate::instance::{Instance, sleep};
use crate::usage::Flow;
use galenapath_membership::Peer;
use galenapath_policy::quota::{QuotaDecision, UsageNote, quota_owners};
use galenapath_protocol::{FastMap, Incarnation, Micros, WorkspaceId};
use galenapath_routes::{RouteTable, Workspace};
use http::StatusCode;
use std::cell::Cell;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// Time between two reports. What a workspace sends beyond its quota in this time is granted before
/// the others can know.
const REPORT_PERIOD: Micros = Micros::from_millis(50);

/// Time after its last report for which an instance that serves few requests gets the others'
/// reports.
const REPORTER_EXPIRY: Micros = Micros::from_secs(10);

/// Time for which the load of an instance that was found silent counts as unreachable: it may be cut
/// off and grant its part. Most are dead, and their callers are here by then. An instance that is
/// cut off itself counts the others for as long as it knows them.
const SILENT_LOAD_EXPIRY: Micros = Micros::from_secs(4);

/// Limits a datagram to the size of one packet.
const MAX_NOTES_PER_DATAGRAM: usize = 48;

/// Part of the tolerance for the sum of all instances that is granted in addition to a burst, so
/// that nothing within the quota is refused because two views of it differ.
const MARGIN_PART: f64 = 0.25;

/// Other instances that report usage, and the task that waits for something to report.
#[derive(Default)]
pub(crate) struct Reporters {
    last_reports: FastMap<Incarnation, (SocketAddr, Micros)>,
    waker: Option<Waker>,
}

/// A request that is charged to a quota. Dropping it returns the charge unless the request may have
/// run.
pub(crate) struct QuotaCharge {
    instance: Rc<Instance>,
    workspace: WorkspaceId,
    may_have_run: Cell<bool>,
}

impl QuotaCharge {
    /// Records whether the request may have run.
    pub(crate) fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.set(may_have_run);
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if !self.may_have_run.get() {
            self.instance.metrics.quota.with_label_values(&["returned"]).inc();
            self.instance.quotas.borrow_mut().give_back(self.workspace);
        }
    }
}

/// Charges a request to the quota of its workspace; `None` if that has no quota.
///
/// # Errors
///
/// The answer to a request beyond the quota.
pub(crate) fn charge(
    instance: &Rc<Instance>,
    workspace: &Workspace,
) -> Result<Option<QuotaCharge>, LocalAnswer> {
    let decision = instance.quotas.borrow_mut().take(instance.now(), workspace.id);
    match decision {
        QuotaDecision::Unlimited => Ok(None),
        QuotaDecision::Granted => {
            instance.metrics.quota.with_label_values(&["granted"]).inc();
            instance.wake_reports();
            Ok(Some(QuotaCharge {
                instance: Rc::clone(instance),
                workspace: workspace.id,
                may_have_run: Cell::new(false),
            }))
        }
        QuotaDecision::Exceeded { retry_after } => {
            instance.metrics.quota.with_label_values(&["refused"]).inc();
            instance.wake_reports();
            let answer = LocalAnswer::new(StatusCode::TOO_MANY_REQUESTS, "quota_exceeded");
            Err(answer.with_retry_after(retry_after))
        }
    }
}

impl Instance {
    /// Applies the quotas of a configuration.
    pub(crate) fn apply_quotas(&self, table: &RouteTable) {
        let margin = self.settings().workspaces.quota_tolerance * MARGIN_PART;
        let quotas = table.workspaces().filter_map(|w| Some((w.id, w.quota?)));
        self.quotas.borrow_mut().set_quotas(self.now(), margin, quotas);
    }

    /// Applies the reports of another instance. If that one does not serve callers by its rate, it
    /// receives reports of contended quotas for a while.
    pub(crate) fn apply_usage(&self, from: Incarnation, address: SocketAddr, notes: &[UsageNote]) {
        let now = self.now();
        self.reporters.borrow_mut().last_reports.insert(from, (address, now));
        {
            let mut quotas = self.quotas.borrow_mut();
            for note in notes {
                quotas.apply(now, from, note, || self.owns(note.workspace));
            }
        }
        self.wake_reports();
    }

    fn wake_reports(&self) {
        if let Some(waker) = self.reporters.borrow_mut().waker.take() {
            waker.wake();
        }
    }

    /// Ready once there may be something to report.
    fn poll_reports(&self, cx: &Context<'_>) -> Poll<()> {
        if self.quotas.borrow().has_active() {
            return Poll::Ready(());
        }
        self.reporters.borrow_mut().waker = Some(cx.waker().clone());
        Poll::Pending
    }

    fn send_usage_reports(&self) {
        let now = self.now();
        self.update_surroundings();
        let due = self.quotas.borrow_mut().take_reports(now);
        if due.is_empty() {
            return;
        }
        let serving = self.serving_addresses();
        let mut outgoing: FastMap<SocketAddr, Vec<UsageNote>> = FastMap::default();
        for note in due.to_owners {
            for owner in self.owners(note.workspace, serving.keys().copied()) {
                if let Some(address) = serving.get(&owner) {
                    outgoing.entry(*address).or_default().push(note);
                }
            }
        }
        if !due.to_all.is_empty() {
            for address in self.report_recipients(&serving) {
                outgoing.entry(address).or_default().extend(&due.to_all);
            }
        }
        for (address, notes) in outgoing {
            for part in datagrams(&notes) {
                let datagram = Datagram::Usage { from: self.incarnation, notes: part.to_vec() };
                self.send(address, &fleet::encode(&datagram), Flow::Quotas);
            }
        }
    }

    /// The owners of a workspace, `others` being the other instances that serve callers.
    fn owners(
        &self,
        workspace: WorkspaceId,
        others: impl Iterator<Item = Incarnation>,
    ) -> Vec<Incarnation> {
        quota_owners(workspace, others.chain([self.incarnation]))
    }

    /// Whether this instance is an owner of the workspace.
    fn owns(&self, workspace: WorkspaceId) -> bool {
        let membership = self.membership.borrow();
        let serving = membership.peers().filter(|p| p.is_up() && p.status.serves_callers);
        let others = serving.map(|peer| peer.member.incarnation);
        self.owners(workspace, others).contains(&self.incarnation)
    }

    /// The other instances that serve callers.
    fn serving_addresses(&self) -> FastMap<Incarnation, SocketAddr> {
        let membership = self.membership.borrow();
        let serving = membership.peers().filter(|p| p.is_up() && p.status.serves_callers);
        serving.map(|peer| (peer.member.incarnation, peer.member.peer_address)).collect()
    }

    /// The instances that get reports of contended quotas: those that serve callers, and others
    /// that have reported lately.
    fn report_recipients(&self, serving: &FastMap<Incarnation, SocketAddr>) -> Vec<SocketAddr> {
        let now = self.now();
        let mut reporters = self.reporters.borrow_mut();
        reporters.last_reports.retain(|_, (_, at)| now - *at < REPORTER_EXPIRY);
        let others = reporters.last_reports.iter().filter(|(id, _)| !serving.contains_key(id));
        serving.values().copied().chain(others.map(|(_, (address, _))| *address)).collect()
    }

    /// Updates what the shares of quotas follow from.
    fn update_surroundings(&self) {
        let own = u64::from(self.rate.get().per_second(self.now()).max(1));
        let (mut reachable, mut known, mut serving) = (own, own, 1);
        let (membership, now) = (self.membership.borrow(), self.now());
        let is_isolated = membership.is_isolated();
        for peer in membership.peers().filter(|peer| peer.status.serves_callers) {
            if peer.is_up() {
                reachable += load(peer);
                serving += 1;
            }
            if peer.is_up() || is_isolated || peer.is_down_since_less_than(now, SILENT_LOAD_EXPIRY)
            {
                known += load(peer);
            }
        }
        let reachable_part = reachable as f64 / known as f64;
        self.quotas.borrow_mut().set_surroundings(serving, reachable_part);
    }
}

/// Divides notes into datagrams, two about the same workspace in the same one.
fn datagrams(mut notes: &[UsageNote]) -> impl Iterator<Item = &[UsageNote]> {
    std::iter::from_fn(move || {
        let workspace_at = |at: usize| notes.get(at).map(|note| note.workspace);
        let max = MAX_NOTES_PER_DATAGRAM;
        let is_pair = workspace_at(max).is_some() && workspace_at(max - 1) == workspace_at(max);
        let len = if is_pair { max - 1 } else { max.min(notes.len()) };
        let (part, rest) = notes.split_at(len);
        notes = rest;
        (!part.is_empty()).then_some(part)
    })
}

/// Load of an instance that serves callers, in requests per second.
fn load(peer: &Peer) -> u64 {
    u64::from(peer.status.rate.max(1))
}

/// Reports usage for as long as the instance runs.
pub(crate) async fn run(instance: Rc<Instance>) {
    loop {
        poll_fn(|cx| instance.poll_reports(cx)).await;
        sleep(REPORT_PERIOD).await;
        instance.send_usage_reports();
    }
}
