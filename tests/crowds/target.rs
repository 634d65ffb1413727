//! A process under test.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use trials::{Process, wait_until_within};

/// A pending answer.
pub(crate) type Answering<'a> = Pin<Box<dyn Future<Output = bool> + Send + 'a>>;

/// A process to which a crowd is sent, with what is needed beside it.
pub(crate) trait Target: Send + Sync {
    /// Returns the process.
    fn process(&mut self) -> &mut Process;

    /// Returns the address to which clients send.
    fn address(&self) -> SocketAddr;

    /// Returns the head of a client's request without framing and without the empty line.
    fn head(&self) -> String;

    /// Sends an ordinary request, and reports whether it was answered as it should be.
    fn answers(&self) -> Answering<'_>;
}

impl dyn Target + '_ {
    /// Reports whether an ordinary request is answered within `limit`.
    pub(crate) async fn answers_within(&self, limit: Duration) -> bool {
        wait_until_within(limit, || self.answers()).await
    }

    /// Waits for an answer to an ordinary request.
    ///
    /// # Panics
    /// Panics if there is none within `limit`.
    pub(crate) async fn wait_for_answer(&self, limit: Duration) {
        let answered = self.answers_within(limit).await;
        assert!(answered, "no answer before the crowd within {limit:?}");
    }
}
