//! A TCP stream that tells when the first byte of an answer arrives.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

/// Whether bytes have arrived since an answer was last expected. Clones share the state.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    has_begun: Arc<watch::Sender<bool>>,
}

impl Default for Arrival {
    fn default() -> Self {
        Arrival {
            has_begun: Arc::new(watch::Sender::new(true)),
        }
    }
}

impl Arrival {
    /// Begins to wait for an answer.
    pub(super) fn expect(&self) {
        self.has_begun.send_replace(false);
    }

    /// Returns once `limit` has passed since the first byte of the answer that is expected.
    pub(super) async fn timeout(&self, limit: Duration) {
        let mut has_begun = self.has_begun.subscribe();
        loop {
            let _ = has_begun.wait_for(|begun| *begun).await;
            let expects_next = has_begun.wait_for(|begun| !*begun);
            if timeout(limit, expects_next).await.is_err() {
                return;
            }
        }
    }

    fn record(&self) {
        self.has_begun
            .send_if_modified(|begun| !std::mem::replace(begun, true));
    }
}

/// A TCP stream whose reads are recorded in an [`Arrival`].
#[derive(Debug)]
pub(super) struct WatchedStream {
    stream: TcpStream,
    arrival: Arrival,
}

impl WatchedStream {
    pub(super) fn new(stream: TcpStream, arrival: Arrival) -> Self {
        WatchedStream { stream, arrival }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.arrival.record();
        }
        result
    }
}

impl AsyncWrite for WatchedStream {
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
