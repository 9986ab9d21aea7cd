//! Builders of test data.

#![allow(dead_code, reason = "each test binary uses some of them")]

use galenapath_config::{
    Chain, Change, ChangeId, ChangeRequest, Class, ClassKind, Share, TailLimits, Target, Version,
    propose,
};

pub fn target(latency_ms: u32) -> Target {
    Target { latency_ms, share: Share::from_f64(0.99).unwrap() }
}

pub fn class(name: &str, path_prefix: &str) -> Class {
    Class {
        name: name.into(),
        service: "timetable".into(),
        kind: ClassKind::Lookup,
        methods: vec!["GET".into()],
        path_prefix: path_prefix.into(),
        target: target(50),
        revision: Version(0),
    }
}

pub fn request(id: &str, base: u64, change: Change) -> ChangeRequest {
    ChangeRequest { id: ChangeId(id.into()), author: "ada".into(), base: Version(base), change }
}

pub fn create(id: &str, name: &str) -> ChangeRequest {
    request(id, 0, Change::CreateClass(class(name, &format!("/{name}"))))
}

pub fn set_target(id: &str, base: u64, name: &str, latency_ms: u32) -> ChangeRequest {
    request(id, base, Change::SetTarget { class: name.into(), target: target(latency_ms) })
}

pub fn remove(id: &str, base: u64, name: &str) -> ChangeRequest {
    request(id, base, Change::RemoveClass { class: name.into() })
}

/// Returns the chain after accepting `req`, which must be acceptable.
pub fn accept(chain: &Chain, req: &ChangeRequest, limits: TailLimits) -> Chain {
    let proposal = propose(chain, req, 7, limits).unwrap();
    Chain::follow(chain.config(), proposal.head).unwrap()
}

/// Returns the chains after the creation of the class `lookup` and after each of `changes` changes
/// of its target.
pub fn long_chain(changes: u64, limits: TailLimits) -> Vec<Chain> {
    let mut chains = vec![accept(&Chain::default(), &create("create", "lookup"), limits)];
    for n in 1..=changes {
        let last = chains.last().unwrap();
        let req = set_target(&format!("set-{n}"), n, "lookup", 10 + n as u32);
        chains.push(accept(last, &req, limits));
    }
    chains
}
