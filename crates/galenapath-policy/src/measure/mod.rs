//! Measuring the load of backend servers within a hard budget.

mod budget;
mod cross_domain;
mod probers;
mod query_shares;
mod query_times;
mod token_bucket;

pub use budget::ProbeBudget;
pub use cross_domain::CrossDomainSends;
pub use probers::{LimitShare, Prober, limit_share, probing_instance, warming_instance};
pub use query_shares::{QueryShares, ServedRates};
pub use query_times::QueryTimes;
pub use token_bucket::TokenBucket;
