//! Learns the model of one service from samples.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::line::Line;
use crate::quantile::{mean, quantile};
use crate::{Model, Sample};

/// Number of samples of each kind without which nothing is learned.
pub const MIN_SAMPLES: usize = 32;
/// Number of newest samples that are kept.
const MAX_SAMPLES: usize = 1_024;
/// Age at which a sample is dropped. Software, prompts and caches change within a day.
const MAX_AGE: Duration = Duration::from_secs(30);
/// Time between two fits.
const FIT_INTERVAL: Duration = Duration::from_secs(1);
/// Samples that the assumed prefill rate counts for at first. Caches are cold at a start, so that the
/// first answers are slower than later ones.
const ASSUMPTION_WEIGHT: f64 = 256.0;
/// Samples from which on the assumed rate no longer counts.
const ASSUMPTION_END: f64 = 1_024.0;
/// Quantile of the times to the first event that is taken as that without unknown requests ahead.
const FIRST_EVENT_QUANTILE: f64 = 0.2;
/// Fewest events from which the time between two events is learned.
const MIN_EVENTS: u32 = 3;

/// The newest samples of one service, and the model fitted to them.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    samples: VecDeque<(Instant, Sample)>,
    model: Option<Model>,
    fitted_at: Option<Instant>,
}

impl Learner {
    /// Adds samples that an entry sent.
    pub fn add(&mut self, samples: &[Sample], now: Instant) {
        self.samples
            .extend(samples.iter().map(|sample| (now, *sample)));
        let surplus = self.samples.len().saturating_sub(MAX_SAMPLES);
        self.samples.drain(..surplus);
        while let Some((at, _)) = self.samples.front()
            && now.saturating_duration_since(*at) > MAX_AGE
        {
            self.samples.pop_front();
        }
    }

    /// Takes over a model that an entry has from an earlier leader, unless there is one already.
    pub fn adopt(&mut self, model: Model) {
        self.model.get_or_insert(model);
    }

    /// Returns the newest model, which is fitted again each [`FIT_INTERVAL`]; `batch` is the number of
    /// requests that an engine runs at the same time. `None` until there are [`MIN_SAMPLES`].
    pub fn model(&mut self, batch: u32, now: Instant) -> Option<Model> {
        let is_due = self
            .fitted_at
            .is_none_or(|at| now.saturating_duration_since(at) >= FIT_INTERVAL);
        if is_due {
            self.fitted_at = Some(now);
            self.model = self.fit(batch).or(self.model);
        }
        self.model
    }

    fn fit(&self, batch: u32) -> Option<Model> {
        let samples = || self.samples.iter().map(|(_, sample)| sample);
        if samples().all(|sample| sample.own_tokens == 0) {
            return self.fit_calls();
        }
        let first_event = first_event_line(samples(), batch)?;
        let event = event_line(samples())?;
        let tokens = || samples().map(|sample| f64::from(sample.own_tokens));
        let duration_ms =
            |sample: &Sample| f64::from(sample.first_event_ms) + f64::from(sample.stream_ms);
        Some(Model {
            samples: u32::try_from(self.samples.len()).unwrap_or(u32::MAX),
            first_event_ms: first_event.base.max(0.0),
            prefill_ms_per_token: self.weighted(first_event.slope),
            event_ms: (event.base + event.slope).max(0.0),
            event_ms_per_request: event.slope,
            tokens: mean(tokens()),
            tokens_squared: mean(tokens().map(|tokens| tokens * tokens)),
            tokens_p95: quantile(&mut tokens().collect::<Vec<_>>(), 0.95)?,
            events: mean(samples().map(|sample| f64::from(sample.events))),
            duration_ms: mean(samples().map(duration_ms)),
        })
    }
}

impl Learner {
    /// Returns the prefill time per token between the assumed one and that of the samples.
    fn weighted(&self, ms_per_token: f64) -> f64 {
        let assumed = Model::assumed(0.0, 0.0).prefill_ms_per_token;
        let samples = self.samples.len() as f64;
        let weight = ASSUMPTION_WEIGHT * (1.0 - samples / ASSUMPTION_END).max(0.0);
        (assumed * weight + ms_per_token * samples) / (weight + samples)
    }

    /// Learns how long calls without a prompt take.
    fn fit_calls(&self) -> Option<Model> {
        let calls = || self.samples.iter().map(|(_, sample)| sample);
        let duration_ms = mean(calls().map(|call| f64::from(call.first_event_ms)));
        (self.samples.len() >= MIN_SAMPLES).then_some(Model {
            samples: u32::try_from(self.samples.len()).unwrap_or(u32::MAX),
            first_event_ms: duration_ms,
            duration_ms,
            ..Model::default()
        })
    }
}

/// Fits the time to the first event over the tokens to compute. Requests are preferred that found
/// no more tokens ahead than they brought: what is queued is known late, so that it says little where
/// it is most of the time. Where there are too few of them, the engines are overloaded, and the
/// others say at least that.
fn first_event_line<'a>(samples: impl Iterator<Item = &'a Sample>, batch: u32) -> Option<Line> {
    let (short, long): (Vec<&Sample>, Vec<&Sample>) = samples
        .filter(|sample| sample.in_flight < batch)
        .partition(|sample| sample.queued_tokens <= sample.own_tokens);
    let point = |sample: &Sample| (sample.tokens(), f64::from(sample.first_event_ms));
    let mut points: Vec<(f64, f64)> = short.into_iter().map(point).collect();
    if points.len() < MIN_SAMPLES {
        points.extend(long.into_iter().map(point));
    }
    if points.len() < MIN_SAMPLES {
        return None;
    }
    let line = Line::fit(&points, FIRST_EVENT_QUANTILE)?;
    (line.slope > 0.0).then_some(line)
}

/// Fits the time between two events over the requests at the engine. A time that doesn't rise with
/// them is taken as constant.
fn event_line<'a>(samples: impl Iterator<Item = &'a Sample>) -> Option<Line> {
    let points: Vec<(f64, f64)> = samples
        .filter_map(|sample| {
            let event_ms = sample.event_ms(MIN_EVENTS)?;
            Some((f64::from(sample.in_flight) + 1.0, event_ms))
        })
        .collect();
    if points.len() < MIN_SAMPLES {
        return None;
    }
    let line = Line::fit(&points, 0.5).filter(|line| line.slope > 0.0 && line.base >= 0.0);
    line.or_else(|| {
        let mut times: Vec<f64> = points.iter().map(|point| point.1).collect();
        Some(Line {
            base: quantile(&mut times, 0.5)?,
            slope: 0.0,
        })
    })
}
