//! Requests to upstreams over HTTP/1.1.
//!
//! Idempotent calls use [`Client`], which keeps idle connections for a short time. A
//! non-idempotent call goes through [`Once`], on a connection of its own and without retries.

mod client;
mod gate;
mod guarded;
mod once;
mod whole;

pub use client::{Client, json_request};
pub use gate::Gate;
pub use once::{Lost, Once};
pub use whole::{Whole, WholeError, collect};

use std::time::Duration;

/// Time after which the kernel gives up on bytes that the other end does not confirm.
const USER_TIMEOUT: Duration = Duration::from_secs(5);
