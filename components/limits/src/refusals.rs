//! What upstreams say about the refusals that they bear.

use std::time::{Duration, Instant};

use config::ids::ServiceId;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// What the upstreams of a service said of themselves in their answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusals {
    /// The service.
    pub service: ServiceId,
    /// Requests that each of them can refuse within a second for want of room before it falls; `None`
    /// if they are not brittle.
    pub bearable: Option<u32>,
    /// Time since it was said, in milliseconds.
    pub age_ms: u64,
}

/// The newest statement of each service's upstreams.
#[derive(Clone, Debug, Default)]
pub struct Records {
    newest: IndexMap<ServiceId, Record>,
}

/// The newest statement of a service's upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    /// As in [`Refusals`].
    pub bearable: Option<u32>,
    /// When it was said.
    pub said: Instant,
}

impl Records {
    /// Returns the newest statement of a service's upstreams.
    pub fn get(&self, service: &str) -> Option<Record> {
        self.newest.get(service).copied()
    }

    /// Replaces the newest statement of a service's upstreams, and returns the one before.
    pub fn replace(&mut self, service: &ServiceId, record: Record) -> Option<Record> {
        self.newest.insert(service.clone(), record)
    }

    /// Records what others heard. Of two statements about a service the later one counts.
    pub fn learn(&mut self, statements: &[Refusals], now: Instant) {
        for statement in statements {
            let age = Duration::from_millis(statement.age_ms);
            let said = now.checked_sub(age).unwrap_or(now);
            let known = self.newest.get(&statement.service);
            if known.is_none_or(|known| known.said < said) {
                let bearable = statement.bearable;
                self.replace(&statement.service, Record { bearable, said });
            }
        }
    }

    /// Returns the statements with their age.
    pub fn statements(&self, now: Instant) -> Vec<Refusals> {
        let statements = self.newest.iter().map(|(service, record)| {
            let age = now.saturating_duration_since(record.said);
            Refusals {
                service: service.clone(),
                bearable: record.bearable,
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            }
        });
        statements.collect()
    }

    /// Reports whether the upstreams of any service bear few refusals.
    pub fn any_bears_few(&self) -> bool {
        let mut records = self.newest.values();
        records.any(|record| record.bearable.is_some())
    }
}
