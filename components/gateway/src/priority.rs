//! Admission by the leader's plans, while the engines of a service can't take all requests.
//!
//! The decision about a request depends on the newest plan and the request's identifier. Without a
//! plan, or with one that is too old, the bound of the expected wait ([`crate::admission`]) alone
//! decides.

use std::sync::Arc;
use std::time::{Duration, Instant};

use admission::{Class, MAX_PLAN_AGE, Plan};
use config::ids::ServiceId;
use indexmap::IndexMap;

use crate::call::Call;
use crate::core::{Core, lock};
use crate::{Prompt, Refusal, dispatch};

/// The newest plans.
#[derive(Debug, Default)]
pub struct Plans {
    services: IndexMap<ServiceId, Arc<Plan>>,
    /// When the report was sent that the leader answered with them.
    at: Option<Instant>,
}

impl Plans {
    /// Replaces all plans by those with which the leader answered a report that was sent at `sent_at`.
    pub fn set(&mut self, plans: &[(ServiceId, Plan)], sent_at: Instant) {
        let plans = plans.iter();
        let plans = plans.map(|(service, plan)| (service.clone(), Arc::new(plan.clone())));
        self.services = plans.collect();
        self.at = Some(sent_at);
    }

    /// Returns the age of the newest plans; `None` before the first ones.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.at?))
    }

    /// Returns the plan of a service; `None` if all requests are admitted, or the plan is too old.
    pub fn newest(&self, service: &ServiceId, now: Instant) -> Option<Arc<Plan>> {
        let age = now.saturating_duration_since(self.at?);
        let plan = self.services.get(service)?;
        (age < MAX_PLAN_AGE).then(|| plan.clone())
    }
}

/// Decision on a request by the plan of its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request is within the share of its class.
    Admitted,
    /// It is beyond the share, and the engines have room.
    Room,
    /// It is refused, and the caller should retry after this time.
    Refused(Duration),
}

impl Decision {
    /// Decides on a request of `class` by its hash. `has_room` reports whether the engines have room for
    /// it; it is called only for a request beyond the share.
    pub fn new(plan: &Plan, class: Class, hash: u64, has_room: impl FnOnce() -> bool) -> Self {
        match plan.admits(class, hash) {
            true => Decision::Admitted,
            false if has_room() => Decision::Room,
            false => Decision::Refused(plan.retry_after(hash)),
        }
    }

    /// Returns the name for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Decision::Admitted => "admitted",
            Decision::Room => "room",
            Decision::Refused(_) => "refused",
        }
    }
}

/// Counts a request to engines that are balanced by work, and decides on it by the plan of their
/// service.
///
/// # Errors
/// Returns a [`Refusal`] if the request is beyond the share of its class, and the engines have no room.
/// One that takes up a stream is never refused.
pub(crate) fn decide(core: &Core, call: &Call) -> Result<(), Refusal> {
    let Some(prompt) = &call.prompt else {
        return Ok(());
    };
    let class = class(call);
    if !count(core, call, class, prompt) || call.takes_up() {
        return Ok(());
    }
    let Some(decision) = by_plan(core, call, class, Instant::now()) else {
        return Ok(());
    };
    core.metrics
        .record_plan(&call.service, class.rank, decision.name());
    match decision {
        Decision::Admitted | Decision::Room => Ok(()),
        Decision::Refused(retry_after) => Err(Refusal::OverCapacity(retry_after)),
    }
}

/// Returns what would be decided about a request, which is not counted; `None` if no plan applies to it.
pub(crate) fn preview(core: &Core, call: &Call, now: Instant) -> Option<Decision> {
    let is_planned = lock(&core.balancer).is_planned_by_work(&call.service);
    match is_planned && call.prompt.is_some() && !call.takes_up() {
        true => by_plan(core, call, class(call), now),
        false => None,
    }
}

/// Returns the class of a request.
pub(crate) fn class(call: &Call) -> Class {
    let account = call.account.as_ref().map(|account| account.name.as_str());
    Class::new(call.rank(), account)
}

/// Decides on a request by the plan of its service, if there is one.
fn by_plan(core: &Core, call: &Call, class: Class, now: Instant) -> Option<Decision> {
    let plan = lock(&core.plans).newest(&call.service, now)?;
    let has_room = || has_room(core, call, now);
    let hash = admission::hash(&call.id);
    Some(Decision::new(&plan, class, hash, has_room))
}

/// Counts a request, and reports whether its service is balanced by work.
fn count(core: &Core, call: &Call, class: Class, prompt: &Prompt) -> bool {
    let (compute_ms, place_ms) = {
        let balancer = lock(&core.balancer);
        if !balancer.is_planned_by_work(&call.service) {
            return false;
        }
        let compute_ms = balancer.prompt_work_ms(&call.service, prompt);
        let place_ms = compute_ms + balancer.work_ms(&call.kind(), Some(prompt));
        (compute_ms, place_ms)
    };
    lock(&core.classes).add(&call.service, class, compute_ms, place_ms);
    true
}

fn has_room(core: &Core, call: &Call, now: Instant) -> bool {
    let criteria = dispatch::criteria(core, call, &[], None, None);
    lock(&core.balancer).has_room(&criteria, call.rank(), call.route.target, now)
}
