//! A connection that writes its first byte only through a [`Gate`].

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::Gate;

/// A TCP connection behind a gate.
#[derive(Debug)]
pub(super) struct Guarded {
    stream: TokioIo<TcpStream>,
    gate: Arc<Gate>,
}

impl Guarded {
    pub(super) fn new(stream: TcpStream, gate: Arc<Gate>) -> Self {
        Guarded {
            stream: TokioIo::new(stream),
            gate,
        }
    }

    fn check(&self) -> io::Result<()> {
        match self.gate.is_open(Instant::now()) {
            true => Ok(()),
            false => Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "the time to dispatch has passed",
            )),
        }
    }

    fn note(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(result, Poll::Ready(Ok(count)) if count > 0) {
            self.gate.wrote();
        }
        result
    }
}

impl Read for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl Write for Guarded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.note(result)
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
        self.note(result)
    }
}
