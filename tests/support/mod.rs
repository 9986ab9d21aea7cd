//! A running instance with a stand-in for the store, scripted backend servers and plain callers.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod client;
mod instance;
mod server;

pub use client::{Answer, Client, get};
pub use instance::{Instance, Setup, command, new_dir, wait_until, write_settings};
pub use server::{FakeServer, Request, answer_ok};
