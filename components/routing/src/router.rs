//! The router: a routing table that is replaced as a whole, and counters of work in flight.

mod selection;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use config::Text;
use config::text::Kind;
use upstream::Routes;
use upstream::cache::{Contents, Page};

use crate::table::{Group, Table};
use crate::{Choice, Prefixes, Refusal, Request, Settings};
use selection::Selection;

/// Blocks of an entry's own requests that are remembered to recognise shared prefixes.
const SEEN_BLOCKS: usize = 65_536;

/// Routes the requests of one entry.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    table: ArcSwap<Table>,
    /// Serialises updates of the table; never taken while a request is routed.
    update_lock: Mutex<()>,
    /// Blocks of the requests sent so far.
    seen: Prefixes,
    /// Number of choices so far, which varies how ties are broken and candidates are sampled.
    choices: AtomicU64,
}

impl Default for Router {
    fn default() -> Self {
        Router::new(Settings::default())
    }
}

impl Router {
    /// Creates a router without upstreams.
    pub fn new(settings: Settings) -> Self {
        Router {
            settings,
            table: ArcSwap::default(),
            update_lock: Mutex::new(()),
            seen: Prefixes::new(SEEN_BLOCKS),
            choices: AtomicU64::new(0),
        }
    }

    /// Replaces the routing table by one for the text in force and the known upstreams.
    pub fn update(&self, text: &Text, routes: &Routes) {
        let _guard = self
            .update_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let table = Table::new(text, routes, &self.settings, &self.table.load());
        self.table.store(table.into());
    }

    /// Chooses an upstream for `request`.
    ///
    /// # Errors
    /// Returns a [`Refusal`] if no upstream serves the request, a dependency of its service is down
    /// or the latency target would be missed.
    pub fn choose(&self, request: &Request<'_>, now: Instant) -> Result<Choice, Refusal> {
        let table = self.table.load();
        let group = table
            .services
            .get(request.service)
            .ok_or(Refusal::NoUpstream)?;
        check_dependencies(&table, group, now)?;
        let model = match group.kind {
            Kind::Model => request.model,
            Kind::Plain => "",
        };
        let candidates = group.models.get(model).map_or(&[][..], Vec::as_slice);
        let number = self.choices.fetch_add(1, Ordering::Relaxed);
        let selection = Selection {
            settings: &self.settings,
            group,
            request,
            seen: &self.seen,
            number,
            now,
        };
        selection.choose(candidates)
    }

    /// Counts a request as sent to the chosen upstream, and its prompt as cached there.
    pub fn record_dispatch(&self, choice: &Choice, request: &Request<'_>, now: Instant) {
        self.seen.store(request.blocks);
        if let Some(tracker) = choice.ticket.record_dispatch(now) {
            tracker.prefixes.store(request.blocks);
        }
    }

    /// Records that the first token of a request arrived `elapsed` after its dispatch.
    pub fn record_first_token(&self, choice: &Choice, _request: &Request<'_>, elapsed: Duration) {
        let expected = choice.expected_first_token;
        choice.ticket.record_first_token(elapsed, expected);
    }

    /// Counts a request as no longer at the upstream, whether it was answered or not.
    pub fn record_finish(&self, choice: &Choice) {
        choice.ticket.record_finish();
    }

    /// Applies cache events of `upstream` and reports whether its complete cache contents must be
    /// fetched.
    pub fn apply_cache_events(&self, upstream: &str, page: &Page) -> bool {
        let table = self.table.load();
        let tracker = table.trackers.get(upstream);
        tracker.is_some_and(|tracker| tracker.apply_events(page))
    }

    /// Replaces the indexed cache contents of `upstream` by its complete contents.
    pub fn replace_cache_contents(&self, upstream: &str, contents: &Contents) {
        if let Some(tracker) = self.table.load().trackers.get(upstream) {
            tracker.replace_contents(contents);
        }
    }

    /// Returns the number of the last cache event applied for `upstream`, or 0.
    pub fn last_cache_event(&self, upstream: &str) -> u64 {
        let table = self.table.load();
        let tracker = table.trackers.get(upstream);
        tracker.map_or(0, |tracker| tracker.last_event())
    }
}

/// Returns a [`Refusal::DependencyDown`] if a service that `group` depends on has no live upstream.
fn check_dependencies(table: &Table, group: &Group, now: Instant) -> Result<(), Refusal> {
    let is_up = |group: &Group| {
        let mut candidates = group.models.values().flatten();
        candidates.any(|candidate| now < candidate.expires)
    };
    let down = group
        .depends_on
        .iter()
        .find(|name| !table.services.get(*name).is_some_and(is_up));
    down.map_or(Ok(()), |service| {
        let service = service.clone();
        Err(Refusal::DependencyDown { service })
    })
}
