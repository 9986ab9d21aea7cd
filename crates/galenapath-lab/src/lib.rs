//! Simulates the decisions of gateway instances in virtual time: the production code without
//! sockets.
//!
//! A [`Deployment`] describes the servers and the requests of callers. [`simulate`] runs instances
//! that choose servers with the production [`Placement`](galenapath_policy::place::Placement) and
//! [`PlacementQueue`](galenapath_policy::place::PlacementQueue), optionally with some mechanisms
//! disabled. [`simulate_oracle`] runs a single dispatcher that knows the slots and slowdown of
//! every server at all times. With the same seed, both get the same arrivals, work and slow
//! periods, so their results differ only because of the decisions.
//!
//! Simulated: load queries before a send, load updates between instances, probes, waiting,
//! rejections, callers that retry once, slow periods, contention, and servers that shed requests.
//! Not simulated: hedging, retries after a fault and their budget, failures of instances and
//! servers, processor time, and the cost of transferring bytes.

mod callers;
mod deployment;
mod event;
mod instance;
mod oracle;
mod policy;
mod report;
mod servers;
mod simulation;
mod switch;

pub use deployment::{Burst, CallerSpec, Deployment, DeploymentError, ServerSpec, SlowPeriodSpec};
pub use oracle::simulate_oracle;
pub use policy::{Policy, Threshold};
pub use report::{Outcome, Report, Totals, Window};
pub use simulation::simulate;
pub use switch::{Switch, UnknownSwitch};
