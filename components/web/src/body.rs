//! Bodies of requests and responses.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body as _;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::budget::Shortage;
use crate::{Budget, Reading};

/// Body of a response. An error closes the connection, so that the client does not take the
/// response for a complete one.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Returns a body with the given content.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    let never = |error: Infallible| match error {};
    Full::new(bytes.into()).map_err(never).boxed_unsync()
}

/// Returns an empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Limits of a request body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest size, in bytes.
    pub bytes: usize,
    /// Longest time until the body is complete.
    pub time: Duration,
}

/// Result of reading a request body.
#[derive(Debug)]
pub enum Collected {
    /// The complete body, which holds its reservation of memory.
    Complete(Bytes),
    /// The body is larger than allowed, or was announced to be.
    TooLarge,
    /// The body was dropped because the memory budget is short.
    Dropped,
    /// The connection was closed before the end of the body, or the body is malformed.
    Incomplete(hyper::Error),
    /// The body was not received in time.
    TimedOut,
}

/// Reads a complete request body within `limits` and `budget`.
pub async fn collect(body: Incoming, budget: &Budget, limits: Limits) -> Collected {
    let announced = body.size_hint().lower();
    if usize::try_from(announced).map_or(true, |announced| announced > limits.bytes) {
        return Collected::TooLarge;
    }
    match timeout(limits.time, read(body, budget, limits.bytes)).await {
        Ok(collected) => collected,
        Err(_) => Collected::TimedOut,
    }
}

async fn read(mut body: Incoming, budget: &Budget, max_bytes: usize) -> Collected {
    let mut reading = Reading::new(budget, max_bytes);
    loop {
        let frame = tokio::select! {
            biased;
            () = reading.wait_until_dropped() => return Collected::Dropped,
            frame = body.frame() => frame,
        };
        let pushed = match frame.map(|frame| frame.map(hyper::body::Frame::into_data)) {
            None => break,
            Some(Ok(Ok(data))) => reading.push(data, body.is_end_stream()),
            Some(Ok(Err(_trailers))) => continue,
            Some(Err(error)) => return Collected::Incomplete(error),
        };
        match pushed {
            Ok(()) => {}
            Err(shortage) => return shortage.into(),
        }
    }
    match reading.finish() {
        Ok(bytes) => Collected::Complete(bytes),
        Err(shortage) => shortage.into(),
    }
}

impl From<Shortage> for Collected {
    fn from(shortage: Shortage) -> Collected {
        match shortage {
            Shortage::TooLarge => Collected::TooLarge,
            Shortage::Dropped => Collected::Dropped,
        }
    }
}
