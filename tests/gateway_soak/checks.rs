//! What a run checks at its end.

use super::callers::{CallRecord, call};
use super::deployment::Deployment;
use crate::attempt::Attempt;
use crate::judge::Finding;
use crate::support::{Gateway, WAIT_TIMEOUT, wait_until};
use galenapath_dev::link::LinkFault;
use galenapath_dev::users_platform::{ExecutedRequest, ServerStandIn};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The instance's metrics and the last lines of its log, with the end of the last request.
fn state_of(gateway: &Gateway) -> String {
    /// Log lines besides that one.
    const LINES: usize = 60;
    let log = gateway.log();
    let (ends, mut events): (Vec<&Value>, Vec<&Value>) =
        log.iter().partition(|line| line["event"] == "request ended");
    events.extend(ends.last());
    let log = events[events.len().saturating_sub(LINES)..].iter();
    let log: Vec<String> = log.map(|line| line.to_string()).collect();
    format!("{}\n{}", gateway.metrics(), log.join("\n"))
}

/// Waits until a lookup at `gateway` is answered; otherwise panics with its last answer, the
/// instance's metrics and the last lines of its log.
pub fn wait_for_answer(gateway: &Gateway, id: &str, trace: &[String]) {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        let answer = call(gateway.callers(), id, false).answer;
        if answer.status == 200 {
            return;
        }
        if Instant::now() > end {
            let (head, body) = (&answer.head, String::from_utf8_lossy(&answer.body));
            let state = state_of(gateway);
            panic!("no answer to {id} but {head:?} {body}\n{trace:?}\n{state}");
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Checks every answer against what the servers ran.
pub fn assert_answers_match_runs(deployment: &Deployment, calls: &[CallRecord], trace: &[String]) {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for (_, server) in &deployment.world.servers {
        for seen in server.executed_requests() {
            *runs.entry(seen.id).or_default() += 1;
        }
    }
    let logged = lines_by_request(deployment);
    for call in calls {
        let CallRecord { id, is_non_idempotent, answer, .. } = call;
        let ran = runs.get(id).copied().unwrap_or(0);
        assert!(!is_non_idempotent || ran <= 1, "{id} ran {ran} times: {trace:?}");
        let says_not_run = [408, 421, 429, 503].contains(&answer.status);
        assert!(
            !(says_not_run && *is_non_idempotent && ran > 0),
            "{id} ran but was reported as not run: {trace:?}"
        );
        if answer.status == 200 {
            assert!(answer.is_whole, "{id} has an incomplete answer: {trace:?}");
            assert_eq!(answer.header("x-attempt-id"), Some(id.as_str()), "{trace:?}");
            assert!(answer.header("x-response-signature").is_some(), "{id}: {trace:?}");
            assert_eq!(answer.body, "x".repeat(20).as_bytes(), "{id}: {trace:?}");
        }
        let is_whole = answer.status == 0 || answer.is_whole;
        assert!(is_whole, "{call:?} has an incomplete answer: {trace:?}");
        assert!(![400, 404].contains(&answer.status), "{id} was rejected as invalid: {trace:?}");
        // No fault of a server, of a path or of the store is a reason to end without an answer.
        let lines = logged.get(id.as_str()).map_or(&[][..], Vec::as_slice);
        let was_read = ran > 0 || lines.iter().any(|line| line["event"] == "request ended");
        assert!(
            answer.status != 0
                || !was_read
                || was_killed(deployment, call.address, call.began, call.ended),
            "{call:?} ran {ran} times and has no answer: {lines:?} {trace:?}"
        );
    }
}

/// Log lines of all instances about requests, by request.
fn lines_by_request(deployment: &Deployment) -> HashMap<String, Vec<Value>> {
    let mut lines: HashMap<String, Vec<Value>> = HashMap::new();
    let logs = (0..deployment.gateways.len()).flat_map(|n| deployment.gateway(n).log());
    for line in logs {
        let id = line["request"].as_str().map(str::to_owned);
        id.into_iter().for_each(|id| lines.entry(id).or_default().push(line.clone()));
    }
    lines
}

/// Whether the instance at `address` was killed between these moments.
pub fn was_killed(
    deployment: &Deployment,
    address: SocketAddr,
    began: Instant,
    ended: Instant,
) -> bool {
    let instance = deployment.addresses().iter().position(|at| *at == address);
    deployment.stops.lock().unwrap().iter().any(|stop| {
        let is_during = stop.signalled <= ended && began <= stop.ended;
        !stop.is_planned && Some(stop.instance) == instance && is_during
    })
}

/// Checks that no request that a server had begun to run ended without a whole answer, unless its
/// instance was killed. An answer of the instance's own is one: servers fail here.
pub fn assert_none_cut(deployment: &Deployment, attempts: &[Attempt], trace: &[String]) {
    let judge = deployment.judge();
    let is_lost = |finding: &Finding| finding.is_loss() && *finding != Finding::Replaced;
    let lost: Vec<String> = attempts
        .iter()
        .filter_map(|attempt| {
            let finding = judge.finding(attempt).filter(is_lost)?;
            Some(judge.describe(finding, attempt))
        })
        .collect();
    assert!(lost.is_empty(), "{}\nof {} requests; {trace:?}", lost.join("\n"), attempts.len());
    let cut = judge.cut_while_running();
    assert!(cut.is_empty(), "cut by the end of a process: {cut:?}; {trace:?}");
}

/// Checks that, whatever faults preceded it, an instance that loses its paths to all servers serves
/// at least nine tenths of its requests through the others once it has had time to find out.
pub fn assert_served_without_paths(deployment: &Deployment, trace: &[String]) {
    const SETTLE: Duration = Duration::from_secs(3);
    /// Requests that count.
    const REQUESTS: usize = 40;
    let gateway = deployment.gateway(0);
    let send = |n: usize| call(gateway.callers(), &format!("paths{n}"), n % 2 == 1).answer.status;
    deployment.world.set_paths(&gateway, LinkFault::Cut);
    let end = Instant::now() + SETTLE;
    let mut sent = 0;
    while Instant::now() < end {
        send(sent);
        sent += 1;
    }
    let statuses: Vec<u16> = (sent..sent + REQUESTS).map(send).collect();
    deployment.world.set_paths(&gateway, LinkFault::None);
    let served = statuses.iter().filter(|status| **status == 200).count();
    let state = state_of(&gateway);
    assert!(served * 10 >= REQUESTS * 9, "{statuses:?} without paths after {trace:?}\n{state}");
    wait_until(&format!("its own paths after {trace:?}"), || {
        send(usize::MAX);
        gateway.metric("galenapath_cut_off ") == 0
    });
}

/// Checks that, whatever faults preceded it, an evacuation that all instances know of keeps
/// requests from the servers of its failure domain.
pub fn assert_evacuation_holds(deployment: &Deployment, trace: &[String]) {
    /// Longest time that a request in flight takes, and the time to watch for new ones after it.
    const SETTLE: Duration = Duration::from_millis(300);
    deployment.world.evacuate("d2");
    for n in 0..deployment.gateways.len() {
        deployment.gateway(n).wait_for_evacuated(1);
    }
    std::thread::sleep(SETTLE);
    let withdrawn = || deployment.world.servers.iter().skip(1).step_by(2);
    let ran = || withdrawn().map(|(_, server)| server.executed_requests().len()).sum::<usize>();
    let before = ran();
    std::thread::sleep(SETTLE);
    assert_eq!(ran(), before, "requests in an evacuated domain after {trace:?}");
    for (_, server) in &deployment.world.servers {
        let peak = server.peak_rate_while_cold();
        let ran = || second_before_crash(server, deployment);
        assert_eq!(server.crashes(), 0, "{peak} while cold: {:#?} {trace:?}", ran());
    }
}

/// The requests that a server ran in the second before it crashed because it was cold, and what
/// instances logged of them and of cold servers.
fn second_before_crash(server: &ServerStandIn, deployment: &Deployment) -> Vec<String> {
    let Some(crash) = server.overloaded_at() else { return Vec::new() };
    let lines = lines_by_request(deployment);
    let describe = |run: ExecutedRequest| {
        let before = crash.checked_duration_since(run.began)?;
        let lines = lines.get(&run.id).map_or(&[][..], Vec::as_slice);
        let steps: Vec<String> =
            lines.iter().map(|l| format!("{} {}", l["t"], l["steps"])).collect();
        let is_near = before <= Duration::from_secs(1);
        is_near.then(|| format!("{before:?} before: {} {} {steps:?}", run.id, run.line))
    };
    let runs = server.executed_requests().into_iter().filter_map(describe);
    let logs = (0..deployment.gateways.len()).flat_map(|n| deployment.gateway(n).log());
    let warm_ups = logs.filter(|line| line["event"] == "server warm-up changed");
    runs.chain(warm_ups.map(|line| line.to_string())).collect()
}

/// Checks that, whatever faults preceded it, a server gets no more requests than its rate limit
/// from all instances together, and none once it is leaving. Only one server of each service is
/// left while `d2` is evacuated, and callers send much more than its limit.
pub fn assert_limit_and_leaving_hold(deployment: &Deployment, trace: &[String]) {
    /// Longer than the four-second window over which the server counts requests.
    const LIMIT_DURATION: Duration = Duration::from_millis(4_700);
    const SETTLE: Duration = Duration::from_millis(300);
    let server = deployment.world.servers_of("look")[0];
    let before = server.overruns();
    server.set_limit(Some(2.0));
    std::thread::sleep(LIMIT_DURATION);
    let peak = server.peak_requests_while_limited();
    assert_eq!(server.overruns(), before, "{peak} requests within four seconds: {trace:?}");
    server.set_limit(None);
    server.set_leaving(true);
    for n in 0..deployment.gateways.len() {
        let gateway = deployment.gateway(n);
        wait_until(&format!("the instance to learn that a server leaves after {trace:?}"), || {
            !gateway.metrics().contains("galenapath_leaving_servers 0\n")
        });
    }
    std::thread::sleep(SETTLE);
    let ran = server.executed_requests().len();
    std::thread::sleep(SETTLE);
    assert_eq!(
        server.executed_requests().len(),
        ran,
        "requests at a server that is leaving after {trace:?}"
    );
}
