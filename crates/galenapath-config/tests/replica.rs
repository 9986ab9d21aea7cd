//! Tests of replicas that receive heads from any source in any order, and of the stored encoding.

#![expect(clippy::unwrap_used, reason = "helpers of tests fail as the tests do")]

mod support;

use galenapath_config::{
    ApplyOutcome, AuditPage, Chain, Replica, TailLimits, Version, decode_head, decode_snapshot,
    encode_head, encode_page, encode_snapshot,
};
use proptest::prelude::*;
use support::{accept, create, long_chain, set_target};

const SMALL_LIMITS: TailLimits = TailLimits { max_records: 4, page_records: 2 };

#[test]
fn apply_older_is_stale() {
    let chains = long_chain(3, TailLimits::DEFAULT);
    let mut replica = Replica::default();
    let newest = chains[3].head().clone();
    assert_eq!(replica.apply(newest), ApplyOutcome::Advanced { from: Version(0) });
    assert_eq!(replica.apply(chains[1].head().clone()), ApplyOutcome::Stale);
    assert_eq!(replica.config(), chains[3].config());
}

#[test]
fn apply_gap_needs_snapshot() {
    let chains = long_chain(9, SMALL_LIMITS);
    let mut replica = Replica::default();
    let head = chains[9].head().clone();
    assert_eq!(replica.apply(head.clone()), ApplyOutcome::Gap { snapshot: Version(8) });
    assert_eq!(replica.version(), Version(0));
    let snapshot = chains[7].config();
    assert_eq!(snapshot.version(), Version(8));
    assert_eq!(replica.apply_from(snapshot, head), ApplyOutcome::Advanced { from: Version(0) });
    assert_eq!(replica.config(), chains[9].config());
}

#[test]
fn apply_other_chain_diverges() {
    let one = accept(&Chain::default(), &create("1", "maps"), TailLimits::DEFAULT);
    let two = accept(&Chain::default(), &create("2", "maps"), TailLimits::DEFAULT);
    let longer = accept(&two, &set_target("3", 1, "maps", 9), TailLimits::DEFAULT);
    let mut replica = Replica::default();
    replica.apply(one.head().clone());
    assert_eq!(replica.apply(two.head().clone()), ApplyOutcome::Diverged);
    assert_eq!(replica.apply(longer.head().clone()), ApplyOutcome::Diverged);
    assert_eq!(replica.config(), one.config());
}

/// The size of one change as sent by a peer, compared with the size of the whole configuration.
#[test]
fn extend_size_is_that_of_change() {
    let mut chain = Chain::default();
    for n in 0..1_400 {
        chain = accept(
            &chain,
            &create(&format!("{n:016}"), &format!("service-{n}")),
            TailLimits::DEFAULT,
        );
    }
    let chain = accept(&chain, &set_target("x", 7, "service-6", 9), TailLimits::DEFAULT);
    let head = encode_head(chain.head()).unwrap().len();
    let snapshot = encode_snapshot(chain.config()).unwrap().len();
    let last = chain.head().tail().last().unwrap().clone();
    let change = encode_page(&AuditPage { records: vec![last] }).unwrap().len();
    println!("1400 classes: head {head}, snapshot {snapshot}, one change {change} bytes");
    assert!(change < 1_024);
}

proptest! {
    /// With any heads in any order, the version never decreases and the configuration is the
    /// chain's at that version.
    #[test]
    fn apply_any_order_never_reverts(
        order in prop::collection::vec((0usize..20, any::<bool>()), 1..60),
    ) {
        let chains = long_chain(19, SMALL_LIMITS);
        let mut replica = Replica::default();
        for (at, with_config) in order {
            let before = replica.version();
            let head = chains[at].head().clone();
            match with_config {
                true => replica.apply_from(chains[at].config(), head),
                false => replica.apply(head),
            };
            prop_assert!(replica.version() >= before);
            let version = replica.version().0 as usize;
            if version > 0 {
                prop_assert_eq!(replica.config(), chains[version - 1].config());
            }
        }
    }

    /// Applying records to a replica at any version results in the same head as in the store, also
    /// if the replica has some of the records already.
    #[test]
    fn extend_any_range_matches_stored_head(from in 0usize..20, to in 0usize..20, back in 0u64..3) {
        let chains = long_chain(19, SMALL_LIMITS);
        let records: Vec<_> =
            chains.iter().map(|chain| chain.head().tail().last().unwrap().clone()).collect();
        let mut replica = Replica::default();
        replica.apply_from(chains[from].config(), chains[from].head().clone());
        let first = (from + 1).saturating_sub(back as usize);
        let offered = records.get(first..=to).unwrap_or_default();
        let applied = replica.extend(offered, SMALL_LIMITS);
        prop_assert_eq!(applied == ApplyOutcome::Stale, to <= from);
        prop_assert_eq!(replica.chain(), &chains[from.max(to)]);
        if to > from + 1 {
            let mut behind = Replica::default();
            behind.apply_from(chains[from].config(), chains[from].head().clone());
            prop_assert_eq!(
                behind.extend(&records[from + 2..=to], SMALL_LIMITS),
                ApplyOutcome::Diverged
            );
            prop_assert_eq!(behind.chain(), &chains[from]);
        }
    }

    /// Decoding an encoded value returns the original.
    #[test]
    fn encode_then_decode_is_same(changes in 0u64..20) {
        let chain = long_chain(changes, SMALL_LIMITS).pop().unwrap();
        let head = decode_head(&encode_head(chain.head()).unwrap()).unwrap();
        prop_assert_eq!(&head, chain.head());
        let config = decode_snapshot(&encode_snapshot(chain.config()).unwrap()).unwrap();
        prop_assert_eq!(&config, &**chain.config());
    }

    /// Damaged bytes never cause a panic, and truncated ones are an error.
    #[test]
    fn decode_damaged_no_panic(at in 0usize..400, byte in any::<u8>(), cut in 0usize..400) {
        let chain = long_chain(3, SMALL_LIMITS).pop().unwrap();
        let mut value = encode_head(chain.head()).unwrap();
        value[at] = byte;
        let _ = decode_head(&value);
        value.truncate(cut);
        prop_assert!(decode_head(&value).is_err());
    }
}
