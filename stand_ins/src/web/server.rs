//! Accepts connections and answers their requests until the stand-in dies.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::{Request, Response};
use crate::Life;

/// Closes the connection without an answer.
#[derive(Clone, Copy, Debug)]
pub struct Dropped;

impl fmt::Display for Dropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection is closed without an answer")
    }
}

impl std::error::Error for Dropped {}

/// Serves `handler` on `listen` and returns the address, whose port the system may have chosen.
///
/// # Errors
/// Fails when the socket can't be opened.
pub async fn serve<H, F>(listen: SocketAddr, life: Life, handler: H) -> io::Result<SocketAddr>
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response, Dropped>> + Send + 'static,
{
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    life.spawn(accept(listener, life.clone(), handler));
    Ok(address)
}

async fn accept<H, F>(listener: TcpListener, life: Life, handler: H)
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response, Dropped>> + Send + 'static,
{
    loop {
        life.thawed().await;
        // A failed accept concerns one connection; the next one may work.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        life.spawn(connection(stream, life.clone(), handler.clone()));
    }
}

async fn connection<H, F>(stream: TcpStream, life: Life, handler: H)
where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response, Dropped>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = handler(request);
        let life = life.clone();
        async move {
            life.thawed().await;
            let answer = answer.await;
            life.thawed().await;
            answer
        }
    });
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(cause) = served.await {
        tracing::debug!("http: connection ended: {cause}");
    }
}
