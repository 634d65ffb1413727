//! What the answers to requests say of their upstreams.

use std::time::{Duration, Instant};

use super::{Balancer, Choice, Outcome};
use crate::Load;

impl Balancer {
    /// Records that the first event of a request came `elapsed` after it was sent, and counts its
    /// prompt as computed.
    pub fn record_first_event(&mut self, choice: &Choice, elapsed: Duration, now: Instant) {
        if let Some(upstream) = self.upstream_of(choice) {
            upstream.record_first_event(choice, elapsed, now);
        }
    }

    /// Counts a request as no longer at its upstream. `prompt_computed` is whether its first event
    /// was recorded.
    pub fn record_finish(
        &mut self,
        choice: &Choice,
        prompt_computed: bool,
        outcome: Outcome,
        now: Instant,
    ) {
        if let Some(upstream) = self.upstream_of(choice) {
            upstream.record_finish(choice, prompt_computed, outcome, now);
        }
        if outcome != Outcome::Answered {
            self.residence.forget_unready(&choice.upstream, now);
        }
    }

    /// Records the running and waiting requests that an upstream reported in an answer.
    pub fn record_load(&mut self, choice: &Choice, running: u32, waiting: u32, now: Instant) {
        if let Some(upstream) = self.upstream_of(choice) {
            upstream.reported_load = Some((running.saturating_add(waiting), now));
        }
    }

    /// Records what an upstream stated of its load in an answer. With the first slowdown that an upstream
    /// states, its service is balanced by work unless the operators' text says otherwise.
    pub fn record_statement(&mut self, choice: &Choice, load: &Load, now: Instant) {
        self.record_load(choice, load.running, load.waiting, now);
        let Some(upstream) = self.upstream_of(choice) else {
            return;
        };
        upstream.stated = Some((*load, now));
        if let Some(slowdown) = load.slowdown {
            upstream.speed.record_slowdown(slowdown, now);
            let service = upstream.service.clone();
            self.work.record_stated(&service);
        }
    }

    /// Records that an upstream said in an answer that it takes no requests for the time `pause`.
    pub fn record_pause(&mut self, choice: &Choice, pause: Duration, now: Instant) {
        if let Some(upstream) = self.upstream_of(choice) {
            upstream.record_pause(pause, now);
        }
    }

    /// Records that an upstream said in an answer that it is leaving; it gets no more requests until
    /// it has restarted. Reports whether that was not known.
    pub fn record_leaving(&mut self, choice: &Choice) -> bool {
        let upstream = self.upstream_of(choice);
        upstream.is_some_and(|upstream| !std::mem::replace(&mut upstream.said_leaving, true))
    }
}
