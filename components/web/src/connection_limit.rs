//! The limit of open connections of servers of `xitca-web`.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use xitca_web::service::Service;
use xitca_web::service::ready::ReadyService;

/// A middleware that accepts no more connections than its semaphore has permits.
#[derive(Clone, Debug)]
pub struct ConnectionLimit {
    permits: Arc<Semaphore>,
}

/// A service that is ready for a connection only while a permit is free.
#[derive(Debug)]
pub struct LimitedService<S> {
    inner: S,
    permits: Arc<Semaphore>,
}

impl ConnectionLimit {
    /// Creates a limit of `limit` open connections, at least one.
    pub fn new(limit: usize) -> Self {
        let permits = limit.clamp(1, Semaphore::MAX_PERMITS);
        ConnectionLimit {
            permits: Arc::new(Semaphore::new(permits)),
        }
    }
}

impl<S, E> Service<Result<S, E>> for ConnectionLimit {
    type Response = LimitedService<S>;
    type Error = E;

    async fn call(&self, inner: Result<S, E>) -> Result<Self::Response, Self::Error> {
        inner.map(|inner| LimitedService {
            inner,
            permits: self.permits.clone(),
        })
    }
}

impl<S, Req> Service<Req> for LimitedService<S>
where
    S: Service<Req>,
{
    type Response = S::Response;
    type Error = S::Error;

    async fn call(&self, request: Req) -> Result<Self::Response, Self::Error> {
        self.inner.call(request).await
    }
}

impl<S> ReadyService for LimitedService<S> {
    type Ready = Option<OwnedSemaphorePermit>;

    async fn ready(&self) -> Self::Ready {
        self.permits.clone().acquire_owned().await.ok()
    }
}
