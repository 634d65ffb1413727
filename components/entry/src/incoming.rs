//! A caller's request after its body was read.

use bytes::Bytes;
use config::ids::AccountId;
use http::{HeaderMap, Method, Uri};

/// A request with its complete body.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    /// The caller's account.
    pub account: AccountId,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Incoming {
    /// Returns the value of a header, or `None` if it is missing or not visible ASCII text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}
