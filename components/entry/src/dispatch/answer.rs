//! Answers that are known to be complete.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;
use tokio::time::timeout;
use web::Framing;

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

quick_error! {
    /// Why an answer is not known to be complete.
    #[derive(Debug)]
    pub enum AnswerError {
        /// The connection failed within the body.
        Truncated(cause: hyper::Error) {
            display("the answer is cut: {cause}")
            source(cause)
        }
        /// No answer has this status.
        Status(status: StatusCode) {
            display("{status} is no status of an answer")
        }
        /// The body has neither a length nor a last chunk, so that truncation can't be detected.
        Unbounded {
            display("the answer has neither a length nor chunks, so it may be cut")
        }
        /// The body is too large.
        TooLarge(limit: usize) {
            display("the answer is larger than {limit} bytes")
        }
        /// No bytes arrived in time.
        Timeout(limit: Duration) {
            display("nothing came for {} ms", limit.as_millis())
        }
    }
}

/// Reads the body of an answer, of at most `limit` bytes. `frame_timeout` bounds the time between
/// two frames.
///
/// # Errors
/// If the answer is not known to be complete, is too large or stalls, or if its status is invalid.
pub async fn collect(
    response: Response<Incoming>,
    limit: usize,
    frame_timeout: Duration,
) -> Result<Answer, AnswerError> {
    let (head, mut body) = response.into_parts();
    if !web::is_final_status(head.status) {
        return Err(AnswerError::Status(head.status));
    }
    if Framing::of(&head.headers, &body) == Framing::Connection {
        return Err(AnswerError::Unbounded);
    }
    let mut collected = BytesMut::new();
    loop {
        let frame = timeout(frame_timeout, body.frame())
            .await
            .map_err(|_| AnswerError::Timeout(frame_timeout))?;
        match frame {
            None => break,
            Some(Err(error)) => return Err(AnswerError::Truncated(error)),
            Some(Ok(frame)) => collected.extend_from_slice(data(&frame)),
        }
        if collected.len() > limit {
            return Err(AnswerError::TooLarge(limit));
        }
    }
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body: collected.freeze(),
    })
}

fn data(frame: &http_body::Frame<Bytes>) -> &[u8] {
    frame.data_ref().map_or(&[], Bytes::as_ref)
}
