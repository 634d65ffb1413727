//! Models, adapters, versions and roles on instances.

use compact_str::format_compact;
use config::text::{Model, Service};
use upstream::{Role, Served};

use crate::{Action, Decision, Inputs, Instance, Settings, State};

/// Loads that may still be ordered in one plan.
pub(super) struct Loads {
    left: usize,
    limit: usize,
}

impl Loads {
    pub(super) fn new(inputs: &Inputs<'_>, settings: &Settings) -> Self {
        let loading = |i: &&Instance| i.loading.is_some() && i.state == State::Running;
        let busy = inputs.instances.iter().filter(loading).count();
        let limit = settings.max_loads();
        Loads {
            left: limit.saturating_sub(busy),
            limit,
        }
    }

    /// Returns the orders for the instances of one service.
    ///
    /// Instances that serve nothing yet come first. Others change version one at a time, so that
    /// the old version goes on answering.
    pub(super) fn of(&mut self, service: &Service, instances: &[&Instance]) -> Vec<Decision> {
        let mut running: Vec<&Instance> = instances.to_vec();
        running.retain(|i| i.state == State::Running);
        running.sort_by_key(|i| !i.models.is_empty());
        let mut changing = running
            .iter()
            .filter(|i| i.loading.is_some() && !i.models.is_empty())
            .count();
        let mut decisions = Vec::new();
        for instance in running {
            let missing = service.models.iter().find(|model| !has(instance, model));
            match missing {
                Some(model) if instance.loading.is_none() && self.left > 0 => {
                    let serves = !instance.models.is_empty();
                    if serves && changing > 0 {
                        continue;
                    }
                    changing += usize::from(serves);
                    self.left -= 1;
                    decisions.push(self.load(instance, model));
                }
                Some(_) => {}
                None => decisions.extend(unloads(service, instance)),
            }
            decisions.extend(role(instance));
        }
        decisions
    }

    fn load(&self, instance: &Instance, model: &Model) -> Decision {
        Decision {
            action: Action::Load {
                instance: instance.instance.clone(),
                served: Served {
                    model: model.name.clone(),
                    version: model.version.clone(),
                    adapters: model.adapters.clone(),
                },
            },
            reason: format_compact!(
                "load {} of {} that the weight store carries at one time",
                self.limit - self.left,
                self.limit
            ),
            alternatives: Vec::new(),
        }
    }
}

/// Reports whether an instance has a model in the text's version with all its adapters.
pub(super) fn has(instance: &Instance, model: &Model) -> bool {
    instance.models.iter().any(|served| {
        let same = served.model == model.name && served.version == model.version;
        same && model.adapters.iter().all(|a| served.adapters.contains(a))
    })
}

fn unloads(service: &Service, instance: &Instance) -> Vec<Decision> {
    let wanted = |served: &Served| {
        let mut models = service.models.iter();
        models.any(|m| m.name == served.model && m.version == served.version)
    };
    let old = instance.models.iter().filter(|served| !wanted(served));
    old.map(|served| Decision {
        action: Action::Unload {
            instance: instance.instance.clone(),
            model: served.model.clone(),
            version: served.version.clone(),
        },
        reason: "the text no longer names it and all wanted models are loaded".into(),
        alternatives: Vec::new(),
    })
    .collect()
}

fn role(instance: &Instance) -> Option<Decision> {
    (instance.role != Role::Both).then(|| Decision {
        action: Action::Assign {
            instance: instance.instance.clone(),
            role: Role::Both,
        },
        reason: "instances take whole requests".into(),
        alternatives: Vec::new(),
    })
}
