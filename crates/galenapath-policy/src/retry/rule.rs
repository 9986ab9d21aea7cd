//! Whether a failed request may be sent again.
//!
//! Load pattern: a service that fails or sheds, called along chains up to 11 deep. Without the rule
//! each level repeats what the level below has already repeated: three tries on 11 levels make
//! 3^11 = 177,147 requests of one. The count of attempts therefore travels with the call and back
//! with the answer (see [`AttemptCount`](super::AttemptCount)), and the rule bounds the whole chain.

use galenapath_protocol::{Micros, Verdict};

/// Most attempts on one call, over the whole chain, the first included.
///
/// Three: the second attempt meets another backend server, which mends the fault of a single one;
/// the third covers a second fault at the same time. Further ones only add load.
pub const MAX_ATTEMPTS: u32 = 3;

/// Least time that has to be left for a further attempt to be worth its work.
const MIN_TIME_LEFT: Micros = Micros::from_millis(1);

/// Kind of work, as far as repeating it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// Reads only; running it twice does no harm.
    Lookup,
    /// Changes records; must run at most once.
    Filing,
    /// A large read; running it twice does no harm, but is expensive.
    Transfer,
}

/// Whether a request that ended with `verdict` may be sent again.
///
/// `attempt` is the number of attempts made so far over the whole chain, `left` the time until the
/// caller's deadline. The retry budget has to agree as well.
pub fn may_retry(kind: RequestKind, verdict: Verdict, attempt: u32, left: Micros) -> bool {
    if attempt >= MAX_ATTEMPTS || left < MIN_TIME_LEFT {
        return false;
    }
    match (verdict, kind) {
        (Verdict::Answered, _) => false,
        (Verdict::NotRun, _) => true,
        (Verdict::MayHaveRun, RequestKind::Filing) => false,
        (Verdict::MayHaveRun, RequestKind::Lookup | RequestKind::Transfer) => true,
    }
}
