//! Measuring backend servers inside a hard budget.

mod budget;

pub use budget::ProbeBudget;
