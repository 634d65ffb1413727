//! Results of a run.

use std::collections::HashSet;
use std::fmt;

use serde_json::{Value, json};

use super::outcome::AttemptOutcome;
use super::{Call, Latency, Observation, Outcome};
use crate::engine::{End, Record};
use crate::plain::Ledger;

const MAX_EXAMPLES: usize = 8;

/// Counts and latencies of all requests of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Number of requests sent.
    pub sent: u64,
    /// Requests with a complete and correct answer.
    pub complete: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests whose outcome is unknown to the system.
    pub unknown: u64,
    /// Requests without a complete answer or a final error.
    pub lost: u64,
    /// Requests with a wrong answer.
    pub wrong: u64,
    /// Repeated executions of idempotency keys by plain services.
    pub duplicated: u64,
    /// Executions of attempts that were refused as not run.
    pub refused_but_run: u64,
    /// Attempts of all requests.
    pub attempts: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Tokens of prompts and resumed text computed by engines.
    pub computed_tokens: u64,
    /// Tokens found by engines in their caches or in imported state.
    pub cached_tokens: u64,
    /// Tokens computed by engines for requests resumed from other engines.
    pub recomputed_tokens: u64,
    /// Requests resumed from other engines.
    pub moves: u64,
    /// The first lost and wrong requests with their failures, at most eight.
    pub examples: Vec<String>,
    /// Latencies through entries.
    pub via_entries: Latency,
    /// Latencies of direct requests to an engine.
    pub direct: Latency,
    refused_requests: HashSet<String>,
}

impl Report {
    /// Adds a request; `direct` means that it was sent to an engine without an entry.
    pub fn add(&mut self, call: &Call, observation: &Observation, direct: bool) {
        self.sent += 1;
        self.attempts += observation.attempts.len() as u64;
        self.tokens += observation.tokens as u64;
        match &observation.outcome {
            Outcome::Complete => self.complete += 1,
            Outcome::Refused => self.refused += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::Lost(reason) => {
                self.lost += 1;
                self.add_example(call, "lost", reason);
            }
            Outcome::Wrong(reason) => {
                self.wrong += 1;
                self.add_example(call, "wrong", reason);
            }
        }
        match (&observation.outcome, call, direct) {
            (Outcome::Complete, Call::Generate(_), true) => self.direct.record(observation),
            (Outcome::Complete, Call::Generate(_), false) => self.via_entries.record(observation),
            _ => {}
        }
        let refused = observation.attempts.iter().filter(|it| {
            matches!(it.outcome, AttemptOutcome::Refused(_)) && !it.request.is_empty()
        });
        self.refused_requests
            .extend(refused.map(|it| it.request.clone()));
    }

    /// Counts repeated executions, and executions of refused attempts.
    ///
    /// The ledgers of a fleet must be passed together, since a key may run on any plain service.
    pub fn check_ledgers(&mut self, ledgers: &[Ledger]) {
        let executions = ledgers.iter().flat_map(|ledger| &ledger.executions);
        let mut keys = HashSet::new();
        for execution in executions {
            let keyed = !execution.key.is_empty() && execution.method != "GET";
            if keyed && !keys.insert(&execution.key) {
                self.duplicated += 1;
            }
            if self.refused_requests.contains(&execution.request) {
                self.refused_but_run += 1;
            }
        }
    }

    /// Counts the tokens computed and cached by an engine, and the resumed requests.
    pub fn check_history(&mut self, records: &[Record]) {
        for record in records {
            self.computed_tokens += record.computed_tokens as u64;
            self.cached_tokens += record.cached_tokens as u64;
            if record.resumed_tokens > 0 {
                self.moves += 1;
                self.recomputed_tokens += record.computed_tokens as u64;
            }
        }
    }

    /// Returns the numbers of finished, cancelled and exported requests.
    pub fn count_ends(records: &[Record]) -> [usize; 3] {
        let count = |end| records.iter().filter(|it| it.end == Some(end)).count();
        [End::Finished, End::Cancelled, End::Exported].map(count)
    }

    /// Returns the counts of the outcomes as one line, named like the keys of [`Report::json`].
    pub fn counts(&self) -> String {
        format!(
            "sent {} whole {} refused {} unknown {} lost {} wrong {} doubled {} refused but run {}",
            self.sent,
            self.complete,
            self.refused,
            self.unknown,
            self.lost,
            self.wrong,
            self.duplicated,
            self.refused_but_run
        )
    }

    /// Returns the report as JSON.
    pub fn json(&self) -> Value {
        json!({
            "sent": self.sent,
            "whole": self.complete,
            "refused": self.refused,
            "unknown": self.unknown,
            "lost": self.lost,
            "wrong": self.wrong,
            "doubled": self.duplicated,
            "refused_but_run": self.refused_but_run,
            "attempts": self.attempts,
            "tokens": self.tokens,
            "computed_tokens": self.computed_tokens,
            "cached_tokens": self.cached_tokens,
            "recomputed_tokens": self.recomputed_tokens,
            "moves": self.moves,
            "examples": self.examples,
            "through_entries": self.via_entries.json(),
            "direct": self.direct.json(),
        })
    }

    /// Reports whether no request was lost, wrong, executed twice or executed despite a refusal.
    pub fn is_clean(&self) -> bool {
        self.lost + self.wrong + self.duplicated + self.refused_but_run == 0
    }

    fn add_example(&mut self, call: &Call, kind: &str, reason: &str) {
        if self.examples.len() < MAX_EXAMPLES {
            self.examples
                .push(format!("{} {kind}: {reason}", call.key()));
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ("sent", self.sent),
            ("whole", self.complete),
            ("refused as not run", self.refused),
            ("unknown", self.unknown),
            ("lost", self.lost),
            ("wrong", self.wrong),
            ("doubled", self.duplicated),
            ("refused but run", self.refused_but_run),
            ("tries", self.attempts),
            ("tokens received", self.tokens),
            ("tokens computed", self.computed_tokens),
            ("tokens cached", self.cached_tokens),
            ("streams moved", self.moves),
            ("tokens recomputed", self.recomputed_tokens),
        ];
        for (name, count) in rows {
            writeln!(f, "{name:<20} {count:>10}")?;
        }
        for (path, latency) in [("entry", &self.via_entries), ("direct", &self.direct)] {
            for (name, histogram) in latency.histograms().iter().filter(|(_, it)| !it.is_empty()) {
                let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
                let (p50, p95, p99) = (at(0.50), at(0.95), at(0.99));
                writeln!(
                    f,
                    "{path:<7} {name:<15} p50 {p50:>9.3} ms  p95 {p95:>9.3} ms  p99 {p99:>9.3} ms"
                )?;
            }
        }
        for example in &self.examples {
            writeln!(f, "{example}")?;
        }
        Ok(())
    }
}
