//! The work of one request that is counted at its upstream.

use std::sync::Arc;
use std::time::Instant;

use crate::Begun;
use crate::balancer::{Choice, Ended, Outcome};
use crate::call::Call;
use crate::core::{Core, lock};
use crate::samples;

/// Counts a request as in flight at its upstream until the ticket is finished or dropped. It is
/// dropped if the caller disconnects.
pub(crate) struct Ticket {
    core: Arc<Core>,
    choice: Choice,
    sent_at: Instant,
    /// When the first event came, or the first bytes of a plain answer.
    first_event: Option<Instant>,
    finished: bool,
    /// Set during a roll-out of the service.
    counted: Option<Begun>,
    /// Whether the answer is a server error, or none came.
    has_failed: bool,
}

impl Ticket {
    /// Creates the ticket of a request that the balancer has counted as sent.
    pub(crate) fn new(core: &Arc<Core>, choice: Choice) -> Self {
        Ticket {
            core: core.clone(),
            choice,
            sent_at: Instant::now(),
            first_event: None,
            finished: false,
            counted: None,
            has_failed: false,
        }
    }

    /// Creates the ticket of a request that another entry has counted.
    pub(crate) fn uncounted(core: &Arc<Core>, choice: Choice) -> Self {
        let mut ticket = Ticket::new(core, choice);
        ticket.finished = true;
        ticket
    }

    pub(crate) fn choice(&self) -> &Choice {
        &self.choice
    }

    pub(crate) fn sent_at(&self) -> Instant {
        self.sent_at
    }

    /// Counts the request as sent, if a roll-out of its service is in progress.
    pub(crate) fn count(&mut self, call: &Call) {
        let software = &self.choice.software;
        self.counted = lock(&self.core.rollouts).begin(&call.service, &call.route.name, software);
    }

    /// Records that the answer is a server error.
    pub(crate) fn record_server_error(&mut self) {
        self.has_failed = true;
    }

    /// Records that the upstream took the request.
    pub(crate) fn record_taken(&mut self) {
        if !std::mem::replace(&mut self.choice.is_taken, true) {
            lock(&self.core.balancer).record_taken(&self.choice);
        }
    }

    /// Reports whether the first event came long enough ago for the answer to have begun well.
    pub(crate) fn has_begun_well(&self) -> bool {
        self.first_event
            .is_some_and(|first| first.elapsed() >= quarantine::BEGUN_WELL)
    }

    /// Records the first event, or the first bytes of a plain answer.
    pub(crate) fn record_first_event(&mut self) {
        if self.first_event.is_none() {
            let now = Instant::now();
            self.first_event = Some(now);
            if !self.finished {
                lock(&self.core.balancer).record_first_event(&self.choice, now - self.sent_at, now);
            }
        }
    }

    /// Records that all `events` events of the answer to `call` came, to learn from.
    pub(crate) fn record_end(&self, call: &Call, events: u64) {
        let Some(first) = self.first_event.filter(|_| !self.finished) else {
            return;
        };
        let ended = Ended {
            kind: call.kind(),
            prompt: call.prompt.as_ref(),
            first_event: first - self.sent_at,
            stream: first.elapsed(),
            events,
        };
        lock(&self.core.balancer).record_end(&self.choice, &ended, Instant::now());
        let entries = lock(&self.core.retries).entries();
        let sample = samples::sample(&self.choice, ended.first_event, ended.stream, events);
        lock(&self.core.samples).add(&call.service, sample, entries);
    }

    /// Counts the request as no longer at its upstream.
    pub(crate) fn finish(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.finished, true) {
            lock(&self.core.balancer).record_finish(
                &self.choice,
                self.first_event.is_some(),
                outcome,
                Instant::now(),
            );
            self.count_end(outcome);
        }
    }

    /// Counts the request as ended.
    fn count_end(&mut self, outcome: Outcome) {
        let Some(begun) = self.counted.take() else {
            return;
        };
        let outcome = match outcome {
            Outcome::Answered if self.has_failed => Outcome::Failed,
            outcome => outcome,
        };
        let elapsed = self.sent_at.elapsed();
        lock(&self.core.rollouts).end(&begun, elapsed, outcome);
        let metrics = &self.core.metrics;
        metrics.record_rollout(&begun.service, begun.is_new, outcome);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        // The caller gave up before an answer.
        self.has_failed |= self.first_event.is_none();
        self.finish(Outcome::Answered);
    }
}
