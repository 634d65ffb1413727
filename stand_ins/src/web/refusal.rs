//! Why a stand-in refuses a request.

use compact_str::CompactString;
use http::StatusCode;

use super::{Response, error};

/// An error that is answered in the shape of the published API.
#[derive(Clone, Debug)]
pub struct Refusal {
    status: StatusCode,
    code: &'static str,
    message: CompactString,
}

impl Refusal {
    /// Returns a refusal with `status`, a code for programs and a message for people.
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
