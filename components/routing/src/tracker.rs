//! State that one entry keeps of one upstream in addition to its announcement.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use config::ids::Incarnation;
use upstream::cache::{Change, Contents, Page};

use crate::Prefixes;
use crate::window::Window;

/// Weight of a new sample in the smoothed lateness.
const LATENESS_SAMPLE_WEIGHT: f64 = 0.3;
/// Age at which the smoothed lateness counts half.
const LATENESS_HALF_AGE: Duration = Duration::from_secs(2);

/// Counters and prefix index of one incarnation of an upstream.
#[derive(Debug)]
pub(crate) struct Tracker {
    pub(crate) incarnation: Incarnation,
    pub(crate) prefixes: Prefixes,
    pub(crate) window: Window,
    pub(crate) in_flight: AtomicU32,
    /// Origin of `lateness_at`.
    base: Instant,
    last_event: AtomicU64,
    stale: AtomicBool,
    /// Smoothed lateness in seconds, as the bits of an `f64`.
    lateness: AtomicU64,
    /// Time of the last lateness sample, in milliseconds after `base`.
    lateness_at: AtomicU64,
}

impl Tracker {
    pub(crate) fn new(incarnation: Incarnation, cache_blocks: usize, base: Instant) -> Self {
        Tracker {
            incarnation,
            prefixes: Prefixes::new(cache_blocks),
            window: Window::new(base),
            in_flight: AtomicU32::new(0),
            base,
            last_event: AtomicU64::new(0),
            stale: AtomicBool::new(false),
            lateness: AtomicU64::new(0),
            lateness_at: AtomicU64::new(0),
        }
    }

    /// Reports whether the index may be stale: events were missed since the complete contents were
    /// last received.
    pub(crate) fn is_stale(&self) -> bool {
        self.stale.load(Ordering::Relaxed)
    }

    /// Returns the number of the last event applied, or 0.
    pub(crate) fn last_event(&self) -> u64 {
        self.last_event.load(Ordering::Relaxed)
    }

    /// Applies events to the index and reports whether the complete contents must be fetched,
    /// because events were missed or the engine restarted its numbering.
    pub(crate) fn apply_events(&self, page: &Page) -> bool {
        let last = self.last_event();
        let restarted = page.last < last;
        let mut expected = last + 1;
        let mut has_gap = restarted;
        for event in page
            .events
            .iter()
            .filter(|e| restarted || e.sequence > last)
        {
            has_gap |= event.sequence != expected;
            expected = event.sequence + 1;
            self.apply(&event.change);
        }
        has_gap |= expected <= page.last;
        self.last_event
            .store(page.last.max(expected - 1), Ordering::Relaxed);
        if restarted {
            self.last_event.store(page.last, Ordering::Relaxed);
        }
        if has_gap {
            self.stale.store(true, Ordering::Relaxed);
        }
        self.is_stale()
    }

    /// Replaces the index by the complete cache contents.
    pub(crate) fn replace_contents(&self, contents: &Contents) {
        self.prefixes.clear();
        self.prefixes.store(&contents.blocks);
        self.last_event.store(contents.last, Ordering::Relaxed);
        self.stale.store(false, Ordering::Relaxed);
    }

    fn apply(&self, change: &Change) {
        match change {
            Change::Stored(blocks) => self.prefixes.store(blocks),
            Change::Evicted(blocks) => self.prefixes.evict(blocks),
            Change::Cleared => self.prefixes.clear(),
        }
    }

    /// Records by how many seconds a first token arrived later than expected; negative if it was
    /// earlier.
    pub(crate) fn record_lateness(&self, seconds: f64, at: Instant) {
        let smoothed =
            self.lateness(at) * (1.0 - LATENESS_SAMPLE_WEIGHT) + seconds * LATENESS_SAMPLE_WEIGHT;
        let millis = at.saturating_duration_since(self.base).as_millis() as u64;
        self.lateness.store(smoothed.to_bits(), Ordering::Relaxed);
        self.lateness_at.store(millis, Ordering::Relaxed);
    }

    /// Returns by how many seconds recent first tokens arrived later than expected, smoothed and
    /// decayed by the age of the last sample.
    pub(crate) fn lateness(&self, now: Instant) -> f64 {
        let smoothed = f64::from_bits(self.lateness.load(Ordering::Relaxed));
        if smoothed == 0.0 {
            return 0.0;
        }
        let at = self.base + Duration::from_millis(self.lateness_at.load(Ordering::Relaxed));
        let age = now.saturating_duration_since(at).as_secs_f64();
        smoothed / (1.0 + age / LATENESS_HALF_AGE.as_secs_f64())
    }
}
