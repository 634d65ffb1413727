//! The checks that a request has to pass before it is dispatched.

use std::sync::Arc;
use std::time::Instant;

use compact_str::format_compact;
use config::Text;
use config::ids::ServiceId;
use config::text::{Priority, Service};
use fleet::{Config, Control};
use upstream::Routes;

use crate::admission::{Permits, Quota, Waiter};
use crate::core::Core;
use crate::exchange::Exchange;
use crate::failure::{Failure, Kind};
use crate::incoming::Incoming;
use crate::lifecycle::Event;
use crate::{access, handover};

/// Suggested pause before a retry when a service has no upstream.
pub(crate) const UPSTREAM_RETRY: std::time::Duration = std::time::Duration::from_secs(2);

/// Properties of a request that admission determines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admission {
    /// Priority, at most that of the account.
    pub priority: Priority,
}

/// Admits a request of `tokens` tokens to the service that `exchange` names.
///
/// # Errors
/// Returns the first check that the request does not pass. The request was not run.
pub(crate) async fn admit<C: Control>(
    core: &Core<C>,
    config: &Arc<Config>,
    incoming: &Incoming,
    tokens: usize,
    exchange: &mut Exchange,
) -> Result<Admission, Failure> {
    let service = exchange.subject.service.clone();
    let account = config.text.accounts.get(&incoming.account).ok_or_else(|| {
        let message = format_compact!(
            "account \"{}\" is not in the text in force",
            incoming.account
        );
        Failure::new(Kind::Unauthorized, message)
    })?;
    let priority = access::priority(&incoming.headers, account)?;
    let usage = core.usage(&incoming.account).ok_or_else(not_ready)?;
    let slot = usage
        .admit(
            Quota::from(account),
            tokens,
            count_entries(core),
            &core.control,
        )
        .await
        .inspect_err(|_| core.metrics.limited.inc())?;
    check_dependencies(&config.text, &core.control.view().load().routes, &service)?;
    let limiter = core.limiter(&service).ok_or_else(not_ready)?;
    let waiter = Waiter {
        account: incoming.account.clone(),
        weight: account.weight,
        priority,
    };
    let permit = limiter
        .acquire(&waiter, config.text.latency.first_token)
        .await?;
    core.budget.earn();
    exchange.apply(Event::Admitted);
    exchange.hold(Permits::new(slot, permit));
    Ok(Admission { priority })
}

/// Returns the number of entries that share the limits, including this one.
fn count_entries<C: Control>(core: &Core<C>) -> usize {
    let now = Instant::now();
    let view = core.control.view().load();
    let live = view.routes.for_service(handover::ENTRIES);
    live.filter(|route| route.takes_work(now)).count().max(1)
}

/// Checks that every direct and indirect dependency of `service` has an upstream.
///
/// # Errors
/// Returns [`Kind::Unavailable`] with the name of a dependency without an upstream.
pub(crate) fn check_dependencies(
    text: &Text,
    routes: &Routes,
    service: &str,
) -> Result<(), Failure> {
    let now = Instant::now();
    let mut pending: Vec<&str> = dependencies(text.services.get(service));
    let mut checked: Vec<&str> = Vec::new();
    while let Some(dependency) = pending.pop() {
        if checked.contains(&dependency) {
            continue;
        }
        if !routes
            .for_service(dependency)
            .any(|route| route.takes_work(now))
        {
            let message = format_compact!(
                "service \"{service}\" depends on \"{dependency}\", which has no upstream"
            );
            return Err(Failure::retryable(
                Kind::Unavailable,
                message,
                UPSTREAM_RETRY,
            ));
        }
        checked.push(dependency);
        pending.extend(dependencies(text.services.get(dependency)));
    }
    Ok(())
}

fn dependencies(service: Option<&Service>) -> Vec<&str> {
    let names = service.map(|service| service.depends_on.iter().map(ServiceId::as_str));
    names.into_iter().flatten().collect()
}

fn not_ready() -> Failure {
    let message = "the text in force is not applied yet";
    Failure::retryable(
        Kind::Unavailable,
        message,
        std::time::Duration::from_secs(1),
    )
}

/// Converts a refusal of the router into a failure.
pub(crate) fn routing_failure(refusal: &routing::Refusal, service: &str) -> Failure {
    match refusal {
        routing::Refusal::NoUpstream => {
            let message = format_compact!("service \"{service}\" has no upstream for this request");
            Failure::retryable(Kind::Unavailable, message, UPSTREAM_RETRY)
        }
        routing::Refusal::DependencyDown { service: down } => {
            let message =
                format_compact!("service \"{service}\" needs service \"{down}\", which is down");
            Failure::retryable(Kind::Unavailable, message, UPSTREAM_RETRY)
        }
        routing::Refusal::Overloaded { retry_after } => {
            let message = "every upstream is so loaded that the latency target would be missed";
            Failure::retryable(Kind::Overloaded, message, *retry_after)
        }
    }
}
