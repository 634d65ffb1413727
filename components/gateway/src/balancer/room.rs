//! Whether the engines of a service have room for a request that the plan of admission refuses.

use std::time::{Duration, Instant};

use config::ids::ServiceId;

use super::{Balancer, Criteria};
use crate::Prompt;

/// Wait behind other requests up to which an engine counts as idle, relative to the target.
const IDLE_WAIT: f64 = 0.1;
/// Average wait behind other prompts up to which the engines of a service have room, by rank, relative
/// to the target; the last value holds for all later ranks. A single engine is often idle for a moment
/// while all of them together can't take more, and only what is more urgent should then fill it.
const ROOM_WAIT: [f64; 3] = [0.12, 0.08, 0.05];
/// Share of the places below which the engines of a service have room.
const ROOM_PLACES: f64 = 0.5;

impl Balancer {
    /// Reports whether a request of `rank` would be sent to an engine that is idle, while the engines of
    /// its service have room on the whole. `target` is that of its route.
    pub fn has_room(
        &self,
        criteria: &Criteria<'_>,
        rank: u8,
        target: Duration,
        now: Instant,
    ) -> bool {
        let usable = self.usable(criteria, now);
        let (_, Some((_, best))) = self.best(&usable, criteria, self.choices, now) else {
            return false;
        };
        let wait = best.first_event.saturating_sub(best.at_rest);
        let is_idle =
            wait <= target.mul_f64(IDLE_WAIT) && best.first_event <= criteria.limit(best.at_rest);
        let (mut requests, mut tokens, mut places) = (0.0, 0.0, 0.0);
        for (_, upstream) in &usable {
            let counted = upstream.own_work.requests + upstream.other_work.requests;
            requests += f64::from(counted);
            tokens += f64::from(upstream.queued_tokens());
            places += f64::from(upstream.slots.max(1));
        }
        let rates = self.rates(criteria.service);
        let wait_ms = tokens * rates.prefill_ms_per_token / usable.len() as f64;
        let index = usize::from(rank).min(ROOM_WAIT.len() - 1);
        let bound_ms = target.as_secs_f64() * 1_000.0 * ROOM_WAIT[index];
        is_idle && wait_ms <= bound_ms && requests < places * ROOM_PLACES
    }

    /// Returns the time in which a usual engine computes the parts of a prompt that no other prompt
    /// shares, in milliseconds.
    pub fn prompt_work_ms(&self, service: &ServiceId, prompt: &Prompt) -> f64 {
        let shared = prompt.parts.split_last().map_or(0, |(_, shared)| {
            shared.iter().map(|part| part.tokens).sum::<u32>()
        });
        let own = prompt.input_tokens.saturating_sub(shared);
        f64::from(own) * self.rates(service).prefill_ms_per_token
    }
}
