//! Identifiers of instances, failure domains and backend servers.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use thiserror::Error;

/// Error for a text that is not a valid incarnation.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("`{text}` is not an incarnation: expected 16 hexadecimal digits")]
pub struct ParseIdentError {
    /// The invalid text.
    pub text: String,
}

/// Name of an entry instance from its settings. Stays the same after a restart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct InstanceId(pub String);

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Name of a failure domain. Clones share the text, since every server and instance has one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DomainId(pub Arc<str>);

impl fmt::Display for DomainId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Name of a backend server in the platform's list. Clones share the text, since the list, each
/// table of servers and each request contain one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BackendId(pub Arc<str>);

impl BackendId {
    /// Hash that identifies the server in messages between instances, the same in all of them.
    pub fn hash(&self) -> u64 {
        hash64(0, self.0.as_bytes())
    }

    /// Lower 32 bits of the hash, enough to make collisions between servers unlikely.
    pub fn short_hash(&self) -> u32 {
        self.hash() as u32
    }
}

impl fmt::Display for BackendId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One run of an entry instance: random, new at each start, never reused.
///
/// Its text form is 16 lower-case hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Number of hexadecimal digits in the text form.
    pub const TEXT_LEN: usize = 16;
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = ParseIdentError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bad = || ParseIdentError { text: text.to_owned() };
        let is_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != Self::TEXT_LEN || !text.bytes().all(is_hex) {
            return Err(bad());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| bad())
    }
}

/// Stable 64-bit hash of `bytes`, the same in every process (xxh3). Used for rendezvous hashing
/// and fingerprints, never for a hash map.
pub fn hash64(seed: u64, bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(bytes, seed)
}
