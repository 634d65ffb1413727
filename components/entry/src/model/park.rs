//! Goes on with an accepted answer whose caller left and can come back with its key.

use fleet::Control;
use tokio::sync::oneshot;

use super::relay::Relay;
use super::sink::{Sink, Wake};
use crate::failure::{Failure, Kind};
use crate::handover;

impl<C: Control> Relay<C> {
    /// Deals with what the caller's side did.
    ///
    /// # Errors
    /// If the caller left for good.
    pub(super) fn woken(&mut self, wake: Wake) -> Result<(), Failure> {
        match wake {
            Wake::Room => Ok(()),
            Wake::Gone => self.caller_left(),
        }
    }

    /// Keeps the answer, from its first token on, for a caller who comes back.
    ///
    /// # Errors
    /// If the caller gave no key, or its answer can't be kept.
    pub(super) fn caller_left(&mut self) -> Result<(), Failure> {
        let gone = || Failure::new(Kind::Gone, "the caller left");
        if self.origin.key.is_none() {
            return Err(gone());
        }
        let kept = self.core.kept.insert(&self.record()).ok_or_else(gone)?;
        let (reply, receiver) = oneshot::channel();
        let busy = self.core.drain.enter();
        self.core.runtime.spawn(async move {
            let _busy = busy;
            handover::collect(kept, receiver).await;
        });
        self.sink = Sink::new(reply, self.call.stream);
        self.emitted = 0;
        let tokens = self.assembler.tokens().len();
        tracing::info!(
            request = %self.exchange.subject.request,
            tokens,
            "request: kept for its caller, who left"
        );
        Ok(())
    }
}
