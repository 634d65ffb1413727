//! Answers that are known to be complete.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use quick_error::quick_error;
use tokio::time::timeout;
use web::{Budget, Framing, Reading, Shortage};

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Body, which holds its reservation of memory.
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
        /// The body was dropped, or not received, because the memory budget is short.
        Dropped {
            display("this entry is short of memory for the answer")
        }
        /// No bytes arrived in time.
        Timeout(limit: Duration) {
            display("nothing came for {} ms", limit.as_millis())
        }
    }
}

/// Reads the body of an answer within `budget`, of at most `limit` bytes. `frame_timeout` bounds the time
/// between two frames.
///
/// # Errors
/// If the answer is not known to be complete, is too large or stalls, if its status is invalid, or if memory is
/// short. The upstream may have run the request in each case.
pub async fn collect(
    response: Response<Incoming>,
    budget: &Budget,
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
    let too_large_or_dropped = |shortage| match shortage {
        Shortage::TooLarge => AnswerError::TooLarge(limit),
        Shortage::Dropped => AnswerError::Dropped,
    };
    let mut reading = match body.size_hint().exact().map(usize::try_from) {
        None => Reading::new(budget, limit),
        Some(Ok(length)) if length <= limit => Reading::of_length(budget, length),
        Some(_) => return Err(AnswerError::TooLarge(limit)),
    };
    loop {
        let frame = tokio::select! {
            biased;
            () = reading.wait_until_dropped() => return Err(AnswerError::Dropped),
            frame = timeout(frame_timeout, body.frame()) => frame,
        };
        let frame = frame.map_err(|_| AnswerError::Timeout(frame_timeout))?;
        let frame = match frame {
            None => break,
            Some(frame) => frame.map_err(AnswerError::Truncated)?,
        };
        if let Ok(data) = frame.into_data() {
            let pushed = reading.push(data, body.is_end_stream());
            pushed.map_err(too_large_or_dropped)?;
        }
    }
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body: reading.finish().map_err(too_large_or_dropped)?,
    })
}
