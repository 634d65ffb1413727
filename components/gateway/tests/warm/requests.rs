//! The way of a request from its entry to an engine.

use std::time::Duration;

use config::ids::UpstreamId;
use gateway::Prompt;
use gateway::admission;
use gateway::balancer::{Criteria, Outcome};

use crate::engine::{Job, transfer};
use crate::traffic::Kind;
use crate::world::{SERVICE, SLOT_TIME_MS, World};

/// Time within which a shared part counts as computed again, in milliseconds.
const REPEAT_MS: f64 = 10_000.0;
const MAX_TRIES: u32 = 3;

impl World {
    /// Sends a request to the engine that its entry chooses, or to others if that one is down.
    pub(crate) fn send(
        &mut self,
        entry: usize,
        kind: Kind,
        prompt: Prompt,
        arrived: f64,
        tries: u32,
        excluded: &mut Vec<UpstreamId>,
    ) {
        let now = self.now();
        for tries in tries..MAX_TRIES {
            let target = Duration::from_millis(kind.target_ms);
            let criteria = Criteria {
                service: &SERVICE.into(),
                prompt: Some(&prompt),
                excluded,
                software: None,
                hash: 0,
                work_ms: SLOT_TIME_MS,
                time_left: Duration::from_secs(5),
                max_wait: admission::max_wait_for_rank(target, kind.rank),
            };
            let Ok(choice) = self.entries[entry].choose(&criteria, now) else {
                break;
            };
            if !self.engines.contains_key(&choice.upstream) {
                self.entries[entry].record_finish(&choice, false, Outcome::Unreachable, now);
                excluded.push(choice.upstream.clone());
                continue;
            }
            let job = Job {
                entry,
                kind,
                prompt,
                choice,
                arrived,
                sent: self.now_ms as f64,
                tries,
            };
            self.accept(job);
            return;
        }
        self.totals.refused += 1;
    }

    /// Lets an engine fetch what it lacks of a prompt, or queue it.
    fn accept(&mut self, job: Job) {
        let now = self.now_ms as f64;
        let (part, tokens) = job.shared();
        let Some(index) = self.engines.get_index_of(&job.choice.upstream) else {
            return;
        };
        let from = job.choice.fetch_from;
        let source = self.engines.values().position(|e| Some(e.address) == from);
        let engine = &mut self.engines[index];
        let (Some(from), false) = (from, engine.cache.has(part)) else {
            engine.push(job);
            return;
        };
        if let Some(ready) = engine.fetched_at(part) {
            engine.fetch(job, from, ready);
            return;
        }
        match source.filter(|source| self.engines[*source].cache.has(part)) {
            Some(source) if source != index => {
                let both = self.engines.get_disjoint_indices_mut([index, source]);
                let Ok([(_, to), (_, other)]) = both else {
                    return;
                };
                let ready = transfer(to, other, tokens, now);
                to.fetch(job, from, ready);
                self.totals.fetched += f64::from(tokens);
            }
            _ => {
                self.totals.empty_fetches += 1;
                self.engines[index].push(job);
            }
        }
    }

    /// Counts the tokens that an engine computed for a prompt.
    pub(crate) fn count(&mut self, name: &UpstreamId, job: &Job, computes_shared: bool) {
        let now = self.now_ms as f64;
        let (part, tokens) = job.shared();
        self.totals.computed += f64::from(job.prompt.input_tokens - tokens);
        if !computes_shared {
            return;
        }
        self.totals.computed += f64::from(tokens);
        self.totals.shared += f64::from(tokens);
        let before = self.computed.entry(part).or_default();
        before.retain(|(_, at)| now - at < REPEAT_MS);
        if before.iter().any(|(other, _)| other != name) {
            self.totals.repeated += f64::from(tokens);
        }
        before.push((name.clone(), now));
    }
}
