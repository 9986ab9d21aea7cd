//! Tests of measuring.

mod asks;
mod budget;
mod crossings;
mod probers;
mod question_times;
mod shares;
