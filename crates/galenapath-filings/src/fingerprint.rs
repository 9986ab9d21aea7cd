//! Request fingerprints, which are equal for requests that ask for the same work.

use xxhash_rust::xxh3::Xxh3;

/// Hash of service, method, path and body; the same in every process.
///
/// Reusing a key with another fingerprint is an error of the caller. Crash suspects are recognized
/// by their fingerprint, under any key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Computes the fingerprint of a request. Each part is preceded by its length, so that moving
    /// a byte from one part to the next changes the result.
    pub fn of(service: &str, method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [service.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }

    /// The fingerprint of the same request by a named caller, for callers whose equal requests ask
    /// for different work.
    pub fn of_caller(self, name: &str) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&self.0.to_le_bytes());
        hasher.update(name.as_bytes());
        Self(hasher.digest128())
    }
}
