//! When a running request gets a second copy on another server.
//!
//! Load pattern: a server turns slow, or silent, while requests run there. A request that may be
//! repeated need not wait for the end of the spell; a copy on a server at its usual pace is done
//! sooner. Copies come out of the retry budget, so only those go out that gain the most.

use galenapath_protocol::Micros;

/// Latency over the usual work time after which a server that tells nothing counts as silent.
const SILENT: f32 = 3.0;
/// Part of the usual work time that has to be left for a copy to gain anything.
const LEAST_LEFT: f32 = 0.3;

/// What is known of a request that has no answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdictless {
    /// Time since it was sent.
    pub running_for: Micros,
    /// Mean time of an answer.
    pub work: Micros,
    /// Whether its server was seen to be slow since.
    pub is_slow: bool,
}

/// The rule.
#[derive(Clone, Copy, Debug, Default)]
pub struct Watchdog;

impl Watchdog {
    /// Time after which a server that has told nothing counts as silent, by the mean `work`.
    pub fn silence(work: Micros) -> Micros {
        Micros((work.0 as f32 * SILENT) as u64)
    }

    /// Whether a copy should go out now.
    pub fn wants_copy(req: &Verdictless) -> bool {
        let ran = req.running_for.0 as f32 / req.work.0.max(1) as f32;
        ran >= SILENT || (req.is_slow && ran < SILENT - LEAST_LEFT)
    }

    /// Whether the server has been silent for so long that others should avoid it.
    pub fn is_silent(req: &Verdictless) -> bool {
        !req.is_slow && req.running_for >= Self::silence(req.work)
    }
}
