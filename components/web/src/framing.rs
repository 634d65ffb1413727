//! How the end of an answer is marked.

use std::fmt;

use http::{HeaderMap, header};
use hyper::body::{Body, Incoming};

/// How the end of an answer's body is marked (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// The body has a known length, or there is none.
    Length,
    /// The body is chunked, and ends with an empty chunk.
    Chunks,
    /// The body ends with its connection.
    Connection,
}

impl Framing {
    /// Determines the framing of an answer that the HTTP client has accepted.
    pub fn of(headers: &HeaderMap, body: &Incoming) -> Framing {
        let has_length = body.is_end_stream() || body.size_hint().exact().is_some();
        match has_length {
            true => Framing::Length,
            false if is_chunked(headers) => Framing::Chunks,
            false => Framing::Connection,
        }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Connection => "connection",
        })
    }
}

/// Reports whether `chunked` is the last transfer coding. After any other one, the body ends with
/// its connection.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back();
    let codings = last.and_then(|value| value.to_str().ok());
    let last = codings.and_then(|codings| codings.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
