//! The body of a relayed answer, as the HTTP server reads it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use super::{Relay, State};

impl Relay {
    /// Reads the upstream's answer until there are bytes for the caller or the state changes.
    fn poll_source(&mut self, cx: &mut Context<'_>) -> Poll<Bytes> {
        let State::Reading(source) = &mut self.state else {
            return Poll::Ready(Bytes::new());
        };
        let frame = match Pin::new(&mut source.body).poll_frame(cx) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                return self.bounds.poll_event_timeout(cx).map(|limit| {
                    self.handle_failure(&format!("an event did not end within {limit:?}"));
                    Bytes::new()
                });
            }
        };
        Poll::Ready(match frame.map(|frame| frame.map(Frame::into_data)) {
            Some(Ok(Ok(data))) => self.handle_data(data),
            Some(Ok(Err(_trailers))) => Bytes::new(),
            Some(Err(error)) => {
                self.handle_failure(&error.to_string());
                Bytes::new()
            }
            None => {
                self.handle_end();
                Bytes::new()
            }
        })
    }
}

impl Body for Relay {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = self.get_mut();
        this.bounds.resume();
        if this.deadline.as_mut().poll(cx).is_ready() && !matches!(this.state, State::Done) {
            this.state = State::Done;
            this.log_outcome("cut-at-deadline");
            return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        }
        if let Some(recording) = &mut this.recording {
            std::task::ready!(recording.as_mut().poll(cx));
            this.recording = None;
        }
        loop {
            match &mut this.state {
                State::Done => return Poll::Ready(None),
                State::Broken(detail) => {
                    let error = io::Error::other(std::mem::take(detail));
                    this.state = State::Done;
                    this.log_outcome("broken");
                    return Poll::Ready(Some(Err(error)));
                }
                State::Resuming(resuming) => {
                    let resumed = std::task::ready!(resuming.as_mut().poll(cx));
                    this.handle_resumed(resumed);
                }
                State::Reading(_) => {
                    let data = std::task::ready!(this.poll_source(cx));
                    if !data.is_empty() {
                        this.bounds.pause();
                        return Poll::Ready(Some(Ok(Frame::data(data))));
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.state, State::Done) && self.request_log.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
