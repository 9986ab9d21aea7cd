//! Tests of idempotency keys and fingerprints.

use galenapath_filings::{FilingKey, Fingerprint, KeyKind, ParseKeyError};
use galenapath_protocol::Incarnation;
use proptest::prelude::*;

#[test]
fn parse_limits_rejected() {
    assert_eq!(FilingKey::try_from(""), Err(ParseKeyError::Empty));
    assert_eq!(FilingKey::try_from("a b"), Err(ParseKeyError::NotVisible(1)));
    let long = "x".repeat(256);
    assert_eq!(FilingKey::try_from(long.as_str()), Err(ParseKeyError::TooLong(256)));
}

#[test]
fn parse_near_prefix_caller_chosen() {
    for text in [
        "00000000000000ff-1-",
        "00000000000000ff-01-x",
        "00000000000000ff-+1-x",
        "00000000000000FF-1-x",
        "ff-1-x",
        "00000000000000ff-4294967296-x",
    ] {
        assert_eq!(FilingKey::try_from(text).unwrap().kind(), KeyKind::CallerChosen, "{text}");
    }
}

#[test]
fn parse_other_workspace_other_identity() {
    let (a, b) = (FilingKey::parse("a", "k").unwrap(), FilingKey::parse("b", "k").unwrap());
    assert_ne!(a.id(), b.id());
    assert_ne!(a.claim_path(), b.claim_path());
}

#[test]
fn fingerprint_moved_byte_differs() {
    let a = Fingerprint::of("svc", "POST", "/a", b"bc");
    let b = Fingerprint::of("svc", "POST", "/ab", b"c");
    assert_ne!(a, b);
}

proptest! {
    #[test]
    fn parse_any_text_no_panic(text in any::<String>()) {
        let valid = (1..=255).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
        prop_assert_eq!(FilingKey::try_from(text.as_str()).is_ok(), valid);
    }

    #[test]
    fn parse_issued_same(incarnation: u64, window: u32, nonce in "[!-~]{1,64}") {
        let incarnation = Incarnation(incarnation);
        let key = FilingKey::try_from(format!("{incarnation}-{window}-{nonce}").as_str());
        prop_assert_eq!(key.map(|k| k.kind()), Ok(KeyKind::Issued { incarnation, window }));
    }

    #[test]
    fn parse_like_prefix_no_panic(text in "[0-9a-f]{14,18}-[0-9+-]{0,12}-?[a-z-]{0,4}") {
        let _ = FilingKey::try_from(text.as_str());
    }
}
