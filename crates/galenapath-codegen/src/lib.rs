//! Home of the `codegen` example, which turns the schemas under `schema/` into Rust types.
//!
//! It depends on no other crate of the workspace, so that it still runs when generated code is
//! missing or does not compile.
