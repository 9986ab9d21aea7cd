//! Planned stops: when an instance that stops does what, and which requests it still takes.

mod longest_work;
mod recent_max;
mod schedule;

pub use longest_work::LongestWork;
pub use recent_max::RecentMax;
pub use schedule::{StopSchedule, StopTimes};
