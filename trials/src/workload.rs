//! Concurrent calls of many callers.

use std::sync::Arc;
use std::time::Duration;

use stand_ins::engine::Engine;
use stand_ins::load::{Call, Caller, Observation, Report};
use stand_ins::plain::Plain;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Longest wait for the end of all calls.
const CALLS_TIMEOUT: Duration = Duration::from_secs(300);

/// Calls in progress, and what the callers of the ended ones observed.
#[derive(Debug, Default)]
pub struct Workload {
    calls: JoinSet<(Call, Observation)>,
    observations: Vec<(Call, Observation)>,
}

impl Workload {
    /// Starts all of `calls` at the same time.
    pub fn start(caller: &Arc<Caller>, calls: impl IntoIterator<Item = Call>) -> Workload {
        let mut workload = Workload::default();
        for call in calls {
            workload.add(caller, call);
        }
        workload
    }

    /// Starts one more call.
    pub fn add(&mut self, caller: &Arc<Caller>, call: Call) {
        let caller = caller.clone();
        self.calls.spawn(async move {
            let observation = caller.call(&call).await;
            (call, observation)
        });
    }

    /// Waits for the end of all calls.
    ///
    /// # Panics
    /// Panics when a call has not ended after 300 s.
    pub async fn wait(&mut self) {
        let all = async {
            while let Some(result) = self.calls.join_next().await {
                self.observations
                    .push(result.expect("a caller does not panic"));
            }
        };
        let result = timeout(CALLS_TIMEOUT, all).await;
        let unfinished = self.calls.len();
        assert!(
            result.is_ok(),
            "{unfinished} calls did not end within {CALLS_TIMEOUT:?}"
        );
    }

    /// Returns the ended calls with what their callers observed.
    pub fn observations(&self) -> &[(Call, Observation)] {
        &self.observations
    }

    /// Waits for the end of all calls, and compares the callers' observations with the history of
    /// `engines` and the ledgers of `plains`.
    ///
    /// # Panics
    /// Panics when a call has not ended after 300 s.
    pub async fn report(mut self, engines: &[Engine], plains: &[Plain]) -> Report {
        self.wait().await;
        let mut report = Report::default();
        for (call, observation) in &self.observations {
            report.add(call, observation, false);
        }
        for engine in engines {
            report.check_history(&engine.history());
        }
        let ledgers: Vec<_> = plains.iter().map(Plain::ledger).collect();
        report.check_ledgers(&ledgers);
        report
    }
}
