//! Authentication of callers, and the priority of their requests.

use config::Keys;
use config::ids::AccountId;
use config::text::{Account, Priority};
use http::{HeaderMap, header};

use crate::failure::{Failure, Kind};

/// Header that names the priority of a request.
const PRIORITY_HEADER: &str = "chervilloft-priority";

/// Returns the account whose key is in the request's headers.
///
/// # Errors
/// If the request has no key, or no account has this key.
pub(crate) fn account(headers: &HeaderMap, keys: &Keys) -> Result<AccountId, Failure> {
    let value = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    let refused = |message: &str| Failure::new(Kind::Unauthorized, message);
    match key {
        None => Err(refused("header \"authorization\" must be \"Bearer KEY\"")),
        Some(key) => keys
            .account_of(key)
            .cloned()
            .ok_or_else(|| refused("no client account has this key")),
    }
}

/// Returns the priority that the request's header sets, bounded by that of the account, which is
/// also the default.
///
/// # Errors
/// If the header's value is not a priority.
pub(crate) fn priority(headers: &HeaderMap, account: &Account) -> Result<Priority, Failure> {
    let requested = match headers
        .get(PRIORITY_HEADER)
        .map(http::HeaderValue::as_bytes)
    {
        None => account.priority,
        Some(b"low") => Priority::Low,
        Some(b"normal") => Priority::Normal,
        Some(b"high") => Priority::High,
        Some(_) => {
            let message = "header \"chervilloft-priority\" must be low, normal or high";
            return Err(Failure::new(Kind::Invalid, message));
        }
    };
    Ok(requested.min(account.priority))
}
