//! Answers that are proven to be whole.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use quick_error::quick_error;
use tokio::time::timeout;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Whole {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

quick_error! {
    /// Why an answer is not whole.
    #[derive(Debug)]
    pub enum WholeError {
        /// The connection failed inside the body.
        Cut(cause: hyper::Error) {
            display("the answer is cut: {cause}")
            source(cause)
        }
        /// The end of the body is marked neither by a length nor by a last chunk.
        Unbounded {
            display("the answer has neither a length nor chunks, so it may be cut")
        }
        /// The body is too large.
        TooLarge(limit: usize) {
            display("the answer is larger than {limit} bytes")
        }
        /// Nothing came for too long.
        Silent(limit: Duration) {
            display("nothing came for {} ms", limit.as_millis())
        }
    }
}

/// Reads the body of an answer.
///
/// # Errors
/// Says why the answer is not whole.
pub async fn collect(
    response: Response<Incoming>,
    limit: usize,
    silence: Duration,
) -> Result<Whole, WholeError> {
    let (head, mut body) = response.into_parts();
    if !is_bounded(&head.headers, &body) {
        return Err(WholeError::Unbounded);
    }
    let mut collected = BytesMut::new();
    loop {
        let frame = timeout(silence, body.frame())
            .await
            .map_err(|_| WholeError::Silent(silence))?;
        match frame {
            None => break,
            Some(Err(error)) => return Err(WholeError::Cut(error)),
            Some(Ok(frame)) => collected.extend_from_slice(data(&frame)),
        }
        if collected.len() > limit {
            return Err(WholeError::TooLarge(limit));
        }
    }
    Ok(Whole {
        status: head.status,
        headers: head.headers,
        body: collected.freeze(),
    })
}

fn data(frame: &http_body::Frame<Bytes>) -> &[u8] {
    frame.data_ref().map_or(&[], Bytes::as_ref)
}

fn is_bounded(headers: &HeaderMap, body: &Incoming) -> bool {
    let chunked = headers.contains_key(header::TRANSFER_ENCODING);
    chunked || body.is_end_stream() || body.size_hint().exact().is_some()
}
