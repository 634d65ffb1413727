//! Error responses of stand-ins.

use compact_str::CompactString;
use http::StatusCode;

use super::{Response, error};

/// An error that becomes a response in the format of the published API.
#[derive(Clone, Debug)]
pub struct Refusal {
    status: StatusCode,
    code: &'static str,
    message: CompactString,
}

impl Refusal {
    /// Returns a refusal with a status, a machine-readable code and a human-readable message.
    pub fn new(status: StatusCode, code: &'static str, message: &str) -> Refusal {
        Refusal {
            status,
            code,
            message: message.into(),
        }
    }
}

impl From<Refusal> for Response {
    fn from(refusal: Refusal) -> Response {
        error(refusal.status, refusal.code, &refusal.message)
    }
}
