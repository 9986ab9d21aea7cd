//! The faults that a run draws.

use super::{Stage, wait_until};
use crate::support::COLD_PER_SECOND;
use galenapath_dev::link::LinkFault;
use galenapath_dev::users_platform::ServerFault;
use rand::RngExt;
use rand::rngs::SmallRng;
use serde_json::json;
use std::sync::atomic::Ordering;
use std::time::Duration;

const SERVER_TROUBLES: &[ServerFault] = &[
    ServerFault::Shed,
    ServerFault::Mute,
    ServerFault::Hang,
    ServerFault::Errors,
    ServerFault::Unsigned,
    ServerFault::BreaksOff,
    ServerFault::Extra,
    ServerFault::Foreign,
    ServerFault::Busy,
    ServerFault::ForgetsIdle,
];

const LINK_FAULTS: &[LinkFault] = &[
    LinkFault::Cut,
    LinkFault::CutReplies,
    LinkFault::Hold,
    LinkFault::HoldRequests,
    LinkFault::HoldReplies,
    LinkFault::Delay(Duration::from_millis(80)),
];

fn draw<'a, T>(rng: &mut SmallRng, all: &'a [T]) -> &'a T {
    &all[rng.random_range(0..all.len())]
}

/// Draws one fault and carries it out; some take a while.
pub fn fault(rng: &mut SmallRng, stage: &Stage) -> String {
    match rng.random_range(0..16) {
        kind @ 0..=3 => instance_fault(rng, stage, kind),
        kind @ 4..=8 => server_fault(rng, stage, kind),
        kind @ 9..=12 => platform_fault(rng, stage, kind),
        kind => server_says(rng, stage, kind),
    }
}

fn draw_span(rng: &mut SmallRng) -> Duration {
    Duration::from_millis(rng.random_range(100..1_500))
}

/// An instance is killed, paused, stopped, or told to read its settings again.
fn instance_fault(rng: &mut SmallRng, stage: &Stage, kind: u32) -> String {
    let n = rng.random_range(0..stage.gateways.len());
    let span = draw_span(rng);
    match kind {
        0 => {
            stage.gateway(n).kill_and_start();
            format!("kill {n}")
        }
        1 => {
            let gateway = stage.gateway(n);
            gateway.signal("-STOP");
            std::thread::sleep(span);
            gateway.signal("-CONT");
            format!("pause {n} for {span:?}")
        }
        2 => {
            let mut gateway = stage.gateway(n);
            gateway.signal("-TERM");
            gateway.wait_and_start();
            format!("stop and start {n}")
        }
        _ => {
            let gateway = stage.gateway(n);
            // Before its handler is there, the signal ends any program.
            wait_until("readiness or the limit", || gateway.is_ready());
            gateway.signal("-HUP");
            format!("signal to {n}")
        }
    }
}

/// A server fails, is cut off, slows down, turns cold or starts again.
fn server_fault(rng: &mut SmallRng, stage: &Stage, kind: u32) -> String {
    let span = draw_span(rng);
    let at = rng.random_range(0..stage.world.servers.len());
    let server = &stage.world.servers[at].1;
    match kind {
        4 => {
            let fault = *draw(rng, LINK_FAULTS);
            let link = &stage.world.links[at];
            link.set_fault(fault);
            std::thread::sleep(span);
            link.set_fault(LinkFault::None);
            format!("link of server {at} {fault:?} for {span:?}")
        }
        5 => {
            let trouble = *draw(rng, SERVER_TROUBLES);
            server.set_fault(trouble);
            std::thread::sleep(span);
            server.set_fault(ServerFault::None);
            format!("server {at} {trouble:?} for {span:?}")
        }
        6 => {
            server.set_pace(rng.random_range(100..800));
            std::thread::sleep(span);
            server.set_pace(100);
            format!("server {at} slow for {span:?}")
        }
        7 => {
            server.set_cold(span, COLD_PER_SECOND);
            std::thread::sleep(span);
            format!("server {at} cold for {span:?}")
        }
        _ => {
            let started = stage.starts.fetch_add(1, Ordering::Relaxed);
            stage.list_again(at, started);
            format!("server {at} started again at {started}")
        }
    }
}

/// A server asks for less: it names a rate limit, wants nothing for a while, or leaves and starts again.
fn server_says(rng: &mut SmallRng, stage: &Stage, kind: u32) -> String {
    let span = draw_span(rng);
    let at = rng.random_range(0..stage.world.servers.len());
    let server = &stage.world.servers[at].1;
    match kind {
        13 => {
            let limit = rng.random_range(0.0..20.0);
            server.set_limit(Some(limit));
            std::thread::sleep(span);
            server.set_limit(None);
            format!("server {at} takes {limit:.1} requests a second for {span:?}")
        }
        14 => {
            server.set_pause(Some(span));
            server.set_fault(*draw(rng, &[ServerFault::Shed, ServerFault::Busy]));
            std::thread::sleep(draw_span(rng));
            server.set_fault(ServerFault::None);
            server.set_pause(None);
            format!("server {at} wants nothing for {span:?}")
        }
        _ => {
            server.set_leaving(true);
            std::thread::sleep(span);
            server.set_leaving(false);
            let started = stage.starts.fetch_add(1, Ordering::Relaxed);
            stage.list_again(at, started);
            format!("server {at} leaves for {span:?} and starts again at {started}")
        }
    }
}

/// The store is out of reach or forgets, or the operator or another program writes there.
fn platform_fault(rng: &mut SmallRng, stage: &Stage, kind: u32) -> String {
    let span = draw_span(rng);
    match kind {
        9 => {
            let fault = *draw(rng, LINK_FAULTS);
            let n = rng.random_range(0..stage.gateways.len());
            let count = if rng.random_bool(0.5) { 1 } else { stage.gateways.len() };
            let links = || stage.store_links.iter().cycle().skip(n).take(count);
            links().for_each(|link| link.set_fault(fault));
            std::thread::sleep(span);
            links().for_each(|link| link.set_fault(LinkFault::None));
            format!("store {fault:?} for {count} from {n} for {span:?}")
        }
        10 => {
            let domain = *draw(rng, &["d1", "d2"]);
            stage.world.evacuate(domain);
            std::thread::sleep(span);
            stage.world.restore(domain);
            format!("{domain} evacuated for {span:?}")
        }
        11 => {
            let timeout = json!(rng.random_range(1_000..2_000));
            let more = rng.random_range(1..4);
            let version = stage.configure(more, &[("look", "timeout_ms", timeout)]);
            format!("configuration {version}")
        }
        _ => {
            let entries = [json!("text"), json!({ "service": 7 }), json!({ "zone": "d1" })];
            let entry = draw(rng, &entries);
            let key = format!("servers/other{}", rng.random_range(0..3));
            stage.world.store.put(&key, entry);
            stage.world.store.discard_history();
            format!("entry of another writer {entry}, history dropped")
        }
    }
}
