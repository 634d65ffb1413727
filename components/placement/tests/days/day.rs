//! A day of a service: the leader's rounds, the cloud and what callers get.

use std::time::{Duration, Instant};

use config::text::{Class, Scaling};
use performance::Sizing;
use placement::autoscaler::{Autoscaler, Economy, Forecast, Input, Order, Settings};

use crate::cloud::{Answer, Cloud, Reclaim};
use crate::load::Load;
use crate::random::Random;

/// Time between two rounds of the leader, in seconds.
const ROUND_S: f64 = 0.5;
/// Time before the first request at which the leader begins, in seconds.
const LEAD_S: f64 = 10.0;
/// Time from the first request until the sizing is learned, in seconds.
const LEARNING_S: f64 = 1.5;
/// Ratio of the engines without caches that a load needs to those with full caches.
const COLD_RATIO: f64 = 1.6;
/// Price of an order, in prices of an on-demand engine per second.
const ORDER_PRICE: f64 = 0.1;
/// Value of the answers of an engine in a second, in the same unit.
pub(crate) const ENGINE_VALUE: f64 = 4.0;

/// What differs between days.
#[derive(Clone, Debug)]
pub(crate) struct Case {
    pub(crate) seed: u64,
    /// Whether entries report that the service is balanced by work.
    pub(crate) is_balanced_by_work: bool,
    /// Mean load, in engines.
    pub(crate) mean: f64,
    /// On-demand engines in each data centre at the start.
    pub(crate) initial: u32,
    /// Time of the first reclaim, and the mean time between two, in seconds.
    pub(crate) reclaims_s: (f64, f64),
    pub(crate) day_s: f64,
    pub(crate) max_count: u32,
    /// Time in which the cloud answers nothing, in seconds.
    pub(crate) silence_s: std::ops::Range<f64>,
    /// Time in which the leader knows nothing of what the service needs, in seconds.
    pub(crate) unknown_s: std::ops::Range<f64>,
    /// Time for which on-demand engines are kept at the start.
    pub(crate) undecided_hold: Duration,
    /// Reclaims in place of random ones.
    pub(crate) reclaims: Option<Vec<Reclaim>>,
    /// Time at which another leader takes over, which knows nothing, in seconds.
    pub(crate) new_leader_s: f64,
}

impl Default for Case {
    fn default() -> Self {
        Case {
            seed: 1,
            is_balanced_by_work: true,
            mean: 36.0,
            initial: 15,
            reclaims_s: (4.6, 30.0),
            day_s: 90.0,
            max_count: 30,
            silence_s: 0.0..0.0,
            unknown_s: 0.0..0.0,
            undecided_hold: Duration::from_secs(18),
            reclaims: None,
            new_leader_s: f64::INFINITY,
        }
    }
}

/// An order as it was sent.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) at_s: f64,
    pub(crate) order: Order,
    /// Count that the slot had by the previous accepted order.
    pub(crate) before: u32,
    /// `None` if the cloud was silent.
    pub(crate) answer: Option<Answer>,
}

/// What a day cost and what callers missed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Paid from the first round on, in prices of an on-demand engine per second.
    pub(crate) paid: f64,
    /// Engine seconds that were missing.
    pub(crate) missing: f64,
    /// Engine seconds that were missing beyond the bounds of all data centres.
    pub(crate) out_of_bounds: f64,
    /// Engine seconds that were missing in the first 12 s.
    pub(crate) missing_at_start: f64,
    /// Engines before the first request.
    pub(crate) at_start: usize,
    pub(crate) sent: Vec<Sent>,
    /// Engines by class, at each round.
    pub(crate) counts: Vec<(f64, usize, usize)>,
}

impl Outcome {
    /// Returns the price of the day with the value that callers missed.
    pub(crate) fn total(&self) -> f64 {
        self.paid + ORDER_PRICE * self.sent.len() as f64 + ENGINE_VALUE * self.missing
    }
}

pub(crate) fn scaling(max_count: u32) -> Scaling {
    let prices = [("a", 1.0), ("b", 0.95), ("c", 1.1), ("d", 1.05)];
    Scaling {
        min_count: 1,
        max_count,
        boot_time: Duration::from_secs(4),
        reclaimable_price: 0.2,
        prices: prices
            .into_iter()
            .map(|(name, price)| (name.into(), price))
            .collect(),
    }
}

fn settings(case: &Case) -> Settings {
    let economy = Economy::default();
    Settings {
        economy: Economy {
            undecided_hold: case.undecided_hold,
            ..economy
        },
        ..Settings::default()
    }
}

/// Runs a day.
pub(crate) fn run(case: &Case) -> Outcome {
    let mut random = Random::new(case.seed);
    let load = Load::new(case.mean, case.day_s, &mut random);
    let (first_s, interval_s) = case.reclaims_s;
    let random_reclaims = Reclaim::of_day(first_s, interval_s, case.day_s, 4, &mut random);
    let reclaims = case.reclaims.clone().unwrap_or(random_reclaims);
    let mut cloud = Cloud::new(scaling(case.max_count), case.initial, reclaims);
    let mut autoscaler = Autoscaler::new(settings(case));
    let mut outcome = Outcome::default();
    let start = Instant::now();
    let rounds = ((LEAD_S + case.day_s) / ROUND_S) as u32;
    for round in 0..rounds {
        let now_s = f64::from(round) * ROUND_S - LEAD_S;
        cloud.advance(now_s, ROUND_S, now_s > 0.0);
        outcome.observe(&cloud, &load, now_s);
        if (now_s..now_s + ROUND_S).contains(&case.new_leader_s) {
            autoscaler = Autoscaler::new(settings(case));
        }
        let now = start + Duration::from_secs_f64(now_s + LEAD_S);
        let input = input(case, &load, now_s);
        let supply = cloud.supply(now_s);
        for order in autoscaler.plan(&cloud.scaling.clone(), &supply, input, now) {
            let serving = supply.get(&order.slot).map_or(0, |supply| supply.serving);
            let answer = match case.silence_s.contains(&now_s) {
                true => None,
                false => Some(cloud.order(&order, now_s)),
            };
            match answer {
                Some(Answer::Accepted) => autoscaler.record_order(&order, now),
                Some(_) => autoscaler.record_refusal(&order.slot, now),
                None => autoscaler.record_failure(&order, now),
            }
            outcome.record(order, serving, answer, now_s);
        }
    }
    outcome.paid = cloud.paid;
    outcome
}

/// Returns what the leader knows: rates are averaged over the last seconds.
fn input(case: &Case, load: &Load, now_s: f64) -> Input {
    let times = (0..6).map(|step| now_s - f64::from(step) * ROUND_S);
    let needed = times.map(|time_s| load.at(time_s)).sum::<f64>() / 6.0;
    let count = |ratio: f64| (needed * ratio).ceil() as u32;
    let sizing = Sizing {
        sufficient: count(1.1),
        cold: count(COLD_RATIO),
        comfortable: count(2.0),
    };
    let is_past_start = now_s >= LEARNING_S;
    let is_learned = is_past_start && !case.unknown_s.contains(&now_s);
    let forecast = match case.unknown_s.contains(&now_s) {
        true => Forecast::default(),
        false => Forecast { sizing, is_learned },
    };
    Input {
        is_balanced_by_work: case.is_balanced_by_work && is_past_start,
        ..Input::from(forecast)
    }
}

impl Outcome {
    fn observe(&mut self, cloud: &Cloud, load: &Load, now_s: f64) {
        let on_demand = cloud.count(Class::OnDemand);
        let reclaimable = cloud.count(Class::Reclaimable);
        self.counts.push((now_s, on_demand, reclaimable));
        if now_s <= 0.0 {
            self.at_start = on_demand + reclaimable;
        }
        let needed = load.at(now_s) * cloud.tokens_ratio(now_s);
        let missing = ROUND_S * (needed - cloud.capacity(now_s)).max(0.0);
        let bound = f64::from(cloud.scaling.max_count) * cloud.scaling.prices.len() as f64;
        self.out_of_bounds += ROUND_S * (needed - bound).max(0.0);
        self.missing += missing;
        if now_s < 12.0 {
            self.missing_at_start += missing;
        }
    }

    fn record(&mut self, order: Order, serving: u32, answer: Option<Answer>, at_s: f64) {
        let accepted = self.sent.iter().rev();
        let mut accepted = accepted.filter(|sent| sent.answer == Some(Answer::Accepted));
        let before = accepted.find(|sent| sent.order.slot == order.slot);
        self.sent.push(Sent {
            at_s,
            before: before.map_or(serving, |sent| sent.order.count),
            order,
            answer,
        });
    }
}
