//! Tells when the first byte of an answer arrives.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;
use web::Observer;

/// Whether bytes have arrived since an answer was last expected. Clones share the state.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    has_begun: Arc<watch::Sender<bool>>,
}

impl Default for Arrival {
    fn default() -> Self {
        Arrival {
            has_begun: Arc::new(watch::Sender::new(true)),
        }
    }
}

impl Arrival {
    /// Begins to wait for an answer.
    pub(super) fn expect(&self) {
        self.has_begun.send_replace(false);
    }

    /// Returns once `limit` has passed since the first byte of the answer that is expected.
    pub(super) async fn timeout(&self, limit: Duration) {
        let mut has_begun = self.has_begun.subscribe();
        loop {
            let _ = has_begun.wait_for(|begun| *begun).await;
            let expects_next = has_begun.wait_for(|begun| !*begun);
            if timeout(limit, expects_next).await.is_err() {
                return;
            }
        }
    }
}

impl Observer for Arrival {
    fn on_read(&self) {
        self.has_begun
            .send_if_modified(|begun| !std::mem::replace(begun, true));
    }
}
