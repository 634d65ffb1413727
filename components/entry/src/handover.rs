//! Handover of requests from a stopping entry to another entry.
//!
//! A model request that can't be finished before a planned stop ends is handed over to another
//! entry, which finishes it and buffers the answer. The caller reconnects to any entry with the
//! same `Idempotency-Key`, or with the request's identifier as the key, and receives the complete
//! answer or the events after `Last-Event-ID`. Entries discover each other by announcements of the
//! service [`ENTRIES`], which are distributed like those of upstreams.

mod buffer;
mod lookup;
mod offer;
mod presence;
mod record;
mod replay;
mod store;
mod successor;
mod take_over;

pub use record::Record;
pub use successor::{NoSuccessor, Successor, TakeOver};

pub(crate) use lookup::{answer_lookup, collect_kept, find, follow_request, verify_follow_request};
pub(crate) use offer::Peers;
pub(crate) use presence::{Presence, run};
pub(crate) use store::Store;
pub(crate) use take_over::{fill, take_over};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Service under which entries announce themselves to each other. Operators can't define a service
/// of this name.
pub const ENTRIES: &str = "chervilloft:entries";

/// Path of buffered answers, for other entries and for callers that reconnect.
pub(crate) const PATH: &str = "/v1/kept";

/// Returns a hash of the path and body, to detect a key that is reused for another call.
pub(crate) fn fingerprint(path: &str, body: &[u8]) -> u64 {
    xxh3_64_with_seed(body, xxh3_64_with_seed(path.as_bytes(), 0))
}
