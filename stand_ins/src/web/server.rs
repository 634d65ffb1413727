//! An HTTP server that runs until its stand-in is killed.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::{Request, Response};
use crate::Lifecycle;

/// Closes the connection without a response.
#[derive(Clone, Copy, Debug)]
pub struct Disconnect;

impl fmt::Display for Disconnect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection is closed without a response")
    }
}

impl std::error::Error for Disconnect {}

/// Serves `handler` on `listen` and returns the address of the listener, with its assigned port.
///
/// # Errors
/// Fails when the listener cannot be bound.
pub async fn serve<H, F>(
    listen: SocketAddr,
    lifecycle: Lifecycle,
    handler: H,
) -> io::Result<SocketAddr>
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response, Disconnect>> + Send + 'static,
{
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    lifecycle.spawn(accept(listener, lifecycle.clone(), handler));
    Ok(address)
}

async fn accept<H, F>(listener: TcpListener, lifecycle: Lifecycle, handler: H)
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response, Disconnect>> + Send + 'static,
{
    loop {
        lifecycle.wait_until_thawed().await;
        // A failed accept affects one connection only; the next one may succeed.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        lifecycle.spawn(connection(stream, lifecycle.clone(), handler.clone()));
    }
}

async fn connection<H, F>(stream: TcpStream, lifecycle: Lifecycle, handler: H)
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response, Disconnect>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = handler(request);
        let lifecycle = lifecycle.clone();
        async move {
            lifecycle.wait_until_thawed().await;
            let answer = answer.await;
            lifecycle.wait_until_thawed().await;
            answer
        }
    });
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(cause) = served.await {
        tracing::debug!("http: connection failed: {cause}");
    }
}
