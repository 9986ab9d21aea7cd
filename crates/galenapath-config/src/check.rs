//! Validation of operators' change requests, which keeps every stored value small and readable.

use crate::{Change, ChangeRequest, Class};
use thiserror::Error;

/// Maximum number of characters in a name, an identifier or a method.
pub(crate) const MAX_NAME_LEN: usize = 64;
/// Maximum number of bytes in a path prefix.
const MAX_PREFIX_BYTES: usize = 256;
/// Maximum number of methods of a class.
const MAX_METHODS: usize = 16;

/// A field of a change request that has an invalid value.
#[derive(Clone, Debug, Error, PartialEq, Eq, Hash)]
#[error("{field} {problem}")]
pub struct InvalidField {
    /// Name of the field.
    pub field: &'static str,
    /// What the value must be.
    pub problem: &'static str,
}

/// Checks all fields of a request; the error names the first invalid one.
pub(crate) fn check_request(req: &ChangeRequest) -> Result<(), InvalidField> {
    check_name("id", &req.id.0)?;
    check_author(&req.author)?;
    match &req.change {
        Change::CreateClass(class) => check_class(class),
        Change::SetTarget { class, target } => {
            check_name("class", class)?;
            check_latency(target.latency_ms)
        }
        Change::RemoveClass { class } => check_name("class", class),
    }
}

fn check_class(class: &Class) -> Result<(), InvalidField> {
    check_name("class", &class.name)?;
    check_name("service", &class.service)?;
    check_latency(class.target.latency_ms)?;
    check_methods(&class.methods)?;
    check_prefix(&class.path_prefix)
}

fn check_name(field: &'static str, name: &str) -> Result<(), InvalidField> {
    let fits = (1..=MAX_NAME_LEN).contains(&name.len());
    let plain = name.bytes().all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b));
    ensure(fits && plain, field, "must be 1 to 64 letters, digits, `.`, `_` or `-`")
}

fn check_author(author: &str) -> Result<(), InvalidField> {
    let fits = (1..=MAX_NAME_LEN).contains(&author.chars().count());
    let printable = !author.chars().any(char::is_control);
    ensure(fits && printable, "author", "must be 1 to 64 printable characters")
}

fn check_latency(latency_ms: u32) -> Result<(), InvalidField> {
    ensure(latency_ms > 0, "latency_ms", "must be at least 1")
}

fn check_methods(methods: &[String]) -> Result<(), InvalidField> {
    let upper = |m: &String| !m.is_empty() && m.bytes().all(|b| b.is_ascii_uppercase());
    let short = |m: &String| m.len() <= MAX_NAME_LEN;
    let fits = methods.len() <= MAX_METHODS && methods.iter().all(|m| upper(m) && short(m));
    ensure(fits, "methods", "must be at most 16 methods in upper case, such as `GET`")
}

fn check_prefix(prefix: &str) -> Result<(), InvalidField> {
    let plain = prefix.bytes().all(|b| b.is_ascii_graphic() && b != b'?' && b != b'#');
    let fits = prefix.starts_with('/') && prefix.len() <= MAX_PREFIX_BYTES;
    ensure(plain && fits, "path_prefix", "must be a path of at most 256 bytes that starts with `/`")
}

fn ensure(holds: bool, field: &'static str, problem: &'static str) -> Result<(), InvalidField> {
    if holds { Ok(()) } else { Err(InvalidField { field, problem }) }
}
