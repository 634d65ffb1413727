//! Closes a connection with a reset.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http_body_util::BodyExt;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::{Body, Observer};

/// Lets a connection be closed with a reset. Clones are about the same one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Abort {
    requested: Arc<AtomicBool>,
}

impl Abort {
    /// Returns `body`, whose error resets the connection.
    pub(crate) fn on_error_of(self, body: Body) -> Body {
        let abort = move |error| {
            self.requested.store(true, Ordering::Relaxed);
            error
        };
        body.map_err(abort).boxed_unsync()
    }
}

impl Observer for Abort {
    fn on_close(&self, stream: &TcpStream) {
        if self.requested.load(Ordering::Relaxed) {
            // An error means that the connection has already ended.
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}
