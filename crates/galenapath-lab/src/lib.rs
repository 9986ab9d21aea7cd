//! The decisions of a gateway played in virtual time: the code that ships, without sockets.
//!
//! A [`Deployment`] says which servers there are, how they work and what callers send. [`play`] runs
//! instances on it that choose by the shipping [`Placement`](galenapath_policy::place::Placement) and
//! [`PlacementQueue`](galenapath_policy::place::PlacementQueue), with mechanisms switched off as
//! asked; [`play_oracle`] is a single dispatcher that sees every slot and pace at once. Both get the same arrivals, work and spells
//! for a seed, so that two results of one seed differ by the decisions alone.
//!
//! Played: questions before a send, loads told between instances, probes, waiting, refusals, callers who
//! come back once, spells of slowness, crowding, servers that shed. Not played: copies, retries after a
//! fault and their budget, lost instances and servers, processor time, the cost of bytes.

mod callers;
mod deployment;
mod event;
mod instance;
mod oracle;
mod play;
mod policy;
mod report;
mod servers;
mod switch;

pub use deployment::{Burst, CallerSpec, Deployment, DeploymentError, ServerSpec, SpellSpec};
pub use oracle::play_oracle;
pub use play::play;
pub use policy::{Knob, Policy};
pub use report::{Outcome, Report, Totals, Window};
pub use switch::{Switch, UnknownSwitch};
