//! The router: tables that are replaced as a whole, and counters of work in flight.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use compact_str::format_compact;
use config::Text;
use config::ids::UpstreamId;
use indexmap::IndexMap;
use upstream::cache::{Contents, Page};
use upstream::{Route, Routes};

use crate::{Choice, Refusal, Request};

/// Routes requests of one entry.
#[derive(Debug, Default)]
pub struct Router {
    routes: Mutex<Routes>,
    in_flight: Mutex<IndexMap<UpstreamId, u32>>,
}

impl Router {
    /// Takes in the text in force and the upstreams known.
    pub fn update(&self, _text: &Text, routes: &Routes) {
        *self.routes.lock().unwrap_or_else(PoisonError::into_inner) = routes.clone();
    }

    /// Chooses an upstream for `request`.
    ///
    /// # Errors
    /// Returns why there is none.
    pub fn choose(&self, request: &Request<'_>, now: Instant) -> Result<Choice, Refusal> {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let in_flight = self
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let usable = |route: &&Route| {
            let announcement = &route.announcement;
            let excluded = request.exclude.contains(&announcement.upstream);
            route.takes_work(now) && !excluded
        };
        let candidates: Vec<&Route> = routes.of(request.service).filter(usable).collect();
        let load = |route: &&&Route| in_flight.get(&route.announcement.upstream).copied();
        let chosen = candidates
            .iter()
            .min_by_key(load)
            .ok_or(Refusal::NoUpstream)?;
        Ok(Choice {
            upstream: chosen.announcement.upstream.clone(),
            address: chosen.announcement.address,
            expected_first_token: Duration::ZERO,
            cached_tokens: 0,
            considered: candidates.len(),
            reason: format_compact!("least load"),
        })
    }

    /// Counts a request as sent to the chosen upstream.
    pub fn dispatched(&self, choice: &Choice, _request: &Request<'_>, _now: Instant) {
        let mut in_flight = self
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *in_flight.entry(choice.upstream.clone()).or_default() += 1;
    }

    /// Counts the first token of a request as received after `elapsed`.
    pub fn first_token(&self, _choice: &Choice, _request: &Request<'_>, _elapsed: Duration) {}

    /// Counts a request as no longer with the upstream, whether it was answered or not.
    pub fn finished(&self, choice: &Choice) {
        let mut in_flight = self
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = in_flight.get_mut(&choice.upstream) {
            *count = count.saturating_sub(1);
        }
    }

    /// Takes in cache events of `upstream`, and reports whether its whole contents are needed.
    pub fn cache_events(&self, _upstream: &str, _page: &Page) -> bool {
        false
    }

    /// Takes in the whole cache contents of `upstream`.
    pub fn cache_contents(&self, _upstream: &str, _contents: &Contents) {}

    /// Returns the number of the last cache event taken in from `upstream`.
    pub fn last_cache_event(&self, _upstream: &str) -> u64 {
        0
    }
}
