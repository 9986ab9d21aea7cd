//! Tests of the `measure` module.

mod budget;
mod cross_domain;
mod probers;
mod query_shares;
mod query_times;
mod token_bucket;
