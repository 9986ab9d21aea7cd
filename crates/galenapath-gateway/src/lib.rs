//! The gateway instance: routes each request to a backend server that answers within the route's
//! latency target.
//!
//! All work runs on one thread: callers, backend servers, other instances and the platform.
//! Decisions are made by crates without I/O (`galenapath-policy`, `galenapath-routes`,
//! `galenapath-membership`); the modules here supply their inputs and carry out the results.

mod access;
mod addresses;
mod answer;
mod attempt;
mod attempt_error;
mod body;
mod call;
mod caller;
mod clock;
mod compression;
mod configuration;
mod control;
mod crash;
mod dialect;
mod error;
mod evacuation;
mod event;
mod exchange;
mod fitness;
mod fleet;
mod forwarding;
mod gauges;
mod hedge;
mod in_flight;
mod instance;
mod intake;
mod leaving;
mod load_query;
mod logging;
mod loss_watchers;
mod metrics;
mod notices;
mod open;
mod pool;
mod probe;
mod quota;
mod rate;
mod reach;
mod relay;
mod reload;
mod reply;
mod request;
mod request_failure;
mod retry_share;
mod route_state;
mod run;
mod server_answer;
mod service;
mod services;
mod serving;
mod sharing;
mod startup;
mod state;
mod stop;
mod usage;
mod waiting;
mod watch;

pub use dialect::{AddressRequest, ControlRequest, Dialect, HeaderNames};
pub use error::GatewayError;
pub use logging::start_logging;
pub use reload::ReadSettings;
pub use run::run;
