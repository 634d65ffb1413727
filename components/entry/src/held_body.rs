//! The body of an answer that was collected within the memory budget.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use web::{Budget, Delivery};
use xitca_web::body::{Body, Frame, SizeHint};

/// A response body that is sent in parts, and may be dropped while its caller does not read it.
pub(crate) struct HeldBody(Delivery);

impl HeldBody {
    /// Wraps a body whose reservation its bytes hold.
    pub(crate) fn new(budget: &Budget, body: Bytes) -> Self {
        HeldBody(Delivery::new(budget, body))
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        // The error closes the connection before the announced end, so that the caller detects that the answer
        // is incomplete.
        let part = self.0.next_part().map(|part| part.map(Frame::Data));
        let dropped = |_| io::Error::new(io::ErrorKind::OutOfMemory, "the answer was dropped");
        Poll::Ready(part.map_err(dropped).transpose())
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::Exact(self.0.remaining() as u64)
    }
}
