//! A TCP stream that can be closed with a reset.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use http_body_util::BodyExt;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::Body;

/// A TCP stream that is reset when it is dropped after an abort.
#[derive(Debug)]
pub(crate) struct AbortableStream {
    stream: TcpStream,
    abort: Abort,
}

/// Aborts a stream. Clones abort the same one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Abort {
    requested: Arc<AtomicBool>,
}

impl Abort {
    /// Returns `body`, whose error aborts the stream.
    pub(crate) fn on_error_of(self, body: Body) -> Body {
        let abort = move |error| {
            self.requested.store(true, Ordering::Relaxed);
            error
        };
        body.map_err(abort).boxed_unsync()
    }
}

impl AbortableStream {
    pub(crate) fn new(stream: TcpStream) -> (Self, Abort) {
        let abort = Abort::default();
        let stream = AbortableStream {
            stream,
            abort: abort.clone(),
        };
        (stream, abort)
    }
}

impl Drop for AbortableStream {
    fn drop(&mut self) {
        if self.abort.requested.load(Ordering::Relaxed) {
            // An error means that the connection has already ended.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for AbortableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for AbortableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }
}
