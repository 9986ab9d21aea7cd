//! Encoding and decoding of the values in the store.

use crate::wire::{AuditPageWire, HeadWire, SnapshotWire};
use crate::{AuditPage, Config, DecodeError, Head};

/// Encodes the value of the head's key.
pub fn encode_head(head: &Head) -> Result<Vec<u8>, serde_json::Error> {
    serde_json::to_vec(&HeadWire::from(head))
}

/// Decodes the value of the head's key.
pub fn decode_head(value: &[u8]) -> Result<Head, DecodeError> {
    serde_json::from_slice::<HeadWire>(value)?.try_into()
}

/// Encodes the value of a snapshot's key.
pub fn encode_snapshot(config: &Config) -> Result<Vec<u8>, serde_json::Error> {
    serde_json::to_vec(&SnapshotWire::from(config))
}

/// Decodes the value of a snapshot's key.
pub fn decode_snapshot(value: &[u8]) -> Result<Config, DecodeError> {
    serde_json::from_slice::<SnapshotWire>(value)?.try_into()
}

/// Encodes the value of an audit page's key.
pub fn encode_page(page: &AuditPage) -> Result<Vec<u8>, serde_json::Error> {
    serde_json::to_vec(&AuditPageWire::from(page))
}

/// Decodes the value of an audit page's key.
pub fn decode_page(value: &[u8]) -> Result<AuditPage, DecodeError> {
    serde_json::from_slice::<AuditPageWire>(value)?.try_into()
}
