//! The body of a streamed answer.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::sync::mpsc;
use xitca_web::body::{Body, Frame, SizeHint};

use crate::drain::Guard;

/// A response body that streams the events of a channel.
pub(crate) struct RelayBody {
    events: mpsc::Receiver<Bytes>,
    _guard: Guard,
}

impl RelayBody {
    /// Wraps a channel. An empty item marks the end of a complete stream. `guard` is held until the
    /// body is dropped.
    pub(crate) fn new(events: mpsc::Receiver<Bytes>, guard: Guard) -> Self {
        RelayBody {
            events,
            _guard: guard,
        }
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        self.events.poll_recv(cx).map(|event| match event {
            Some(event) if event.is_empty() => None,
            Some(event) => Some(Ok(Frame::Data(event))),
            // Without the end mark, the error closes the connection and the caller detects that the
            // stream is incomplete.
            None => Some(Err(std::io::ErrorKind::UnexpectedEof.into())),
        })
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Unknown
    }
}
