//! Reads the body of a request within its limits, and checks that it is complete.

use std::future::poll_fn;
use std::time::Duration;

use bytes::Bytes;
use compact_str::format_compact;
use http::{HeaderMap, header};
use rand::RngExt;
use tokio::task::consume_budget;
use web::{Budget, Reading, Shortage};
use xitca_web::body::{Body, Frame, RequestBody};

use crate::failure::{Failure, Kind};

/// Time in which most bodies that are dropped for others make room.
const MEMORY_RETRY: Duration = Duration::from_secs(1);

/// Limits of a request body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Largest size, in bytes.
    pub bytes: usize,
    /// Longest time for reading the body.
    pub time: Duration,
}

/// How the length of a request body is declared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Length {
    /// There is no body.
    None,
    /// The body has this many bytes.
    Exact(u64),
    /// The body is chunked, and a truncated body can't be detected.
    Chunked,
}

impl Length {
    /// Determines the length from the request's headers.
    pub(crate) fn from_headers(headers: &HeaderMap) -> Self {
        let length = headers
            .get(header::CONTENT_LENGTH)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse().ok());
        match length {
            _ if headers.contains_key(header::TRANSFER_ENCODING) => Length::Chunked,
            Some(length) => Length::Exact(length),
            None => Length::None,
        }
    }
}

/// Reads a body.
///
/// # Errors
/// If the body is too large, arrives too slowly or differs from its declared length, or if it was dropped
/// because `budget` is short.
pub(crate) async fn read(
    mut body: RequestBody,
    length: Length,
    budget: &Budget,
    limits: Limits,
) -> Result<Bytes, Failure> {
    if matches!(length, Length::Exact(length) if length > limits.bytes as u64) {
        return Err(too_large(limits.bytes));
    }
    let reading = read_all(&mut body, length, budget, limits.bytes);
    let bytes = tokio::time::timeout(limits.time, reading)
        .await
        .map_err(|_| timed_out(limits.time))??;
    match length {
        Length::Exact(length) if length != bytes.len() as u64 => Err(mismatch(length, bytes.len())),
        _ => Ok(bytes),
    }
}

async fn read_all(
    body: &mut RequestBody,
    length: Length,
    budget: &Budget,
    limit: usize,
) -> Result<Bytes, Failure> {
    let failure = |shortage| match shortage {
        Shortage::TooLarge => too_large(limit),
        Shortage::Dropped => dropped(),
    };
    let mut reading = Reading::new(budget, limit);
    loop {
        // Parts that have arrived together are ready without a wait. Other connections of the thread get their
        // turn between tiny ones.
        consume_budget().await;
        let frame = tokio::select! {
            biased;
            () = reading.wait_until_dropped() => return Err(dropped()),
            frame = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)) => frame,
        };
        match frame {
            None => break,
            Some(Ok(Frame::Data(data))) => {
                let is_last = length == Length::Exact(data.len() as u64);
                reading.push(data, is_last).map_err(failure)?;
            }
            Some(Ok(Frame::Trailers(_))) => {}
            Some(Err(error)) => return Err(unreadable(&error)),
        }
    }
    reading.finish().map_err(failure)
}

/// Returns the failure of a body that was dropped before its end, so that its request has not run.
fn dropped() -> Failure {
    let after = MEMORY_RETRY.mul_f64(rand::rng().random_range(0.5..1.5));
    let message = "this entry is short of memory";
    Failure::retryable(Kind::Overloaded, message, after)
}

fn too_large(limit: usize) -> Failure {
    let message = format_compact!("the body is larger than {limit} bytes");
    Failure::new(Kind::TooLarge, message)
}

fn timed_out(limit: Duration) -> Failure {
    let message = format_compact!("the body did not arrive within {} ms", limit.as_millis());
    Failure::new(Kind::BodyTimeout, message)
}

fn mismatch(declared: u64, received: usize) -> Failure {
    let message =
        format_compact!("the body ends after {received} bytes, but content-length is {declared}");
    Failure::new(Kind::Invalid, message)
}

fn unreadable(error: &xitca_web::error::BodyError) -> Failure {
    let message = format_compact!("the body can't be read: {error}");
    Failure::new(Kind::Invalid, message)
}
