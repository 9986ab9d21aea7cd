//! Placement on servers whose pace changes, and who waits for them.

mod choose;
mod copies;
mod known;
mod limited_fleet;
mod patience;
mod pause;
mod placement;
mod queue;
mod rate_limit;
mod replay;
mod support;
mod warming;
