//! Requests that a stopping entry hands over to another one.
//!
//! A model request that can't be finished before a planned stop ends goes to another entry, which
//! finishes it and keeps the answer. Its caller comes back on any entry with the same
//! `Idempotency-Key`, or with the request's identifier in its place, and gets the whole answer or
//! what follows `Last-Event-ID`. Entries find each other by announcements of the service
//! [`ENTRIES`], which spread as those of upstreams do.

mod ask;
mod keeper;
mod kept;
mod offer;
mod presence;
mod record;
mod replay;
mod store;
mod take;

pub use keeper::{Keeper, Keeping, Nobody};
pub use record::Record;

pub(crate) use ask::{find, follow_request, followed_account, kept_here};
pub(crate) use offer::Peers;
pub(crate) use presence::{Presence, run};
pub(crate) use store::Store;
pub(crate) use take::{collect, take};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Service under which entries announce themselves to each other; operators can't name it.
pub const ENTRIES: &str = "chervilloft:entries";

/// Path of kept answers, for entries among each other and for callers that come back.
pub(crate) const PATH: &str = "/v1/kept";

/// Returns a number by which a key that is used for another call is found out.
pub(crate) fn fingerprint(path: &str, body: &[u8]) -> u64 {
    xxh3_64_with_seed(body, xxh3_64_with_seed(path.as_bytes(), 0))
}
