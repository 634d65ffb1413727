//! Usage reports to the cloud: the requests of each account in each window.

use std::time::Duration;

use state::claims::millis;
use state::usage::{Counts, Window};
use state::{Change, Command, Output};
use tracing::{info, warn};

use super::Duties;
use crate::clock;
use crate::external::Fence;
use crate::replica::Replica;

/// Time after the end of a window until all entries have reported their requests in it.
const REPORT_DELAY: Duration = Duration::from_millis(2_500);
/// Maximum number of past windows that are closed late, for example after a change of the duties'
/// holder. Entries repeat their counts for as many windows.
const MAX_LATE_WINDOWS: u64 = 4;

impl<R: Replica<Command = Command, Output = Output>> Duties<R> {
    /// Closes the windows that have ended, and reports the closed ones.
    pub(super) async fn report_usage(&self, term: u64, fence: &Fence) {
        let length = millis(self.node.settings.usage.window);
        let Some((_, text)) = self.node.text().filter(|_| length > 0) else {
            return;
        };
        let first_open = clock::monotonic_unix_ms().saturating_sub(millis(REPORT_DELAY)) / length;
        let first = self.node.machine.read().windows().newest() + 1;
        for window in first.max(first_open.saturating_sub(MAX_LATE_WINDOWS))..first_open {
            let mut counts = self.node.workload().counts(window);
            for account in text.accounts.keys() {
                counts.entry(account.clone()).or_default();
            }
            let closed = self
                .node
                .commit(Change::CloseWindow { window, counts })
                .await;
            if let Err(failure) = closed {
                warn!("duties: window {window} is not closed: {failure:?}");
                return;
            }
        }
        for (window, counts) in self.unreported() {
            if !self.report_window(term, fence, window, &counts).await {
                return;
            }
        }
    }

    fn unreported(&self) -> Vec<(Window, Counts)> {
        let state = self.node.machine.read();
        let windows = state.windows().unreported();
        windows
            .map(|(window, counts)| (window, counts.clone()))
            .collect()
    }

    async fn report_window(
        &self,
        term: u64,
        fence: &Fence,
        window: Window,
        counts: &Counts,
    ) -> bool {
        let call = self
            .protocol
            .encode_usage(fence, self.cloud, window, counts);
        let requests: u64 = counts.values().sum();
        match self.call(term, &call).await {
            Ok(status) if (200..300).contains(&status) => {
                info!(
                    order = fence.number,
                    window, "duties: usage reported: {requests} requests"
                );
                let _ = self.node.commit(Change::MarkReported(window)).await;
                true
            }
            Ok(status) => {
                warn!(
                    order = fence.number,
                    window, "duties: usage refused with status {status}"
                );
                false
            }
            Err(error) => {
                warn!(
                    order = fence.number,
                    window, "duties: usage not reported: {error}"
                );
                false
            }
        }
    }
}
