//! Configurations on their way between instances: deflated, in base64.
//!
//! Load pattern: a configuration of 400 routes has 150 KB and more, and every instance takes it from
//! another one; links carry 10 Mbit/s. Its text repeats itself, so that a tenth of it is sent.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use std::io::{Error, Read, Result};

/// Largest configuration that is unpacked, in bytes: the largest value of the store, and some.
const LARGEST: u64 = 4 << 20;

/// Packs a configuration.
pub(crate) fn pack(config: &[u8]) -> String {
    let mut packed = Vec::new();
    // Reading from memory into memory does not fail.
    if let Err(e) = DeflateEncoder::new(config, Compression::fast()).read_to_end(&mut packed) {
        log::error!(error:% = e; "a configuration cannot be packed");
    }
    STANDARD.encode(packed)
}

/// Unpacks a configuration.
///
/// # Errors
///
/// When the text is not what [`pack`] makes, or far too large.
pub(crate) fn unpack(packed: &str) -> Result<Vec<u8>> {
    let packed = STANDARD.decode(packed).map_err(Error::other)?;
    let mut config = Vec::new();
    DeflateDecoder::new(&packed[..]).take(LARGEST).read_to_end(&mut config)?;
    Ok(config)
}
