//! Tests of the choice of dispatching instances.

mod addresses;
mod answer;
mod connections;
mod count;
mod rendezvous;

use galenapath_policy::dispatch::Instance;
use galenapath_protocol::{DomainId, InstanceId};

/// `count` instances, spread over `domains` failure domains.
fn instances(count: usize, domains: usize) -> Vec<Instance> {
    (0..count)
        .map(|i| Instance {
            id: InstanceId(format!("i{i}")),
            domain: DomainId(format!("d{}", i % domains).into()),
        })
        .collect()
}
