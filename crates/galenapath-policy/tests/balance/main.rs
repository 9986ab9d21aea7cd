//! Tests of the choice of the backend server.

mod balancer;
mod choice;
mod health;
mod load;
mod path;
mod support;
