//! Tests of measuring.

mod asks;
mod budget;
mod question_times;
mod shares;
