//! Compression of messages between instances.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]
#![allow(dead_code, unreachable_pub, reason = "the module is private to the gateway")]

#[path = "../src/compression.rs"]
mod compression;

use compression::{CompressedConfig, deflate, inflate};

#[test]
fn inflate_output_over_limit_is_an_error() {
    let text = vec![b'x'; 10_000];
    let deflated = deflate(&text).unwrap();
    assert_eq!(inflate(&deflated, 10_000).unwrap(), text);
    assert!(inflate(&deflated, 9_999).is_err());
}

#[test]
fn decompress_returns_compressed_text() {
    let text = b"{\"version\":\"0000000c\"}";
    assert_eq!(CompressedConfig::compress(text).decompress().unwrap(), text);
    assert!(CompressedConfig("not base64!".into()).decompress().is_err());
}
