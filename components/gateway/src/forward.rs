//! Forwards requests to another entry while this one reaches no upstream of their service.
//!
//! The entry that took a request from its caller stays in charge of it: it admits it, counts its
//! tokens, usage and retries, bounds its attempts, and resumes its stream. The other one makes a
//! single attempt on its behalf: it chooses the upstream and keeps to what this one said of pauses,
//! limits and leaving. It never forwards the request again.

mod client;
mod forwarders;
mod message;
mod server;

pub(crate) use client::{Failed, attempt};
pub use forwarders::Forwarders;
pub(crate) use message::Attempt;
pub(crate) use server::serve;
