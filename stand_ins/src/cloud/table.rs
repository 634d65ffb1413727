//! State of the cloud: instances, notices, shortages and prices.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use config::ids::{DataCentreId, InstanceId, ServiceId};
use config::text::Class;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Instance, Price, State, Upstream};

/// State of the cloud.
#[derive(Debug, Default)]
pub(super) struct Table {
    instances: IndexMap<InstanceId, Instance>,
    upstreams: IndexMap<InstanceId, Arc<Upstream>>,
    shortages: Vec<(Shortage, Instant)>,
    pub(super) notices: Vec<Notice>,
    pub(super) prices: IndexMap<(DataCentreId, Class), Price>,
    pub(super) refused_starts: u64,
}

/// A notice that an instance will be reclaimed.
#[derive(Clone, Debug)]
pub struct Notice {
    /// Sequence number of the notice, counted from 1.
    pub sequence: u64,
    /// Id of the instance.
    pub instance: InstanceId,
    /// Time at which the instance stops.
    pub stops_at: Instant,
}

/// A period in which starts of some instances are refused.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Shortage {
    /// Data centre; `None` for all.
    #[serde(default)]
    pub data_centre: Option<DataCentreId>,
    /// Class; `None` for both.
    #[serde(default)]
    pub class: Option<Class>,
    /// Duration in milliseconds.
    pub for_ms: u64,
}

/// A reclaim of all instances of a data centre and class.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Reclaim {
    /// Data centre; `None` for all.
    #[serde(default)]
    pub data_centre: Option<DataCentreId>,
    /// Class; `None` for both.
    #[serde(default)]
    pub class: Option<Class>,
    /// Time between notice and end, in milliseconds.
    pub in_ms: u64,
    /// Duration of a shortage of the same data centre and class, in milliseconds; 0 for none.
    #[serde(default)]
    pub refuse_ms: u64,
}

/// An order for an instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Order {
    pub(super) token: CompactString,
    pub(super) service: ServiceId,
    pub(super) data_centre: DataCentreId,
    pub(super) class: Class,
}

/// Outcome of an order.
#[derive(Clone, Debug)]
pub(super) enum Outcome {
    Ordered(Instance),
    Existing(Instance),
    Refused,
}

impl Reclaim {
    pub(super) fn shortage(&self) -> Option<Shortage> {
        (self.refuse_ms > 0).then(|| Shortage {
            data_centre: self.data_centre.clone(),
            class: self.class,
            for_ms: self.refuse_ms,
        })
    }
}

impl Table {
    pub(super) fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    pub(super) fn upstream(&self, instance: &str) -> Option<Arc<Upstream>> {
        self.upstreams.get(instance).cloned()
    }

    pub(super) fn upstreams(&self) -> Vec<(InstanceId, Arc<Upstream>)> {
        let pairs = self.upstreams.iter();
        pairs.map(|(id, it)| (id.clone(), it.clone())).collect()
    }

    pub(super) fn add_shortage(&mut self, shortage: Shortage, now: Instant) {
        let until = now + Duration::from_millis(shortage.for_ms);
        self.shortages.push((shortage, until));
    }

    pub(super) fn order(&mut self, order: Order, now: Instant) -> Outcome {
        let has_token = |instance: &&Instance| instance.token == order.token;
        if let Some(existing) = self.instances.values().find(has_token) {
            return Outcome::Existing(existing.clone());
        }
        let applies = |(shortage, until): &(Shortage, Instant)| {
            now < *until && covers(&shortage.data_centre, shortage.class, &order)
        };
        if self.shortages.iter().any(applies) {
            self.refused_starts += 1;
            return Outcome::Refused;
        }
        let instance = Instance {
            id: format_compact!("i-{}", self.instances.len() + 1),
            token: order.token,
            service: order.service,
            data_centre: order.data_centre,
            class: order.class,
            state: State::Starting,
            ordered_at: now,
            ended_at: None,
        };
        self.instances.insert(instance.id.clone(), instance.clone());
        Outcome::Ordered(instance)
    }

    /// Marks an instance as running, and reports whether it was still starting.
    pub(super) fn mark_running(&mut self, instance: &str) -> bool {
        match self.instances.get_mut(instance) {
            Some(it) if it.state == State::Starting => {
                it.state = State::Running;
                true
            }
            _ => false,
        }
    }

    /// Attaches an upstream to its instance, or kills it if the instance has ended meanwhile.
    pub(super) fn attach(&mut self, instance: &str, upstream: Upstream) {
        match self.instances.get(instance) {
            Some(it) if it.state.is_live() => {
                self.upstreams.insert(instance.into(), Arc::new(upstream));
            }
            _ => upstream.lifecycle().kill(),
        }
    }

    /// Ends an instance and reports whether it exists.
    pub(super) fn end(&mut self, instance: &str, state: State) -> bool {
        let Some(it) = self.instances.get_mut(instance) else {
            return false;
        };
        if it.state.is_live() {
            it.state = state;
            it.ended_at = Some(Instant::now());
        }
        if let Some(upstream) = self.upstreams.get(instance) {
            upstream.lifecycle().kill();
        }
        true
    }

    /// Adds notices for the live instances that a reclaim covers, and returns their ids.
    pub(super) fn add_notices(&mut self, reclaim: &Reclaim, now: Instant) -> Vec<InstanceId> {
        let reclaimed: Vec<InstanceId> = self
            .instances
            .values()
            .filter(|it| it.state.is_live() && reclaim.covers(it))
            .map(|it| it.id.clone())
            .collect();
        for instance in &reclaimed {
            self.notices.push(Notice {
                sequence: self.notices.len() as u64 + 1,
                instance: instance.clone(),
                stops_at: now + Duration::from_millis(reclaim.in_ms),
            });
        }
        reclaimed
    }
}

impl Reclaim {
    fn covers(&self, instance: &Instance) -> bool {
        let centre = self.data_centre.as_ref();
        let class = self.class;
        centre.is_none_or(|it| *it == instance.data_centre)
            && class.is_none_or(|it| it == instance.class)
    }
}

fn covers(centre: &Option<DataCentreId>, class: Option<Class>, order: &Order) -> bool {
    centre.as_ref().is_none_or(|it| *it == order.data_centre)
        && class.is_none_or(|it| it == order.class)
}
