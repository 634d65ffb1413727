//! The edge to the entry that goes on with a request.

use std::future::ready;
use std::net::SocketAddr;
use std::pin::Pin;

use super::Record;

/// Becomes the address of the entry that took the request over, if one did.
pub type Keeping = Pin<Box<dyn Future<Output = Option<SocketAddr>> + Send>>;

/// Finds an entry that goes on with a request.
pub trait Keeper: Send + Sync + 'static {
    /// Has a request taken over.
    fn keep(&self, record: Record) -> Keeping;
}

/// Takes nothing over.
#[derive(Clone, Copy, Debug, Default)]
pub struct Nobody;

impl Keeper for Nobody {
    fn keep(&self, record: Record) -> Keeping {
        tracing::warn!(
            request = %record.request,
            tokens = record.tokens.len(),
            "request: nobody takes it over"
        );
        Box::pin(ready(None))
    }
}
