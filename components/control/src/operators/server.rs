//! HTTP server for operators.

use std::net::TcpListener;
use std::time::Duration;

use errors::{Error, Peer, Result, Step};
use web::ConnectionLimit;
use xitca_web::App;
use xitca_web::handler::handler_service;
use xitca_web::route::get;

use super::{Handle, routes};

/// Worker threads of the server.
const WORKER_THREADS: usize = 1;
/// Timeout of receiving a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// A running HTTP server.
pub struct Server {
    stop: Box<dyn Fn() + Send + Sync>,
}

impl Server {
    /// Starts serving on `listener`, with at most `max_connections` open connections.
    ///
    /// # Errors
    /// Fails when the socket can't be served.
    pub fn start(listener: TcpListener, node: Handle, max_connections: usize) -> Result<Server> {
        let listen = |error| Error::Io(Step::Listen, Peer::Local, error);
        let mut server = App::new()
            .with_state(node)
            .at("/healthz", get(handler_service(routes::health)))
            .at("/readyz", get(handler_service(routes::ready)))
            .at("/metrics", get(handler_service(routes::metrics)))
            .at(
                "/v1/text",
                get(handler_service(routes::text)).post(handler_service(routes::submit)),
            )
            .at("/v1/status", get(handler_service(routes::status)))
            .at("/v1/unknowns", get(handler_service(routes::unknowns)))
            .at("/v1/ledger", get(handler_service(routes::ledger)))
            .at("/v1/orders", get(handler_service(routes::orders)))
            .at(
                "/v1/rollouts",
                get(handler_service(routes::rollouts)).post(handler_service(routes::begin_rollout)),
            )
            .enclosed(ConnectionLimit::new(max_connections))
            .serve()
            .worker_threads(WORKER_THREADS)
            .request_head_timeout(HEAD_TIMEOUT)
            .disable_signal()
            .listen(listener)
            .map_err(listen)?
            .run();
        let handle = server.handle().map_err(listen)?;
        // The server owns a runtime, which must not be dropped inside another runtime.
        std::thread::spawn(move || server.wait());
        Ok(Server {
            stop: Box::new(move || handle.stop(true)),
        })
    }

    /// Stops serving.
    pub fn stop(&self) {
        (self.stop)();
    }
}
