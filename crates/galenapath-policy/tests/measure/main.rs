//! Tests of measuring.

mod budget;
