//! What one entry knows of one upstream beyond its announcement.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use config::ids::Incarnation;
use upstream::cache::{Change, Contents, Page};

use crate::Prefixes;
use crate::recent::Recent;

/// Share of a new sample in the smoothed lateness.
const SAMPLE_SHARE: f64 = 0.3;
/// Time after which a smoothed lateness has lost most of its weight.
const LATENESS_LIFE: Duration = Duration::from_secs(2);

/// Counters and prefix index of one incarnation of an upstream.
#[derive(Debug)]
pub(crate) struct Tracker {
    pub(crate) incarnation: Incarnation,
    pub(crate) prefixes: Prefixes,
    pub(crate) recent: Recent,
    pub(crate) in_flight: AtomicU32,
    base: Instant,
    last_event: AtomicU64,
    uncertain: AtomicBool,
    lateness: AtomicU64,
    lateness_at: AtomicU64,
}

impl Tracker {
    pub(crate) fn new(incarnation: Incarnation, cache_blocks: usize, base: Instant) -> Self {
        Tracker {
            incarnation,
            prefixes: Prefixes::new(cache_blocks),
            recent: Recent::new(base),
            in_flight: AtomicU32::new(0),
            base,
            last_event: AtomicU64::new(0),
            uncertain: AtomicBool::new(false),
            lateness: AtomicU64::new(0),
            lateness_at: AtomicU64::new(0),
        }
    }

    /// Reports whether events were missed since the last whole contents.
    pub(crate) fn is_uncertain(&self) -> bool {
        self.uncertain.load(Ordering::Relaxed)
    }

    pub(crate) fn last_event(&self) -> u64 {
        self.last_event.load(Ordering::Relaxed)
    }

    /// Takes in events, and reports whether the whole contents are needed.
    pub(crate) fn take_events(&self, page: &Page) -> bool {
        let known = self.last_event();
        let restarted = page.last < known;
        let mut expected = known + 1;
        let mut gap = restarted;
        for event in page
            .events
            .iter()
            .filter(|e| restarted || e.sequence > known)
        {
            gap |= event.sequence != expected;
            expected = event.sequence + 1;
            self.apply(&event.change);
        }
        gap |= expected <= page.last;
        self.last_event
            .store(page.last.max(expected - 1), Ordering::Relaxed);
        if restarted {
            self.last_event.store(page.last, Ordering::Relaxed);
        }
        if gap {
            self.uncertain.store(true, Ordering::Relaxed);
        }
        self.is_uncertain()
    }

    pub(crate) fn take_contents(&self, contents: &Contents) {
        self.prefixes.clear();
        self.prefixes.store(&contents.blocks);
        self.last_event.store(contents.last, Ordering::Relaxed);
        self.uncertain.store(false, Ordering::Relaxed);
    }

    fn apply(&self, change: &Change) {
        match change {
            Change::Stored(blocks) => self.prefixes.store(blocks),
            Change::Evicted(blocks) => self.prefixes.evict(blocks),
            Change::Cleared => self.prefixes.clear(),
        }
    }

    /// Takes in by how many seconds a first token came later than expected.
    pub(crate) fn sample_lateness(&self, late: f64, at: Instant) {
        let smoothed = self.lateness(at) * (1.0 - SAMPLE_SHARE) + late * SAMPLE_SHARE;
        let millis = at.saturating_duration_since(self.base).as_millis() as u64;
        self.lateness.store(smoothed.to_bits(), Ordering::Relaxed);
        self.lateness_at.store(millis, Ordering::Relaxed);
    }

    /// Returns by how many seconds first tokens have lately come later than expected.
    pub(crate) fn lateness(&self, now: Instant) -> f64 {
        let smoothed = f64::from_bits(self.lateness.load(Ordering::Relaxed));
        if smoothed == 0.0 {
            return 0.0;
        }
        let at = self.base + Duration::from_millis(self.lateness_at.load(Ordering::Relaxed));
        let age = now.saturating_duration_since(at).as_secs_f64();
        smoothed / (1.0 + age / LATENESS_LIFE.as_secs_f64())
    }
}
