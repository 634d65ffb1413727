//! Stand-ins for the systems around chervilloft, for tests, trials and measurements.
//!
//! A stand-in runs inside a test, on a port that the system assigns, or as a process of the
//! `stand-ins` command. Its responses are a function of the request, so that a test can detect
//! missing, repeated and mixed-up responses.

pub mod announcer;
pub mod cloud;
pub mod engine;
mod lifecycle;
pub mod load;
pub mod plain;
pub mod ports;
pub mod relay;
pub mod text;
pub mod web;
pub mod weights;

pub use lifecycle::Lifecycle;
