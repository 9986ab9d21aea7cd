//! Measuring backend servers inside a hard budget.

mod asks;
mod budget;
mod crossings;
mod probers;
mod question_times;
mod shares;

pub use asks::AskBudget;
pub use budget::ProbeBudget;
pub use crossings::Crossings;
pub use probers::{LimitShare, Prober, limit_share, prober, warmer};
pub use question_times::QuestionTimes;
pub use shares::{AskShares, ServedRates};
