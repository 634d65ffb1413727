//! Why a request ends without an answer, and the status and error body that follow from it.

use std::time::Duration;

use compact_str::{CompactString, format_compact};
use http::StatusCode;

use crate::outcome::Outcome;

/// A failure as it is reported to the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    /// The kind of failure.
    pub kind: Kind,
    /// A sentence that describes the failure.
    pub message: CompactString,
    /// Pause before a retry, or `None` if a retry is not suggested.
    pub retry_after: Option<Duration>,
}

/// Kinds of failures.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The request is not valid.
    Invalid,
    /// The request has no valid key or signature.
    Unauthorized,
    /// The path, model or service does not exist.
    NotFound,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The call has no `Content-Length`.
    LengthRequired,
    /// The body is too large.
    TooLarge,
    /// The idempotency key was used with another request.
    KeyMismatch,
    /// Another request with the key is in progress, its answer is not available, or an announcement
    /// is outdated.
    Conflict,
    /// A limit of the account is reached.
    RateLimited,
    /// The latency target would be missed.
    Overloaded,
    /// There is no upstream, no fresh text or no answer from the control group.
    Unavailable,
    /// The process is stopping.
    Draining,
    /// The upstream failed or its answer was incomplete.
    Upstream,
    /// The upstream did not answer in time.
    Timeout,
    /// The caller disconnected.
    CallerGone,
}

impl Kind {
    /// Returns the HTTP status.
    pub fn status(self) -> StatusCode {
        match self {
            Kind::Invalid => StatusCode::BAD_REQUEST,
            Kind::Unauthorized => StatusCode::UNAUTHORIZED,
            Kind::NotFound => StatusCode::NOT_FOUND,
            Kind::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Kind::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Kind::Conflict => StatusCode::CONFLICT,
            Kind::LengthRequired => StatusCode::LENGTH_REQUIRED,
            Kind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Kind::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
            Kind::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            Kind::Overloaded | Kind::Unavailable | Kind::Draining => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Kind::Upstream | Kind::CallerGone => StatusCode::BAD_GATEWAY,
            Kind::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the code in the error body.
    pub fn code(self) -> &'static str {
        match self {
            Kind::Invalid => "invalid_request",
            Kind::Unauthorized => "invalid_api_key",
            Kind::NotFound => "not_found",
            Kind::MethodNotAllowed => "method_not_allowed",
            Kind::BodyTimeout => "body_timeout",
            Kind::Conflict => "conflict",
            Kind::LengthRequired => "length_required",
            Kind::TooLarge => "body_too_large",
            Kind::KeyMismatch => "idempotency_key_mismatch",
            Kind::RateLimited => "rate_limited",
            Kind::Overloaded => "overloaded",
            Kind::Unavailable => "unavailable",
            Kind::Draining => "draining",
            Kind::Upstream => "upstream_failed",
            Kind::Timeout => "upstream_timeout",
            Kind::CallerGone => "caller_gone",
        }
    }

    /// Returns the type in the error body, as the published API names it.
    pub fn error_type(self) -> &'static str {
        match self.status().as_u16() {
            401 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        }
    }
}

impl Failure {
    /// Creates a failure without a suggested retry.
    pub fn new(kind: Kind, message: impl Into<CompactString>) -> Self {
        Failure {
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Creates a failure after which the caller may retry the request, after the pause `after`.
    pub fn retryable(kind: Kind, message: impl Into<CompactString>, after: Duration) -> Self {
        Failure {
            retry_after: Some(after),
            ..Failure::new(kind, message)
        }
    }

    /// Returns the error body as JSON.
    pub fn body(&self) -> String {
        serde_json::json!({ "error": self.error() }).to_string()
    }

    /// Returns the JSON data of the event that ends a stream with this failure.
    pub fn event_data(&self, outcome: Outcome) -> String {
        serde_json::json!({ "error": self.error(), "outcome": outcome.name() }).to_string()
    }

    fn error(&self) -> serde_json::Value {
        serde_json::json!({
            "message": self.message.as_str(),
            "type": self.kind.error_type(),
            "code": self.kind.code(),
        })
    }

    /// Returns the value of `Retry-After` in seconds, rounded up and at least 1.
    pub fn retry_after_seconds(&self) -> Option<CompactString> {
        let seconds = |after: Duration| after.as_millis().div_ceil(1_000).max(1);
        self.retry_after
            .map(|after| format_compact!("{}", seconds(after)))
    }
}
