//! The entry process: takes requests of callers and announcements of upstreams, chooses an
//! upstream for each request, and brings the whole answer back.
//!
//! Callers are served by `xitca-web` on threads of its own; work with upstreams runs on a second
//! runtime, so that it outlives the caller's connection where it must.

mod access;
pub mod admission;
mod admit;
mod announce;
mod body;
mod cache;
mod cause;
mod connections;
mod core;
pub mod dispatch;
mod drain;
mod exchange;
mod failure;
mod handler;
pub mod handover;
mod incoming;
pub mod lifecycle;
mod metrics;
mod model;
mod outcome;
mod plain;
mod relay_body;
mod reply;
mod server;
pub mod story;
pub mod stream;
mod sync;

pub use cause::Cause;
pub use failure::{Failure, Kind};
pub use outcome::Outcome;
pub use server::{Handle, run, start, start_with};
