//! Brings changes of the fleet to the router, the gates and the streams in progress.

use std::sync::Arc;
use std::time::Duration;

use config::Text;
use config::ids::{AccountId, ServiceId};
use fleet::{Control, View};
use indexmap::IndexMap;
use upstream::{Availability, Routes};

use crate::admission::{Gate, Usage};
use crate::core::Core;

/// Pause between two looks at the view.
const PERIOD: Duration = Duration::from_millis(10);
/// Requests admitted for each place in a batch; the rest of them wait in the engines.
const ADMITTED_PER_PLACE: usize = 2;

/// Watches the view for as long as the process runs.
pub(crate) async fn run<C: Control>(core: Arc<Core<C>>) {
    let mut seen = Arc::new(View::default());
    let mut interval = tokio::time::interval(PERIOD);
    loop {
        interval.tick().await;
        let view = core.control.view().load_full();
        if changed(&seen, &view) {
            apply(&core, &view);
        }
        if leaving(&seen.routes) != leaving(&view.routes) {
            core.announce_change();
        }
        seen = view;
    }
}

/// Brings the view to the router at once.
pub(crate) fn update<C: Control>(core: &Core<C>) {
    apply(core, &core.control.view().load());
}

fn changed(before: &View, after: &View) -> bool {
    let same_text = match (&before.config, &after.config) {
        (Some(before), Some(after)) => Arc::ptr_eq(before, after),
        (None, None) => true,
        _ => false,
    };
    !same_text || !Arc::ptr_eq(&before.routes, &after.routes)
}

fn apply<C: Control>(core: &Core<C>, view: &View) {
    let Some(config) = &view.config else {
        return;
    };
    core.router.update(&config.text, &view.routes);
    core.accounts.rcu(|known| accounts(&config.text, known));
    core.gates.rcu(|known| gates(&config.text, known));
    for (service, gate) in core.gates.load().iter() {
        gate.set_limit(places(&view.routes, service));
    }
}

fn accounts(
    text: &Text,
    known: &IndexMap<AccountId, Arc<Usage>>,
) -> IndexMap<AccountId, Arc<Usage>> {
    let usage = |account: &AccountId| {
        let fresh = || Arc::new(Usage::new(account.clone()));
        known.get(account).cloned().unwrap_or_else(fresh)
    };
    let pair = |account: &AccountId| (account.clone(), usage(account));
    text.accounts.keys().map(pair).collect()
}

fn gates(text: &Text, known: &IndexMap<ServiceId, Arc<Gate>>) -> IndexMap<ServiceId, Arc<Gate>> {
    let gate = |service: &ServiceId| known.get(service).cloned().unwrap_or_default();
    let pair = |service: &ServiceId| (service.clone(), gate(service));
    text.services.keys().map(pair).collect()
}

fn places(routes: &Routes, service: &str) -> usize {
    let batch = |route: &upstream::Route| route.announcement.capacity.batch as usize;
    routes.of(service).map(batch).sum::<usize>() * ADMITTED_PER_PLACE
}

/// Returns the upstreams that have announced their end.
fn leaving(routes: &Routes) -> Vec<(&str, u64, bool)> {
    routes
        .all()
        .filter(|route| route.announcement.availability != Availability::Serving)
        .map(|route| {
            let announcement = &route.announcement;
            let reclaimed = announcement.availability != Availability::Leaving;
            (
                announcement.upstream.as_str(),
                announcement.incarnation,
                reclaimed,
            )
        })
        .collect()
}
