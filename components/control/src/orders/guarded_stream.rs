//! A TCP stream that checks for permission directly before each write.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP stream whose writes fail once `may_write` returns false.
pub(super) struct GuardedStream<F> {
    stream: TcpStream,
    may_write: F,
}

impl<F> GuardedStream<F> {
    pub(super) fn new(stream: TcpStream, may_write: F) -> Self {
        GuardedStream { stream, may_write }
    }
}

impl<F: Unpin> AsyncRead for GuardedStream<F> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(cx, buffer)
    }
}

impl<F: Fn() -> bool + Unpin> AsyncWrite for GuardedStream<F> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        match (this.may_write)() {
            true => Pin::new(&mut this.stream).poll_write(cx, bytes),
            false => Poll::Ready(Err(io::Error::other(
                "leadership was lost before the request was sent",
            ))),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
