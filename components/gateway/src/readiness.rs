//! Readiness of an entry: whether it has received a text.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

/// Lets requests wait until the first text is in force.
#[derive(Debug, Default)]
pub struct Readiness {
    ready: watch::Sender<bool>,
}

impl Readiness {
    /// Records that a text is in force.
    pub fn set(&self) {
        self.ready.send_replace(true);
    }

    /// Waits up to `limit` for the first text, and returns whether one is in force.
    pub async fn wait(&self, limit: Duration) -> bool {
        if *self.ready.borrow() {
            return true;
        }
        let mut ready = self.ready.subscribe();
        let text = timeout(limit, ready.wait_for(|ready| *ready));
        matches!(text.await, Ok(Ok(_)))
    }
}
