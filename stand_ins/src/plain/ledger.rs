//! Ledger of the calls that a plain service executed or refused.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// All executed and all refused calls, oldest first.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Ledger {
    /// Executed calls.
    pub executions: Vec<Record>,
    /// Calls refused as not run.
    pub refused: Vec<Record>,
    /// Number of calls with incomplete bodies, which were not executed.
    #[serde(rename = "cut")]
    pub incomplete: u64,
    running: u32,
    #[serde(skip)]
    counts: IndexMap<String, u32>,
}

/// Record of one call, which was executed or refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Value of the header `Idempotency-Key`, or empty.
    pub key: String,
    /// Value of the header `Chervilloft-Request-Id`, or empty.
    pub request: String,
    /// Body, as text.
    pub body: String,
}

impl Ledger {
    /// Returns the number of executions of each idempotency key.
    pub fn by_key(&self) -> IndexMap<String, u32> {
        self.count_by(|call| &call.key)
    }

    /// Returns the number of executions of each body.
    pub fn by_body(&self) -> IndexMap<String, u32> {
        self.count_by(|call| &call.body)
    }

    /// Returns the number of running calls.
    pub fn running(&self) -> u32 {
        self.running
    }

    pub(crate) fn begin(&mut self) {
        self.running += 1;
    }

    pub(crate) fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records an execution and returns the number of executions of its key.
    pub(crate) fn record(&mut self, call: Record) -> u32 {
        let key_count = self.counts.entry(call.key.clone()).or_default();
        *key_count += 1;
        let count = *key_count;
        self.executions.push(call);
        count
    }

    fn count_by(&self, by: impl Fn(&Record) -> &String) -> IndexMap<String, u32> {
        let mut counts = IndexMap::new();
        for text in self.executions.iter().map(by).filter(|t| !t.is_empty()) {
            *counts.entry(text.clone()).or_default() += 1;
        }
        counts
    }
}
