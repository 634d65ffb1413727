//! Retry budget: one entry's share of the retries allowed to all entries.

use std::fmt;
use std::time::{Duration, Instant};

use config::ids::ServiceId;
use config::settings;
use indexmap::IndexMap;

/// Number of slices into which the window is divided.
const SLICES: usize = 10;
/// Share of the bound that is granted; the margin keeps the retries of all entries together below
/// the bound.
const USED_SHARE: f64 = 0.7;

/// Requests and retries of each service at this entry.
#[derive(Debug)]
pub struct Retries {
    settings: settings::Retries,
    /// Number of entries that share the bound.
    entries: u32,
    services: IndexMap<ServiceId, Counts>,
}

/// State of one service's budget at this entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Retries within the window.
    pub spent: u32,
    /// Retries that the window allows.
    pub allowed: f64,
    /// Entries assumed to share the bound.
    pub entries: u32,
}

impl fmt::Display for Budget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Budget {
            spent,
            allowed,
            entries,
        } = self;
        write!(
            f,
            "{spent} of {allowed:.1} spent as one of {entries} entries"
        )
    }
}

#[derive(Debug, Default)]
struct Counts {
    slices: [Slice; SLICES],
}

/// Counts within one slice of the window, which is identified by its number since the start.
#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    requests: u32,
    retries: u32,
}

impl Counts {
    /// Returns slice `number`, which replaces an older one at the same index.
    fn slice(&mut self, number: u64) -> &mut Slice {
        let slice = &mut self.slices[number as usize % SLICES];
        if slice.number != number {
            *slice = Slice {
                number,
                ..Slice::default()
            };
        }
        slice
    }

    /// Returns the requests and retries within the window that ends with slice `number`.
    fn totals(&self, number: u64) -> (u32, u32) {
        let recent = |slice: &&Slice| slice.number + (SLICES as u64) > number;
        let recent = self.slices.iter().filter(recent);
        recent.fold((0, 0), |(requests, retries), slice| {
            (requests + slice.requests, retries + slice.retries)
        })
    }
}

impl Retries {
    /// Creates an empty budget that is shared by `entries` entries.
    pub fn new(settings: settings::Retries, entries: u32) -> Self {
        Retries {
            settings,
            entries: entries.max(1),
            services: IndexMap::new(),
        }
    }

    /// Sets the number of entries that share the bound.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Counts a caller's request at the time `since_start` after the start of the process.
    pub fn record_request(&mut self, service: &ServiceId, since_start: Duration) {
        let number = self.slice_number(since_start);
        self.counts(service).slice(number).requests += 1;
    }

    /// Takes one retry from the budget of a service, and returns whether it was granted.
    pub fn take(&mut self, service: &ServiceId, since_start: Duration) -> bool {
        let budget = self.budget(service, since_start);
        let granted = f64::from(budget.spent) + 1.0 <= budget.allowed;
        if granted {
            let number = self.slice_number(since_start);
            self.counts(service).slice(number).retries += 1;
        }
        granted
    }

    /// Returns the state of a service's budget.
    pub fn budget(&self, service: &ServiceId, since_start: Duration) -> Budget {
        let number = self.slice_number(since_start);
        let counts = self.services.get(service);
        let (requests, spent) = counts.map_or((0, 0), |counts| counts.totals(number));
        let slack = self.settings.slack / f64::from(self.entries);
        Budget {
            spent,
            allowed: (f64::from(requests) * self.settings.ratio + slack) * USED_SHARE,
            entries: self.entries,
        }
    }

    fn counts(&mut self, service: &ServiceId) -> &mut Counts {
        self.services.entry(service.clone()).or_default()
    }

    fn slice_number(&self, since_start: Duration) -> u64 {
        let slice = self.settings.window.as_secs_f64() / SLICES as f64;
        (since_start.as_secs_f64() / slice.max(0.001)) as u64 + SLICES as u64
    }
}

/// Returns the time from `start`, when the process started, to `now`.
pub(crate) fn elapsed(start: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(start)
}
