//! Decisions on the models, adapters, versions and roles of instances.

use compact_str::format_compact;
use config::text::{Model, Service};
use upstream::{Role, Served};

use crate::{Action, Decision, Inputs, Instance, Settings, State};

/// The loads that may still be ordered in one plan.
pub(super) struct Loads {
    remaining: usize,
    limit: usize,
}

impl Loads {
    pub(super) fn new(inputs: &Inputs<'_>, settings: &Settings) -> Self {
        let is_loading = |i: &&Instance| i.loading.is_some() && i.state == State::Running;
        let running = inputs.instances.iter().filter(is_loading).count();
        let limit = settings.max_loads();
        Loads {
            remaining: limit.saturating_sub(running),
            limit,
        }
    }

    /// Returns the decisions for the instances of one service.
    ///
    /// Instances without any model come first. The others change version one at a time, so that the
    /// rest keep serving the old version.
    pub(super) fn plan(&mut self, service: &Service, instances: &[&Instance]) -> Vec<Decision> {
        let mut running: Vec<&Instance> = instances.to_vec();
        running.retain(|i| i.state == State::Running);
        running.sort_by_key(|i| !i.models.is_empty());
        let mut changing = running
            .iter()
            .filter(|i| i.loading.is_some() && !i.models.is_empty())
            .count();
        let mut decisions = Vec::new();
        for instance in running {
            let missing = service
                .models
                .iter()
                .find(|model| !has_model(instance, model));
            match missing {
                Some(model) if instance.loading.is_none() && self.remaining > 0 => {
                    let is_serving = !instance.models.is_empty();
                    if is_serving && changing > 0 {
                        continue;
                    }
                    changing += usize::from(is_serving);
                    self.remaining -= 1;
                    decisions.push(self.load(instance, model));
                }
                Some(_) => {}
                None => decisions.extend(unloads(service, instance)),
            }
            decisions.extend(assign_role(instance));
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
                self.limit - self.remaining,
                self.limit
            ),
            alternatives: Vec::new(),
        }
    }
}

/// Reports whether an instance has loaded a model in the version of the text with all its adapters.
pub(super) fn has_model(instance: &Instance, model: &Model) -> bool {
    instance.models.iter().any(|served| {
        let is_same = served.model == model.name && served.version == model.version;
        is_same && model.adapters.iter().all(|a| served.adapters.contains(a))
    })
}

/// Returns the unloads of versions that the text no longer names.
fn unloads(service: &Service, instance: &Instance) -> Vec<Decision> {
    let is_wanted = |served: &Served| {
        let mut models = service.models.iter();
        models.any(|m| m.name == served.model && m.version == served.version)
    };
    let old = instance.models.iter().filter(|served| !is_wanted(served));
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

/// Assigns both phases to an instance that serves only one.
fn assign_role(instance: &Instance) -> Option<Decision> {
    (instance.role != Role::Both).then(|| Decision {
        action: Action::Assign {
            instance: instance.instance.clone(),
            role: Role::Both,
        },
        reason: "instances take whole requests".into(),
        alternatives: Vec::new(),
    })
}
