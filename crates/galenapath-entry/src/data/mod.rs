//! The data path: callers' connections in, backend servers out, on one thread.

mod answer;
mod attempt;
mod backend;
mod call;
mod caller;
mod commands;
mod crash;
mod dispatch;
mod dispatching;
mod entries;
mod explain;
mod filing;
mod filing_wait;
mod forward;
mod headers;
mod listener;
mod lookup;
mod pace;
mod permit;
mod plane;
mod pool;
mod prepare;
mod probes;
mod refusal;
mod relay;
mod request;
mod service;
mod stream;

pub use commands::DataCommand;
pub use explain::Explanation;
pub use forward::SUCCESSORS;
pub use listener::serve;
pub use plane::DataPlane;
