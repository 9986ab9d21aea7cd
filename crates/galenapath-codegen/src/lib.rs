//! Package of the `codegen` example, which generates Rust types from the JSON schemas under
//! `schema/`.
//!
//! It depends on no other crate of the workspace, so that it can run when generated code is missing
//! or does not compile.
