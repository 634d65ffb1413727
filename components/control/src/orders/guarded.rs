//! A socket that asks for permission directly before each write.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A stream on which nothing is written once `may_write` says no.
pub(super) struct Guarded<F> {
    stream: TcpStream,
    may_write: F,
}

impl<F> Guarded<F> {
    pub(super) fn new(stream: TcpStream, may_write: F) -> Self {
        Guarded { stream, may_write }
    }
}

impl<F: Unpin> AsyncRead for Guarded<F> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(cx, buffer)
    }
}

impl<F: Fn() -> bool + Unpin> AsyncWrite for Guarded<F> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        match (this.may_write)() {
            true => Pin::new(&mut this.stream).poll_write(cx, bytes),
            false => Poll::Ready(Err(io::Error::other("the lead was lost before the send"))),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
