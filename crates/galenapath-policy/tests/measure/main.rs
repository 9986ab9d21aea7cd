//! Tests of measuring.

mod asks;
mod budget;
mod crossings;
mod question_times;
mod shares;
