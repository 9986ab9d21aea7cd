//! The data path, on one thread: it accepts callers' connections and sends their requests to
//! backend servers.

mod answer;
mod attempt;
mod backend;
mod call;
mod caller;
mod commands;
mod crash;
mod dispatch;
mod dispatchers;
mod entries;
mod error_answers;
mod event;
mod explain;
mod filing;
mod filing_wait;
mod forward;
mod headers;
mod listener;
mod lookup;
mod next_request;
mod open;
mod own_paths;
mod permit;
mod plane;
mod pool;
mod prepare;
mod probes;
mod relay;
mod request;
mod request_body;
mod running;
mod service;
mod stopping;
mod stream;
mod throttle;

pub use commands::DataCommand;
pub use explain::Explanation;
pub use forward::SUCCESSOR_COUNT;
pub use listener::serve;
pub use open::{OpenCounts, Phase};
pub use plane::DataPlane;
