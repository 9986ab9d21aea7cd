//! Which part of the questions to a backend server one instance may ask.
//!
//! Load pattern: a fleet of machines of different sizes, in which a few carry nearly all requests and
//! many see a stray one now and then. Split evenly, the budget leaves those that carry the load
//! without questions: half of their sends went out on knowledge that was up to a tenth of a second
//! old, all of them to the server that was seen last, and a quarter of the answers were late. Split
//! by the requests that each serves, the budget is where the questions are.

/// Part of a server's budget for the instances of its own failure domain; requests cross only where
/// the servers at home are slow or full.
const HOME: f64 = 0.5;

/// Largest part of a domain's questions for one instance: another one that has just started may not
/// be known yet.
const MOST: f64 = 0.5;

/// Part of a domain's questions for an instance that serves next to nothing, or whose rate has not
/// been counted yet.
const UNCOUNTED: f64 = 1.0 / 6.0;

/// Parts of the budget of one server, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AskShares {
    /// For a server of the instance's own failure domain.
    pub home: f64,
    /// For a server of another one.
    pub away: f64,
}

/// What an instance knows of the requests that it and others serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServedRates {
    /// Requests a second that the instance serves; `None` while it serves next to none.
    pub own: Option<u32>,
    /// Requests a second that the others of its failure domain serve.
    pub others_at_home: u32,
    /// Failure domains with instances, at least one.
    pub domains: u32,
}

impl AskShares {
    /// The parts of an instance. All domains are taken to carry about the same load.
    pub fn by_rates(rates: &ServedRates) -> Self {
        let part = match rates.own {
            Some(own) => {
                let all = own.saturating_add(rates.others_at_home).max(1);
                (f64::from(own) / f64::from(all)).min(MOST)
            }
            None => UNCOUNTED,
        };
        match rates.domains {
            // Nobody else asks the servers of domains without instances.
            0 | 1 => Self { home: part, away: part },
            domains => {
                Self { home: part * HOME, away: part * (1.0 - HOME) / f64::from(domains - 1) }
            }
        }
    }
}
