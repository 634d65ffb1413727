//! Continues the answer to a request whose caller disconnected and can reconnect with its key.

use fleet::Control;
use tokio::sync::oneshot;

use super::relay::Relay;
use super::sink::{Sink, Wake};
use crate::failure::{Failure, Kind};
use crate::handover;

impl<C: Control> Relay<C> {
    /// Handles the end of a wait on the sink.
    ///
    /// # Errors
    /// If the caller disconnected and its answer can't be buffered.
    pub(super) fn handle_wake(&mut self, wake: Wake) -> Result<(), Failure> {
        match wake {
            Wake::Ready => Ok(()),
            Wake::Disconnected => self.detach_caller(),
        }
    }

    /// Redirects the answer, from its first token, into a buffer for a caller that reconnects.
    ///
    /// # Errors
    /// If the caller sent no key, or the answer can't be buffered.
    pub(super) fn detach_caller(&mut self) -> Result<(), Failure> {
        let gone = || Failure::new(Kind::CallerGone, "the caller left");
        if self.origin.key.is_none() {
            return Err(gone());
        }
        let buffer = self.core.buffers.insert(&self.record()).ok_or_else(gone)?;
        let (reply, receiver) = oneshot::channel();
        let guard = self.core.drain.enter();
        self.core.runtime.spawn(async move {
            let _guard = guard;
            handover::fill(buffer, receiver).await;
        });
        self.sink = Sink::new(reply, self.call.stream);
        self.emitted = 0;
        let tokens = self.assembler.tokens().len();
        tracing::info!(
            request = %self.exchange.subject.request,
            tokens,
            "request: buffering the answer for the caller that disconnected"
        );
        Ok(())
    }
}
