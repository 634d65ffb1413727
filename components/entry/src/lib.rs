//! The entry process: receives requests from callers and announcements from upstreams, routes each
//! request to an upstream and returns the complete answer to the caller.
//!
//! Callers are served by `xitca-web` on its own threads. Calls to upstreams run on a separate
//! runtime, so that they can outlive the caller's connection.

mod access;
pub mod admission;
mod admit;
mod announce;
mod body;
mod cache;
mod cause;
mod core;
pub mod dispatch;
mod drain;
mod exchange;
mod failure;
mod handler;
pub mod handover;
mod held_body;
mod incoming;
pub mod lifecycle;
mod metrics;
mod model;
mod outcome;
mod plain;
mod relay_body;
mod reply;
pub mod request_log;
mod server;
pub mod stream;
mod sync;

pub use cause::Cause;
pub use failure::{Failure, Kind};
pub use outcome::Outcome;
pub use server::{Handle, run, start, start_with};
