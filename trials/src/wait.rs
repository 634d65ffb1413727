//! Waits for conditions by polling.

use std::io;
use std::time::Duration;

use tokio::time::timeout;

use crate::Process;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait of [`wait_until`].
const CONDITION_TIMEOUT: Duration = Duration::from_secs(120);

/// Polls `condition` until it holds.
///
/// # Panics
/// Panics with `name`, which describes the condition, when it does not hold within 120 s.
pub async fn wait_until<C, F>(name: &str, condition: C)
where
    C: FnMut() -> F,
    F: Future<Output = bool>,
{
    let held = wait_until_within(CONDITION_TIMEOUT, condition).await;
    assert!(held, "{name} was not seen within {CONDITION_TIMEOUT:?}");
}

/// Polls `condition` until it holds, and reports whether it did within `limit`.
///
/// A condition that is still being evaluated after `limit` counts as not held.
pub async fn wait_until_within<C, F>(limit: Duration, mut condition: C) -> bool
where
    C: FnMut() -> F,
    F: Future<Output = bool>,
{
    let polling = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    timeout(limit, polling).await.is_ok()
}

/// Waits for the output of `future` as long as all of `processes` run.
///
/// # Errors
/// Fails as soon as one of them has ended; the error has its name and the last line of its log.
pub(crate) async fn while_running<F: Future>(
    processes: &[&Process],
    future: F,
) -> io::Result<F::Output> {
    tokio::select! {
        biased;
        process = find_ended(processes) => {
            let (name, line) = (process.name(), process.last_line());
            let message = format!("process \"{name}\" has ended, last line of its log: {line}");
            Err(io::Error::other(message))
        }
        output = future => Ok(output),
    }
}

async fn find_ended<'a>(processes: &[&'a Process]) -> &'a Process {
    loop {
        if let Some(process) = processes.iter().find(|process| process.has_ended()) {
            return process;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
