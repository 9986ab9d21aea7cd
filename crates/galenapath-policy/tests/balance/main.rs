//! Tests of the `balance` module.

mod balancer;
mod choice;
mod health;
mod load;
mod path;
mod support;
