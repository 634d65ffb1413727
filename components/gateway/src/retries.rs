//! Retry budget: one entry's share of the retries allowed to all entries.

use std::fmt;
use std::time::{Duration, Instant};

use config::ids::ServiceId;
use config::settings;
use indexmap::IndexMap;

/// Number of slices into which the window is divided.
const SLICES: usize = 10;
/// Slices that are counted: the window may begin within one and end within another.
const COUNTED_SLICES: usize = SLICES + 1;
/// Share of the bound that is granted; the margin keeps the retries of all entries together below
/// the bound.
const USED_SHARE: f64 = 0.7;

/// Requests and retries of each service at this entry.
#[derive(Debug)]
pub struct Retries {
    settings: settings::Retries,
    entries: Entries,
    /// Time since the start from which this entry uses its share of the slack; `None` while it is
    /// not known whether an earlier process of the entry has used it.
    slack_from: Option<Duration>,
    services: IndexMap<ServiceId, Counts>,
}

/// What the leader knows of the entry's share of the bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    /// Entries that share the bound.
    pub entries: u32,
    /// Time since another process of the same entry served; `None` if there was none.
    pub replaced: Option<Duration>,
}

/// The largest numbers of entries in the newest two windows. A leader that has just started, or that
/// entries can't reach, knows of fewer than there are.
#[derive(Clone, Copy, Debug)]
struct Entries {
    /// Number of the newest window, and the largest number of entries within it.
    newest: (u64, u32),
    before: u32,
}

impl Entries {
    fn new(window: u64, entries: u32) -> Self {
        Entries {
            newest: (window, entries.max(1)),
            before: 0,
        }
    }

    fn record(&mut self, window: u64, entries: u32) {
        let entries = entries.max(1);
        match self.newest {
            (newest, largest) if newest == window => self.newest.1 = largest.max(entries),
            (_, largest) => {
                self.before = largest;
                self.newest = (window, entries);
            }
        }
    }

    fn largest(&self) -> u32 {
        self.newest.1.max(self.before)
    }
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
    slices: [Slice; COUNTED_SLICES],
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
        let slice = &mut self.slices[number as usize % COUNTED_SLICES];
        if slice.number != number {
            *slice = Slice {
                number,
                ..Slice::default()
            };
        }
        slice
    }

    /// Returns the requests that are within every window that ends in slice `number`, and the
    /// retries that may be within one.
    fn totals(&self, number: u64) -> (u32, u32) {
        let age = |slice: &Slice| number.saturating_sub(slice.number) as usize;
        let recent = self.slices.iter();
        recent.fold((0, 0), |(requests, retries), slice| match age(slice) {
            age if age < SLICES => (requests + slice.requests, retries + slice.retries),
            age if age < COUNTED_SLICES => (requests, retries + slice.retries),
            _ => (requests, retries),
        })
    }
}

impl Retries {
    /// Creates an empty budget that is shared by `entries` entries. The slack is not used before
    /// the first [`Retries::update`].
    pub fn new(settings: settings::Retries, entries: u32) -> Self {
        Retries {
            settings,
            entries: Entries::new(0, entries),
            slack_from: None,
            services: IndexMap::new(),
        }
    }

    /// Applies what the leader knows at the time `since_start` after the start of the process.
    pub fn update(&mut self, share: Share, since_start: Duration) {
        let window = self.settings.window;
        let number = since_start.as_secs_f64() / window.as_secs_f64().max(0.001);
        match self.slack_from {
            Some(_) => self.entries.record(number as u64, share.entries),
            None => self.entries = Entries::new(number as u64, share.entries),
        }
        let remaining = share
            .replaced
            .map_or(Duration::ZERO, |ago| window.saturating_sub(ago));
        self.slack_from.get_or_insert(since_start + remaining);
    }

    /// Returns the number of entries that share the bound.
    pub fn entries(&self) -> u32 {
        self.entries.largest()
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
        let entries = self.entries.largest();
        let slack = match self.slack_from {
            Some(from) if from <= since_start => self.settings.slack / f64::from(entries),
            _ => 0.0,
        };
        Budget {
            spent,
            allowed: (f64::from(requests) * self.settings.ratio + slack) * USED_SHARE,
            entries,
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
