//! Idempotency keys of filings.
//!
//! An issued key is `<incarnation>-<window>-<nonce>`: 16 hexadecimal digits, a decimal window
//! number, and a nonce that the caller appends. Any other text is a caller-chosen key.

use galenapath_protocol::Incarnation;
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

/// Separates the hashed parts, so that different parts never join to the same bytes.
const PART_SEPARATOR: [u8; 1] = [0];

/// 128-bit identity of a key within its workspace; the same in every process.
///
/// Records hold it instead of the text. If two keys collide, the fingerprints of their requests
/// still distinguish them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u128);

/// Origin of a key, which decides the instance that may dispatch it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KeyKind {
    /// The key starts with a prefix from an address response. Only `incarnation` dispatches it.
    Issued {
        /// Instance run that issued the prefix.
        incarnation: Incarnation,
        /// Key window in which the prefix was issued.
        window: u32,
    },
    /// The caller chose the whole key. A claim in the store binds it to an incarnation.
    CallerChosen,
}

/// A parsed idempotency key: 1 to 255 visible ASCII characters.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FilingKey {
    id: KeyId,
    kind: KeyKind,
}

/// A text that cannot be an idempotency key.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ParseKeyError {
    /// The text is empty.
    #[error("the idempotency key is empty")]
    Empty,
    /// The text is longer than [`FilingKey::MAX_LEN`].
    #[error("the idempotency key has {0} characters, more than {max}", max = FilingKey::MAX_LEN)]
    TooLong(usize),
    /// The text holds a character other than visible ASCII.
    #[error("the idempotency key has a character that is not visible ASCII at offset {0}")]
    NotVisible(usize),
}

impl FilingKey {
    /// Longest accepted key in bytes.
    pub const MAX_LEN: usize = 255;

    /// Parses `text` as a key of `workspace`. The same text in two workspaces is two keys.
    pub fn parse(workspace: &str, text: &str) -> Result<Self, ParseKeyError> {
        check_text(text)?;
        let mut hasher = Xxh3::new();
        hasher.update(workspace.as_bytes());
        hasher.update(&PART_SEPARATOR);
        hasher.update(text.as_bytes());
        Ok(Self { id: KeyId(hasher.digest128()), kind: kind_of(text) })
    }

    /// Identity of the key.
    pub fn id(&self) -> KeyId {
        self.id
    }

    /// Origin of the key.
    pub fn kind(&self) -> KeyKind {
        self.kind
    }

    /// Key under which the platform's store holds the claim of a caller-chosen key.
    pub fn claim_path(&self) -> String {
        format!("claims/{:032x}", self.id.0)
    }
}

impl TryFrom<&str> for FilingKey {
    type Error = ParseKeyError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        Self::parse("default", text)
    }
}

/// Formats the key prefix that an address response carries.
pub(crate) fn prefix_text(incarnation: Incarnation, window: u32) -> String {
    format!("{incarnation}-{window}-")
}

fn check_text(text: &str) -> Result<(), ParseKeyError> {
    if text.is_empty() {
        return Err(ParseKeyError::Empty);
    }
    if text.len() > FilingKey::MAX_LEN {
        return Err(ParseKeyError::TooLong(text.len()));
    }
    match text.bytes().position(|b| !b.is_ascii_graphic()) {
        Some(at) => Err(ParseKeyError::NotVisible(at)),
        None => Ok(()),
    }
}

fn kind_of(text: &str) -> KeyKind {
    parse_prefix(text).map_or(KeyKind::CallerChosen, |(incarnation, window)| KeyKind::Issued {
        incarnation,
        window,
    })
}

/// Parses the prefix of an issued key. Windows are never issued with leading zeros or a sign.
fn parse_prefix(text: &str) -> Option<(Incarnation, u32)> {
    let (incarnation, rest) = text.split_once('-')?;
    let (window, nonce) = rest.split_once('-')?;
    let canonical = window == "0" || !window.starts_with(['0', '+']);
    if nonce.is_empty() || !canonical {
        return None;
    }
    Some((incarnation.parse().ok()?, window.parse().ok()?))
}
