//! A request that crashes the servers that run it.

use super::checks::wait_for_answer;
use super::deployment::Deployment;
use crate::support::kept::{Kept, get};
use crate::support::{Gateway, wait_until};
use galenapath_dev::users_platform::{DOWNTIME, ServerFault};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What the caller of such a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashingCaller {
    /// Waits for the answer.
    Waits,
    /// Leaves before the server crashes.
    Leaves,
    /// Asks for something else at the same moment, and waits for both.
    SendsPair,
}

impl CrashingCaller {
    /// The caller of the run with this seed.
    pub fn of(seed: u64) -> Self {
        [Self::Waits, Self::Leaves, Self::SendsPair][(seed % 3) as usize]
    }

    fn send(self, address: SocketAddr) {
        /// Shorter than the work of the request.
        const STAY: Duration = Duration::from_millis(8);
        // An instance that starts refuses connections.
        let lookup = |path: &str| {
            let mut caller = Kept::of(TcpStream::connect(address).ok()?);
            caller.send(&get(path, "poison", 500));
            Some(caller)
        };
        let beside = if self == Self::SendsPair { lookup("/look/beside") } else { None };
        let crashing = lookup("/look/poison");
        if self == Self::Leaves {
            std::thread::sleep(STAY);
            return;
        }
        for mut caller in crashing.into_iter().chain(beside) {
            caller.read();
        }
    }
}

/// Checks that, whatever faults preceded it, a request that crashes servers is no longer sent once
/// all instances have had time to learn of it, also by one that has restarted.
pub fn assert_crashing_request_ends(
    deployment: &Deployment,
    caller: CrashingCaller,
    trace: &[String],
) {
    /// Time after the crashes from which requests count.
    const SETTLE: Duration = Duration::from_secs(3);
    /// Rounds after that time, in each of which both servers could end.
    const ROUNDS: u32 = 4;
    /// Sends allowed in them.
    const MAX_SENDS: usize = 3;
    let servers = deployment.world.servers_of("look");
    let runs = || {
        let ran = servers.iter().flat_map(|server| server.executed_requests());
        ran.filter(|ran| ran.line.contains("poison")).count()
    };
    let send_everywhere = || {
        for n in 0..deployment.gateways.len() {
            caller.send(deployment.gateway(n).callers());
        }
    };
    // A relay takes connections while its server is down, unlike the address of a crashed server.
    for at in 0..deployment.world.servers.len() {
        deployment.list_without_link(at);
    }
    let revision = deployment.world.store.revision();
    for n in 0..deployment.gateways.len() {
        wait_until(&format!("the servers' own addresses after {trace:?}"), || {
            deployment.gateway(n).metric("galenapath_list_position") >= revision
        });
    }
    servers.iter().for_each(|server| server.set_fault(ServerFault::CrashesOnAbandonedPoison));
    wait_until(&format!("two crashes after {trace:?}"), || {
        send_everywhere();
        std::thread::sleep(Duration::from_millis(300));
        runs() >= 2
    });
    deployment.restart(0, false, Gateway::kill_and_start);
    let end = Instant::now() + SETTLE;
    while Instant::now() < end {
        send_everywhere();
        std::thread::sleep(Duration::from_millis(300));
    }
    let before = runs();
    for _ in 0..ROUNDS {
        send_everywhere();
        std::thread::sleep(DOWNTIME);
    }
    let sends = runs() - before;
    assert!(sends <= MAX_SENDS, "{sends} sends of a crashing request, {before} before: {trace:?}");
    servers.iter().for_each(|server| server.set_fault(ServerFault::None));
    for n in 0..deployment.gateways.len() {
        wait_for_answer(&deployment.gateway(n), "after-crashes", trace);
    }
}
