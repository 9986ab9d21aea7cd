//! Measuring backend servers inside a hard budget.

mod asks;
mod budget;

pub use asks::AskBudget;
pub use budget::ProbeBudget;
