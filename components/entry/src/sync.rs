//! Applies changes of the fleet to the router, the limiters and the streams in progress.

use std::sync::Arc;
use std::time::Duration;

use config::Text;
use config::ids::{AccountId, ServiceId};
use fleet::{Control, View};
use indexmap::IndexMap;
use upstream::{Availability, Routes};

use crate::admission::{Limiter, Usage};
use crate::core::Core;

/// Time between two checks of the view.
const POLL_PERIOD: Duration = Duration::from_millis(10);
/// Requests that are admitted per slot of an engine's batch. Those beyond the batch wait in the
/// engine.
const ADMITTED_PER_BATCH_SLOT: usize = 2;

/// Watches the view of the fleet for as long as the process runs.
pub(crate) async fn run<C: Control>(core: Arc<Core<C>>) {
    let mut previous = Arc::new(View::default());
    let mut interval = tokio::time::interval(POLL_PERIOD);
    loop {
        interval.tick().await;
        let view = core.control.view().load_full();
        if changed(&previous, &view) {
            apply(&core, &view);
        }
        if list_leaving(&previous.routes) != list_leaving(&view.routes) {
            core.notify_streams();
        }
        previous = view;
    }
}

/// Applies the current view at once.
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
    core.limiters.rcu(|known| limiters(&config.text, known));
    for (service, limiter) in core.limiters.load().iter() {
        limiter.set_limit(concurrency(&view.routes, service));
    }
}

fn accounts(
    text: &Text,
    known: &IndexMap<AccountId, Arc<Usage>>,
) -> IndexMap<AccountId, Arc<Usage>> {
    let usage = |account: &AccountId| {
        let new = || Arc::new(Usage::new(account.clone()));
        known.get(account).cloned().unwrap_or_else(new)
    };
    let pair = |account: &AccountId| (account.clone(), usage(account));
    text.accounts.keys().map(pair).collect()
}

fn limiters(
    text: &Text,
    known: &IndexMap<ServiceId, Arc<Limiter>>,
) -> IndexMap<ServiceId, Arc<Limiter>> {
    let limiter = |service: &ServiceId| known.get(service).cloned().unwrap_or_default();
    let pair = |service: &ServiceId| (service.clone(), limiter(service));
    text.services.keys().map(pair).collect()
}

fn concurrency(routes: &Routes, service: &str) -> usize {
    let batch = |route: &upstream::Route| route.announcement.capacity.batch as usize;
    routes.for_service(service).map(batch).sum::<usize>() * ADMITTED_PER_BATCH_SLOT
}

/// Returns the name and incarnation of each upstream that is leaving or being reclaimed, and
/// whether it is being reclaimed.
fn list_leaving(routes: &Routes) -> Vec<(&str, u64, bool)> {
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
