//! The interface through which another entry continues a request.

use std::future::ready;
use std::net::SocketAddr;
use std::pin::Pin;

use super::Record;

/// Resolves to the address of the entry that took over the request, or to `None` if none did.
pub type TakeOver = Pin<Box<dyn Future<Output = Option<SocketAddr>> + Send>>;

/// Finds another entry for a request that this entry can't finish.
pub trait Successor: Send + Sync + 'static {
    /// Has another entry take over the request, which it continues from `record`.
    fn take_over(&self, record: Record) -> TakeOver;
}

/// A successor that takes over no request.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoSuccessor;

impl Successor for NoSuccessor {
    fn take_over(&self, record: Record) -> TakeOver {
        tracing::warn!(
            request = %record.request,
            tokens = record.tokens.len(),
            "request: no entry took it over"
        );
        Box::pin(ready(None))
    }
}
