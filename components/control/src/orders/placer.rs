//! The leader's loop that executes placement decisions and records the usage of instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::format_compact;
use config::Text;
use config::ids::InstanceId;
use errors::Result;
use indexmap::{IndexMap, IndexSet};
use placement::{Action, Decision, Inputs, Planner, Slot};
use serde::de::DeserializeOwned;
use state::order::{self, Order, Setting};
use state::{Change, Command, Output};
use tokio::time::sleep;
use tracing::{info, warn};
use upstream::{Announcement, Availability, Served};

use super::cloud::{Instance, Instances, Notices, Prices, State};
use super::issuer::Outcome;
use super::usage::usage;
use crate::replica::Replica;
use crate::{Node, clock};

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two records of usage in the ledger.
const USAGE_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which an order to load a model is repeated if the model is not loaded.
const LOAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Time after which no entry sends work to a draining upstream any more, and the upstream's load
/// report includes all work that was sent.
const DRAIN_DELAY: Duration = Duration::from_secs(6);

/// State of the loop between rounds.
struct Placer<R> {
    node: Arc<Node<R>>,
    cloud: SocketAddr,
    planner: Planner,
    term: u64,
    last_notice: u64,
    reclaimed: IndexSet<InstanceId>,
    loading: IndexMap<InstanceId, (Served, Instant)>,
    usage_recorded_at: Instant,
}

/// Inputs that one round reads.
struct Observation {
    text: Arc<Text>,
    instances: Vec<Instance>,
    prices: IndexMap<Slot, f64>,
    announced: IndexMap<InstanceId, Announcement>,
}

/// Runs the loop until the process stops, if a cloud API is set. It acts only as the leader.
pub(crate) async fn run<R>(node: Arc<Node<R>>)
where
    R: Replica<Command = Command, Output = Output>,
{
    let Some(cloud) = node.settings.cloud else {
        return;
    };
    let mut placer = Placer {
        cloud,
        planner: Planner::default(),
        term: 0,
        last_notice: 0,
        reclaimed: IndexSet::new(),
        loading: IndexMap::new(),
        usage_recorded_at: Instant::now(),
        node,
    };
    while !*placer.node.stopped.borrow() {
        sleep(ROUND_INTERVAL).await;
        match placer.node.order_term() {
            Some(term) => placer.run_round(term).await,
            None => placer.term = 0,
        }
    }
}

impl<R: Replica<Command = Command, Output = Output>> Placer<R> {
    async fn run_round(&mut self, term: u64) {
        if self.term != term {
            self.term = term;
            self.planner = Planner::default();
            self.loading.clear();
        }
        match self.observe().await {
            Ok(Some(observation)) => {
                self.record_usage(&observation).await;
                self.place(&observation).await;
            }
            Ok(None) => {}
            Err(error) => warn!("placement: round skipped: {error}"),
        }
    }

    async fn observe(&mut self) -> Result<Option<Observation>> {
        let Some((_, text)) = self.node.text() else {
            return Ok(None);
        };
        let instances: Instances = self.read("/v1/instances".to_owned()).await?;
        let prices: Prices = self.read("/v1/prices".to_owned()).await?;
        let path = format!("/v1/notices?after={}", self.last_notice);
        let notices: Notices = self.read(path).await?;
        self.last_notice = notices.last;
        for notice in notices.notices {
            self.record_reclaim(&notice.instance, &instances.instances);
        }
        let announced = self.node.upstreams().into_iter();
        let slot = |price: &super::cloud::Price| Slot {
            data_centre: price.data_centre.clone(),
            class: price.class,
        };
        Ok(Some(Observation {
            text,
            instances: instances.instances,
            prices: prices.prices.iter().map(|p| (slot(p), p.price)).collect(),
            announced: announced.map(|a| (a.upstream.clone(), a)).collect(),
        }))
    }

    async fn read<T: DeserializeOwned>(&self, path: String) -> Result<T> {
        let answer = self.node.fetch(self.cloud, path).await?;
        serde_json::from_value(answer).map_err(|error| {
            let peer = errors::Peer::Address(self.cloud);
            errors::Error::Other(errors::Step::Decode, peer, Box::new(error))
        })
    }

    fn record_reclaim(&mut self, name: &InstanceId, instances: &[Instance]) {
        if let Some(instance) = instances.iter().find(|i| i.instance == *name) {
            info!("placement: the cloud reclaims instance \"{name}\"");
            self.planner.record_reclaim(&slot(instance), Instant::now());
        }
        self.reclaimed.insert(name.clone());
    }

    async fn record_usage(&mut self, observation: &Observation) {
        let (now, until) = (
            clock::unix_ms(),
            self.node.machine.read().ledger().accounted_until(),
        );
        if self.usage_recorded_at.elapsed() < USAGE_INTERVAL && until != 0 {
            return;
        }
        self.usage_recorded_at = Instant::now();
        let oldest = observation.instances.iter().map(|i| i.started_ms_ago).max();
        let from = match until {
            0 => now.saturating_sub(oldest.unwrap_or(0)),
            until => until,
        };
        for span in usage(from, now, &observation.instances, &observation.prices) {
            if let Err(failure) = self.node.commit(Change::AddUsage(span)).await {
                warn!("placement: instance usage is not recorded: {failure:?}");
                return;
            }
        }
    }

    async fn place(&mut self, observation: &Observation) {
        let now = Instant::now();
        let instances = self.convert_instances(observation, now);
        let inputs = Inputs {
            text: &observation.text,
            demand: &IndexMap::new(),
            prices: &observation.prices,
            instances: &instances,
            now,
        };
        for decision in self.planner.plan(&inputs) {
            info!("placement: {decision}");
            self.execute(decision, observation).await;
        }
    }

    /// Converts the cloud's starting and running instances to the planner's type. Removes model
    /// loads that are complete or have timed out.
    fn convert_instances(
        &mut self,
        observation: &Observation,
        now: Instant,
    ) -> Vec<placement::Instance> {
        self.loading.retain(|name, (served, since)| {
            let announced = observation.announced.get(name);
            let loaded = announced.is_some_and(|a| a.models.contains(served));
            !loaded && now.saturating_duration_since(*since) < LOAD_TIMEOUT
        });
        let live = |i: &&Instance| matches!(i.state, State::Starting | State::Running);
        let instances = observation.instances.iter().filter(live);
        instances
            .map(|instance| self.convert_instance(instance, observation, now))
            .collect()
    }

    fn convert_instance(
        &self,
        instance: &Instance,
        observation: &Observation,
        now: Instant,
    ) -> placement::Instance {
        let announced = observation.announced.get(&instance.instance);
        let age = Duration::from_millis(instance.started_ms_ago);
        let availability = announced.map(|a| a.availability);
        let state = match availability {
            _ if self.reclaimed.contains(&instance.instance) => placement::State::Reclaimed,
            None => placement::State::Starting,
            Some(Availability::Serving) => placement::State::Running,
            Some(Availability::Leaving) => placement::State::Draining,
            Some(Availability::Reclaimed { .. }) => placement::State::Reclaimed,
        };
        let draining = self.time_draining(&instance.instance);
        let state = match (state, draining) {
            (placement::State::Running, Some(_)) => placement::State::Draining,
            (state, _) => state,
        };
        let may_still_get_work = draining.is_some_and(|time| time < DRAIN_DELAY);
        let loading = self.loading.get(&instance.instance);
        placement::Instance {
            instance: instance.instance.clone(),
            service: instance.service.clone(),
            slot: slot(instance),
            state,
            started: now.checked_sub(age).unwrap_or(now),
            in_progress: announced
                .map_or(0, |a| a.load.running + a.load.waiting)
                .max(u32::from(may_still_get_work)),
            models: announced.map(|a| a.models.clone()).unwrap_or_default(),
            loading: loading.map(|(served, _)| served.clone()),
            role: announced.map(|a| a.role).unwrap_or_default(),
        }
    }

    /// Returns the time since an instance was ordered to drain; `None` if it is not draining.
    fn time_draining(&self, instance: &InstanceId) -> Option<Duration> {
        let state = self.node.machine.read();
        let since = state.orders().draining().get(instance).copied()?;
        let elapsed = clock::unix_ms().saturating_sub(since);
        Some(Duration::from_millis(elapsed))
    }

    async fn execute(&mut self, decision: Decision, observation: &Observation) {
        let reason = decision.reason.clone();
        let engine = |name: &InstanceId, set| {
            let announced = observation.announced.get(name)?;
            let takes_orders = observation
                .text
                .services
                .get(&announced.service)
                .is_none_or(|s| s.kind == config::text::Kind::Model);
            takes_orders.then(|| order::Action::Engine {
                upstream: name.clone(),
                address: announced.address,
                set,
            })
        };
        let action = match &decision.action {
            Action::Start { service, slot } => Some(order::Action::Start {
                token: format_compact!("{}-{}", self.node.settings.node, rand::random::<u64>()),
                service: service.clone(),
                data_centre: slot.data_centre.clone(),
                class: slot.class,
            }),
            Action::Stop { instance } => Some(order::Action::Stop {
                instance: instance.clone(),
            }),
            Action::Drain { instance } => {
                // An upstream that takes no orders is drained by the entries, which stop using it.
                let (drain, instance) = (Setting::Drain(true), instance.clone());
                let recorded_drain = order::Action::Drain {
                    instance: instance.clone(),
                };
                engine(&instance, drain).or(Some(recorded_drain))
            }
            Action::Load { instance, served } => engine(instance, Setting::Load(served.clone())),
            Action::Unload {
                instance,
                model,
                version,
            } => {
                let (model, version) = (model.clone(), version.clone());
                engine(instance, Setting::Unload { model, version })
            }
            Action::Assign { instance, role } => engine(instance, Setting::Role(*role)),
        };
        let Some(action) = action else {
            info!("placement: decision skipped, instance not announced or no engine: {decision}");
            return;
        };
        let outcome = self.node.issue(Order { action, reason }).await;
        self.record_outcome(&decision.action, &outcome);
    }

    fn record_outcome(&mut self, action: &Action, outcome: &Outcome) {
        let now = Instant::now();
        match (action, outcome) {
            (Action::Start { service, slot }, Outcome::Accepted(_)) => {
                self.planner.record_start(service, slot);
            }
            (Action::Start { service, slot }, Outcome::Refused(..)) => {
                self.planner.record_refusal(service, slot, now);
            }
            (Action::Load { instance, served }, Outcome::Accepted(_) | Outcome::Unknown(_)) => {
                self.loading.insert(instance.clone(), (served.clone(), now));
            }
            _ => {}
        }
    }
}

fn slot(instance: &Instance) -> Slot {
    Slot {
        data_centre: instance.data_centre.clone(),
        class: instance.class,
    }
}
