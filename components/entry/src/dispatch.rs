//! Requests to upstreams over HTTP/1.1.
//!
//! Idempotent calls use [`Client`], which pools connections and may send a request again. A
//! non-idempotent call uses [`Oneshot`], which opens a new connection and never retries.

mod answer;
mod client;
mod connection;
mod cutoff;
mod oneshot;

pub use answer::{Answer, AnswerError, collect};
pub use client::{Client, json_request};
pub use cutoff::Cutoff;
pub use oneshot::{CallError, Oneshot};

use std::time::Duration;

/// Largest head of an answer, in bytes. It also bounds the read buffer of a connection.
const MAX_HEAD_BYTES: usize = 64 * 1_024;
/// `TCP_USER_TIMEOUT` of connections to upstreams: the longest time for which sent bytes may stay
/// unacknowledged.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);
