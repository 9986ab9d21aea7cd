//! The share of one instance in the load queries to a backend server.
//!
//! Load pattern: a fleet of machines of different sizes, in which a few carry nearly all requests
//! and many get an occasional one. An even split of the budget leaves the instances that carry the
//! load without queries: half of their sends then rely on observations up to a tenth of a second
//! old, all of them go to the server that was observed last, and a quarter of the answers are late.
//! The budget is therefore split by the request rates of the instances.

/// Fraction of a server's budget for the instances of its own failure domain. Requests cross
/// domains only where the local servers are slow or full.
const LOCAL_FRACTION: f64 = 0.5;

/// Largest fraction of a domain's queries for one instance, since another one that has just started
/// may not be known yet.
const MAX_FRACTION: f64 = 0.5;

/// Fraction of a domain's queries for an instance that serves almost no requests, or whose rate has
/// not been counted yet.
const UNCOUNTED_FRACTION: f64 = 1.0 / 6.0;

/// Fractions of the budget of one server, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueryShares {
    /// For a server of the instance's own failure domain.
    pub local: f64,
    /// For a server of another failure domain.
    pub remote: f64,
}

/// Request rates of an instance and of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServedRates {
    /// Requests per second that the instance serves; `None` while it serves almost none.
    pub own: Option<u32>,
    /// Requests per second that the other instances of its failure domain serve.
    pub others_in_domain: u32,
    /// Number of failure domains with instances, at least one.
    pub domains: u32,
}

impl QueryShares {
    /// Computes the shares of an instance, assuming about the same load in all domains.
    pub fn from_rates(rates: &ServedRates) -> Self {
        let part = match rates.own {
            Some(own) => {
                let all = own.saturating_add(rates.others_in_domain).max(1);
                (f64::from(own) / f64::from(all)).min(MAX_FRACTION)
            }
            None => UNCOUNTED_FRACTION,
        };
        match rates.domains {
            // No other instance queries the servers of domains without instances.
            0 | 1 => Self { local: part, remote: part },
            domains => Self {
                local: part * LOCAL_FRACTION,
                remote: part * (1.0 - LOCAL_FRACTION) / f64::from(domains - 1),
            },
        }
    }
}
