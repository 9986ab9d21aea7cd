//! What instances send each other in one piece, deflated; configurations in base64 as well.
//!
//! Load pattern: a configuration of 400 routes has 150 KB and more, and every instance takes it from
//! another one; links carry 10 Mbit/s. Its text repeats itself, so that a tenth of it is sent.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use std::io::{Error, Read, Result};

/// Largest configuration that is unpacked, in bytes: the largest value of the store, and some.
const LARGEST: usize = 4 << 20;

/// A packed configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Packed(pub(crate) String);

impl Packed {
    /// Packs the text of a configuration.
    pub(crate) fn pack(text: &[u8]) -> Self {
        // Reading from memory into memory does not fail.
        let packed = deflate(text).unwrap_or_else(|e| {
            log::error!(error:% = e; "a configuration cannot be packed");
            Vec::new()
        });
        Self(STANDARD.encode(packed))
    }

    /// The text.
    ///
    /// # Errors
    ///
    /// When this is not what [`Self::pack`] makes, or far too large.
    pub(crate) fn unpack(&self) -> Result<Vec<u8>> {
        let packed = STANDARD.decode(&self.0).map_err(Error::other)?;
        inflate(&packed, LARGEST)
    }
}

/// Deflates `bytes`, at little cost.
///
/// # Errors
///
/// When the encoder fails, which it does not on bytes in memory.
pub(crate) fn deflate(bytes: &[u8]) -> Result<Vec<u8>> {
    let mut packed = Vec::new();
    DeflateEncoder::new(bytes, Compression::fast()).read_to_end(&mut packed)?;
    Ok(packed)
}

/// Inflates `packed` up to `most` bytes.
///
/// # Errors
///
/// When this is not what [`deflate`] makes.
pub(crate) fn inflate(packed: &[u8], most: usize) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(packed).take(most as u64).read_to_end(&mut bytes)?;
    Ok(bytes)
}
