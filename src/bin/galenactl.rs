//! The operators' command line of galenapath.

fn main() {}
