//! A connection that checks a [`Cutoff`] before each write.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::Cutoff;

/// A TCP connection whose writes fail once the time for the first byte has passed.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TokioIo<TcpStream>,
    cutoff: Arc<Cutoff>,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, cutoff: Arc<Cutoff>) -> Self {
        Connection {
            stream: TokioIo::new(stream),
            cutoff,
        }
    }

    fn check(&self) -> io::Result<()> {
        match self.cutoff.allows_write(Instant::now()) {
            true => Ok(()),
            false => Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the deadline for dispatching the call has passed",
            )),
        }
    }

    fn record(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(result, Poll::Ready(Ok(count)) if count > 0) {
            self.cutoff.record_write();
        }
        result
    }
}

impl Read for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl Write for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record(result)
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
        self.check()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record(result)
    }
}
