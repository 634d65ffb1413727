//! Which statuses end an answer.

use http::StatusCode;

/// Reports whether an answer to a request without an upgrade may have this status (RFC 9110, section
/// 15). The HTTP client also lets through 101, and statuses beyond 599, which are invalid.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
