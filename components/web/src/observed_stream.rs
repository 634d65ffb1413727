//! A TCP stream whose reads and whose end are observed.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Observes a TCP stream.
pub trait Observer: Unpin {
    /// Called when bytes were read.
    fn on_read(&self) {}

    /// Called before the stream is closed.
    fn on_close(&self, _stream: &TcpStream) {}
}

/// A TCP stream with its observer.
#[derive(Debug)]
pub struct ObservedStream<O: Observer> {
    stream: TcpStream,
    observer: O,
}

impl<O: Observer> ObservedStream<O> {
    /// Lets `observer` observe `stream`.
    pub fn new(stream: TcpStream, observer: O) -> Self {
        ObservedStream { stream, observer }
    }
}

impl<O: Observer> Drop for ObservedStream<O> {
    fn drop(&mut self) {
        self.observer.on_close(&self.stream);
    }
}

impl<O: Observer> AsyncRead for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.observer.on_read();
        }
        result
    }
}

impl<O: Observer> AsyncWrite for ObservedStream<O> {
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
