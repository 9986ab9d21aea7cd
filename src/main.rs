//! The entry instance of galenapath.

fn main() {}
