//! The checks that a request passes before anything is done for it.

use std::sync::Arc;
use std::time::Instant;

use compact_str::format_compact;
use config::Text;
use config::ids::ServiceId;
use config::text::{Priority, Service};
use fleet::{Config, Control};
use upstream::Routes;

use crate::admission::{InProgress, Permit, Place, Rates};
use crate::core::Core;
use crate::exchange::Exchange;
use crate::failure::{Failure, Kind};
use crate::incoming::Incoming;
use crate::lifecycle::Event;
use crate::{access, handover};

/// Pause after which an upstream may have come back.
pub(crate) const UPSTREAM_RETRY: std::time::Duration = std::time::Duration::from_secs(2);

/// What was decided of an admitted request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admitted {
    /// Priority of the request.
    pub priority: Priority,
}

/// Places that an admitted request holds until its end.
#[derive(Debug)]
pub(crate) struct Places {
    _in_progress: InProgress,
    _permit: Permit,
}

/// Admits a request of `tokens` tokens to the service that `exchange` names.
///
/// # Errors
/// Says which check was not passed; the request was not run.
pub(crate) async fn admit<C: Control>(
    core: &Core<C>,
    config: &Arc<Config>,
    incoming: &Incoming,
    tokens: usize,
    exchange: &mut Exchange,
) -> Result<Admitted, Failure> {
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
    let in_progress = usage
        .admit(Rates::from(account), tokens, entries(core), &core.control)
        .await
        .inspect_err(|_| core.metrics.limited.inc())?;
    check_dependencies(&config.text, &core.control.view().load().routes, &service)?;
    let gate = core.gate(&service).ok_or_else(not_ready)?;
    let place = Place {
        account: incoming.account.clone(),
        weight: account.weight,
        priority,
    };
    let permit = gate.enter(&place, config.text.latency.first_token).await?;
    core.budget.earn();
    exchange.step(Event::Admitted);
    exchange.hold(Places {
        _in_progress: in_progress,
        _permit: permit,
    });
    Ok(Admitted { priority })
}

/// Returns how many entries share the limits, this one included.
fn entries<C: Control>(core: &Core<C>) -> usize {
    let now = Instant::now();
    let view = core.control.view().load();
    let live = view.routes.of(handover::ENTRIES);
    live.filter(|route| route.takes_work(now)).count().max(1)
}

/// Refuses a service of which a dependency, direct or not, has no upstream.
///
/// # Errors
/// Names the dependency.
pub(crate) fn check_dependencies(
    text: &Text,
    routes: &Routes,
    service: &str,
) -> Result<(), Failure> {
    let now = Instant::now();
    let mut due: Vec<&str> = dependencies(text.services.get(service));
    let mut checked: Vec<&str> = Vec::new();
    while let Some(dependency) = due.pop() {
        if checked.contains(&dependency) {
            continue;
        }
        if !routes.of(dependency).any(|route| route.takes_work(now)) {
            let message = format_compact!(
                "service \"{service}\" depends on \"{dependency}\", which has no upstream"
            );
            return Err(Failure::retry(Kind::Unavailable, message, UPSTREAM_RETRY));
        }
        checked.push(dependency);
        due.extend(dependencies(text.services.get(dependency)));
    }
    Ok(())
}

fn dependencies(service: Option<&Service>) -> Vec<&str> {
    let names = service.map(|service| service.depends_on.iter().map(ServiceId::as_str));
    names.into_iter().flatten().collect()
}

fn not_ready() -> Failure {
    let message = "the text in force is not applied yet";
    Failure::retry(
        Kind::Unavailable,
        message,
        std::time::Duration::from_secs(1),
    )
}

/// Turns a refusal of the router into a failure.
pub(crate) fn refused(refusal: &routing::Refusal, service: &str) -> Failure {
    match refusal {
        routing::Refusal::NoUpstream => {
            let message = format_compact!("service \"{service}\" has no upstream for this request");
            Failure::retry(Kind::Unavailable, message, UPSTREAM_RETRY)
        }
        routing::Refusal::DependencyDown { service: down } => {
            let message =
                format_compact!("service \"{service}\" needs service \"{down}\", which is down");
            Failure::retry(Kind::Unavailable, message, UPSTREAM_RETRY)
        }
        routing::Refusal::Overloaded { retry_after } => {
            let message = "every upstream is so loaded that the latency target would be missed";
            Failure::retry(Kind::Overloaded, message, *retry_after)
        }
    }
}
