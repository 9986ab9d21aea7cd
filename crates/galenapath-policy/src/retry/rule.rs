//! Whether a failed request may be retried.
//!
//! Load pattern: a service that fails or sheds load, called through chains of up to 11 levels.
//! Without this rule each level retries what the level below it has already retried: three attempts
//! on 11 levels turn one request into 3^11 = 177,147. The attempt count is therefore sent with the
//! request and returned with the answer (see [`AttemptCount`](super::AttemptCount)), and the rule
//! limits the attempts of the whole chain.

use galenapath_protocol::{Micros, Verdict};

/// Maximum number of attempts on one call over the whole chain, including the first.
///
/// Three, because the second attempt goes to another backend server, which covers the fault of a
/// single server, and the third covers a second fault at the same time. Further attempts only add
/// load.
pub const MAX_ATTEMPTS: u32 = 3;

/// Minimum remaining deadline for another attempt; with less, the answer would be too late.
const MIN_REMAINING: Micros = Micros::from_millis(1);

/// Kind of request, by how safe and how expensive it is to run it twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// Only reads; safe to run twice.
    Lookup,
    /// Changes records; non-idempotent, must run at most once.
    Filing,
    /// A large read; safe to run twice, but expensive.
    Transfer,
}

/// Returns whether a request that ended with `verdict` may be retried.
///
/// `attempt` is the number of attempts made so far over the whole chain, `remaining` the time until
/// the caller's deadline. The retry budget has to allow the retry as well.
pub fn may_retry(kind: RequestKind, verdict: Verdict, attempt: u32, remaining: Micros) -> bool {
    if attempt >= MAX_ATTEMPTS || remaining < MIN_REMAINING {
        return false;
    }
    match (verdict, kind) {
        (Verdict::Answered, _) => false,
        (Verdict::NotRun, _) => true,
        (Verdict::MayHaveRun, RequestKind::Filing) => false,
        (Verdict::MayHaveRun, RequestKind::Lookup | RequestKind::Transfer) => true,
    }
}
