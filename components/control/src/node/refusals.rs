//! What upstreams say about the refusals that they bear, as entries report it to the leader.

use std::time::{Duration, Instant};

use config::ids::ServiceId;
use indexmap::IndexMap;
use limits::Refusals;

/// The last statement of each service's upstreams.
#[derive(Debug, Default)]
pub(super) struct Records {
    statements: IndexMap<ServiceId, Statement>,
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    /// Refusals within a second that the upstreams bear; `None` for any number.
    bearable: Option<u32>,
    said: Instant,
}

impl Records {
    /// Records statements. Of two about a service the later one counts.
    pub(super) fn record(&mut self, statements: &[Refusals], now: Instant) {
        for statement in statements {
            let age = Duration::from_millis(statement.age_ms);
            let said = now.checked_sub(age).unwrap_or(now);
            let known = self.statements.get(&statement.service);
            if known.is_none_or(|known| known.said < said) {
                let bearable = statement.bearable;
                let service = statement.service.clone();
                self.statements
                    .insert(service, Statement { bearable, said });
            }
        }
    }

    /// Returns the statements with their age.
    pub(super) fn statements(&self, now: Instant) -> Vec<Refusals> {
        let statements = self.statements.iter().map(|(service, statement)| {
            let age = now.saturating_duration_since(statement.said);
            Refusals {
                service: service.clone(),
                bearable: statement.bearable,
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            }
        });
        statements.collect()
    }

    /// Reports whether the upstreams of any service bear few refusals.
    pub(super) fn any_bears_few(&self) -> bool {
        let mut statements = self.statements.values();
        statements.any(|statement| statement.bearable.is_some())
    }
}
