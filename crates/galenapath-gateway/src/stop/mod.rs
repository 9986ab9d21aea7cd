//! Planned stops: from the signal until the process ends.

mod course;
mod planned;
mod report;
mod signals;
mod stage;

pub(crate) use course::run;
pub(crate) use planned::{PlannedStop, stopping_answer};
pub(crate) use report::log_listener_closed;
pub(crate) use signals::{Signals, StopSignal};
pub(crate) use stage::Stage;
