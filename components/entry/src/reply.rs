//! The reply to a caller, passed from the upstreams' runtime to the caller's connection.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use tokio::sync::mpsc;

use crate::failure::Failure;
use crate::outcome::{self, Outcome};

/// Header with the request's identifier.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("chervilloft-request-id");
/// Header with the outcome.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static(outcome::HEADER);

/// A reply.
#[derive(Debug)]
pub(crate) struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Body,
}

/// Body of a reply.
#[derive(Debug)]
pub(crate) enum Body {
    /// The complete body.
    Full(Bytes),
    /// The complete body, which holds its reservation of memory and may be dropped while its caller does not
    /// read it.
    Held(Bytes),
    /// A stream. An empty item marks its end; without the mark, the stream is incomplete.
    Stream(mpsc::Receiver<Bytes>),
}

impl Reply {
    /// Creates a reply with a complete body.
    pub(crate) fn full(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Self {
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_str(content_type) {
            headers.insert(header::CONTENT_TYPE, value);
        }
        Reply {
            status,
            headers,
            body: Body::Full(body.into()),
        }
    }

    /// Creates a reply with a JSON body.
    pub(crate) fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Reply::full(status, "application/json", body)
    }

    /// Creates the reply that reports a failure.
    pub(crate) fn failure(failure: &Failure) -> Self {
        let mut reply = Reply::json(failure.kind.status(), failure.body());
        if let Some(Ok(value)) = failure
            .retry_after_seconds()
            .map(|seconds| HeaderValue::from_str(&seconds))
        {
            reply.headers.insert(header::RETRY_AFTER, value);
        }
        reply
    }

    /// Adds the header with the request's identifier.
    #[must_use]
    pub(crate) fn with_request(mut self, request: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(request) {
            self.headers.insert(REQUEST_ID, value);
        }
        self
    }

    /// Adds the header with the outcome.
    #[must_use]
    pub(crate) fn with_outcome(mut self, outcome: Outcome) -> Self {
        let value = HeaderValue::from_static(outcome.name());
        self.headers.insert(OUTCOME, value);
        self
    }
}
