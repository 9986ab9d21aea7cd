//! The gateway instance: gets each request of a route to a backend server that answers within the
//! route's target.
//!
//! One thread does everything: callers, backend servers, other instances and the platform. The
//! decisions are made by the pure crates (`galenapath-policy`, `galenapath-routes`,
//! `galenapath-membership`); the modules here feed them and carry out what they say.

mod addresses;
mod answer;
mod attempt;
mod call;
mod caller;
mod clock;
mod control;
mod crash;
mod dialect;
mod error;
mod evacuation;
mod exchange;
mod fitness;
mod fleet;
mod in_flight;
mod instance;
mod leaving;
mod load_query;
mod logging;
mod loss_watchers;
mod metrics;
mod notices;
mod packed;
mod pool;
mod probe;
mod rate;
mod relay;
mod reload;
mod reply;
mod request;
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
