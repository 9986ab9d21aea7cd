//! Deflate compression of large messages between instances; configurations are base64-encoded as
//! well.
//!
//! Load pattern: a configuration of 400 routes has 150 KB and more, and every instance fetches it
//! from another one over links of 10 Mbit/s. Its text is repetitive, so compression reduces it to
//! about a tenth.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use std::io::{Error, Read, Result};

/// Maximum size of a decompressed configuration in bytes: the largest value of the store, with some
/// margin.
const MAX_CONFIG_LEN: usize = 4 << 20;

/// A compressed configuration, in base64.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CompressedConfig(pub(crate) String);

impl CompressedConfig {
    /// Compresses the text of a configuration.
    pub(crate) fn compress(text: &[u8]) -> Self {
        // Reading from one buffer into another does not fail.
        let deflated = deflate(text).unwrap_or_else(|e| {
            log::error!(error:% = e; "failed to compress a configuration");
            Vec::new()
        });
        Self(STANDARD.encode(deflated))
    }

    /// Returns the text of the configuration.
    ///
    /// # Errors
    ///
    /// If the contents are not valid output of [`Self::compress`], or the text is longer than
    /// `MAX_CONFIG_LEN`.
    pub(crate) fn decompress(&self) -> Result<Vec<u8>> {
        let deflated = STANDARD.decode(&self.0).map_err(Error::other)?;
        inflate(&deflated, MAX_CONFIG_LEN)
    }
}

/// Deflates `bytes` at the fastest compression level.
///
/// # Errors
///
/// If the encoder fails, which does not happen for bytes in memory.
pub(crate) fn deflate(bytes: &[u8]) -> Result<Vec<u8>> {
    let mut deflated = Vec::new();
    DeflateEncoder::new(bytes, Compression::fast()).read_to_end(&mut deflated)?;
    Ok(deflated)
}

/// Inflates `deflated`.
///
/// # Errors
///
/// If the input is not valid output of [`deflate`], or the output is longer than `max_len` bytes.
/// The part that fits would be read as a whole document.
pub(crate) fn inflate(deflated: &[u8], max_len: usize) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(deflated).take(max_len as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > max_len {
        return Err(Error::other(format!("inflates to more than {max_len} bytes")));
    }
    Ok(bytes)
}
