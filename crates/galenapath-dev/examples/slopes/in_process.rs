//! Cost of configuration and membership at sizes that are too large to run as processes on one
//! machine.

use crate::table::Row;
use galenapath_config::{
    ChangeId, Class, ClassKind, Config, LastChange, Share, Target, Version, decode_snapshot,
    encode_snapshot,
};
use galenapath_membership::{GossipConfig, GossipMembership, Member, MemberStatus};
use galenapath_protocol::{DomainId, Incarnation, InstanceId, Micros, hash64};
use std::collections::BTreeMap;
use std::error::Error;
use std::hint::black_box;
use std::time::Instant;

/// Number of timed rounds per size; each has a probe and an update.
const ROUNDS: u64 = 10_000;

/// Measures the encoding of a configuration by the number of classes.
pub fn by_classes(sizes: &[usize]) -> Result<Vec<Row>, Box<dyn Error>> {
    sizes.iter().map(|&size| measure_classes(size)).collect()
}

fn measure_classes(size: usize) -> Result<Row, Box<dyn Error>> {
    let version = Version(size as u64);
    let mark = |n: usize| LastChange {
        revision: version,
        id: ChangeId(format!("01980000-0000-7000-8000-{n:012}")),
    };
    let marks: BTreeMap<String, LastChange> = (0..size).map(|n| (name(n), mark(n))).collect();
    let config = Config::new(version, (0..size).map(|n| class(n, version)), marks)?;
    let began = Instant::now();
    let snapshot = encode_snapshot(&config)?;
    let encoding = began.elapsed().as_secs_f64() * 1e3;
    let began = Instant::now();
    black_box(decode_snapshot(&snapshot)?);
    let decoding = began.elapsed().as_secs_f64() * 1e3;
    let columns = vec![
        ("snapshot_bytes", snapshot.len() as f64),
        ("encode_ms", encoding),
        ("decode_ms", decoding),
    ];
    Ok(Row { size, columns })
}

fn name(n: usize) -> String {
    format!("class-{n}")
}

fn class(n: usize, revision: Version) -> Class {
    let share = Share::from_f64(0.99).unwrap_or_else(|| unreachable!("0.99 is a share"));
    Class {
        name: name(n),
        service: format!("service-{}", n / 3),
        kind: ClassKind::Lookup,
        methods: vec!["GET".into()],
        path_prefix: format!("/{}", n % 3),
        target: Target { latency_ms: 50, share },
        revision,
    }
}

/// Measures the membership table by the number of members.
pub fn by_members(sizes: &[usize]) -> Vec<Row> {
    sizes.iter().map(|&size| measure_members(size)).collect()
}

fn measure_members(size: usize) -> Row {
    let list: Vec<Member> = (0..size).map(member).collect();
    let mut now = Micros::from_secs(1);
    let mut members = GossipMembership::new(GossipConfig::default(), now, list[0].clone());
    members.learn(now, &list);
    let began = Instant::now();
    for n in 0..ROUNDS {
        now = now + Micros::from_millis(500);
        if let Some(probe) = black_box(members.tick(now)) {
            members.probe_answered(now, probe.incarnation);
            black_box(members.updates_for(probe.incarnation));
        }
        let mut update = list[1 + usize::try_from(n).unwrap_or(0) % (size - 1)].clone();
        update.status_version = n;
        members.merge(now, &[update]);
    }
    let per_round = began.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64;
    Row { size, columns: vec![("us_per_probe_and_news", per_round)] }
}

fn member(n: usize) -> Member {
    let address = |port| ([10, 0, (n / 250) as u8, (n % 250) as u8], port).into();
    Member {
        id: InstanceId(format!("entry-{n}")),
        incarnation: Incarnation(hash64(1, &n.to_le_bytes())),
        domain: DomainId(format!("region-{}-domain-{}", n % 4, n % 13).into()),
        caller_address: address(7000),
        peer_address: address(7001),
        status_version: 0,
        status: MemberStatus::Live,
    }
}
