//! Conversion of a call into requests to upstreams, and of their answers into replies and records.

use std::net::SocketAddr;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use fleet::claim::Answer as RecordedAnswer;
use http::header::{self, HeaderName};
use http::{HeaderMap, HeaderValue, Request, StatusCode, Uri};
use http_body_util::Full;
use xxhash_rust::xxh3::Xxh3;

use crate::dispatch::Answer;
use crate::failure::{Failure, Kind};
use crate::incoming::Incoming;
use crate::reply::{self, Reply};

/// Header by which a plain service declares that it did not run a call that it answers with 503.
const NOT_RUN_HEADER: &str = "chervilloft-not-run";
/// Headers that are not forwarded beside those of one connection; they are set anew.
const STRIPPED_HEADERS: [HeaderName; 3] = [header::CONTENT_LENGTH, header::EXPECT, header::HOST];

/// A call of a plain service.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// The caller's request.
    pub(super) incoming: Incoming,
    /// Path and query on the upstream.
    pub(super) path: CompactString,
    /// The request's identifier.
    pub(super) request: CompactString,
}

impl Call {
    /// Builds the request for the upstream at `address`.
    pub(super) fn request(&self, address: SocketAddr) -> Result<Request<Full<Bytes>>, Failure> {
        let invalid = |error: http::Error| {
            Failure::new(
                Kind::Invalid,
                format_compact!("the path is not valid: {error}"),
            )
        };
        let uri = Uri::builder()
            .scheme("http")
            .authority(address.to_string())
            .path_and_query(self.path.as_str())
            .build()
            .map_err(invalid)?;
        let mut request = Request::builder()
            .method(self.incoming.method.clone())
            .uri(uri)
            .body(Full::new(self.incoming.body.clone()))
            .map_err(invalid)?;
        *request.headers_mut() = end_to_end_headers(&self.incoming.headers);
        request.headers_mut().remove(header::AUTHORIZATION);
        let host = HeaderValue::from_str(&address.to_string());
        let id = HeaderValue::from_str(&self.request);
        for (name, value) in [(header::HOST, host), (reply::REQUEST_ID, id)] {
            if let Ok(value) = value {
                request.headers_mut().insert(name, value);
            }
        }
        Ok(request)
    }

    /// Returns a hash of method, path, query and body, to detect a key that is reused for another
    /// call.
    pub(super) fn fingerprint(&self) -> u64 {
        let mut hash = Xxh3::new();
        for part in [
            self.incoming.method.as_str().as_bytes(),
            self.incoming.uri.to_string().as_bytes(),
            &self.incoming.body,
        ] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.digest()
    }
}

/// Reports whether an upstream's answer is defined as not run.
pub(super) fn is_rejection(answer: &Answer) -> bool {
    let flag = answer.headers.get(NOT_RUN_HEADER);
    answer.status == StatusCode::SERVICE_UNAVAILABLE
        && flag.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"true"))
}

/// Reports whether an answer names another request: an earlier one, whose answer is written once
/// more.
pub(super) fn is_stray(answer: &Answer, request: &str) -> bool {
    let named = answer.headers.get(reply::REQUEST_ID);
    named.is_some_and(|named| named.as_bytes() != request.as_bytes())
}

/// Converts an upstream's answer into the reply to the caller.
pub(super) fn reply(answer: Answer) -> Reply {
    let mut headers = end_to_end_headers(&answer.headers);
    headers.remove(reply::OUTCOME);
    headers.remove(NOT_RUN_HEADER);
    Reply {
        status: answer.status,
        headers,
        body: reply::Body::Held(answer.body),
    }
}

/// Converts an upstream's answer into the form in which the control group records it.
pub(super) fn to_record(answer: &Answer) -> RecordedAnswer {
    let content_type = answer.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    RecordedAnswer {
        status: answer.status.as_u16(),
        content_type: content_type.unwrap_or("application/octet-stream").into(),
        body: answer.body.clone(),
    }
}

/// Converts a recorded answer into the reply to a caller.
pub(super) fn from_record(answer: RecordedAnswer) -> Reply {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    Reply::full(status, &answer.content_type, answer.body)
}

/// Returns the headers that are forwarded beyond one connection.
fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    web::remove_connection_headers(&mut forwarded);
    for name in STRIPPED_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}
