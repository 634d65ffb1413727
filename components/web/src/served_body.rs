//! Body of a response that keeps its connection marked as serving.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};

use crate::Body;
use crate::connections::Guard;

/// Body of a response; the connection waits for its next request once this is dropped.
pub(crate) struct ServedBody {
    body: Body,
    connection: Arc<Guard>,
}

impl ServedBody {
    pub(crate) fn new(body: Body, connection: Arc<Guard>) -> ServedBody {
        ServedBody { body, connection }
    }
}

impl http_body::Body for ServedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ServedBody {
    fn drop(&mut self) {
        self.connection.end();
    }
}
