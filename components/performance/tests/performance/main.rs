//! Models learned from emulated engines, and the numbers of engines that follow from them.

mod emulator;

use std::time::{Duration, Instant};

use emulator::{Fleet, Kind, Traffic, at};
use googletest::prelude::*;
use performance::{Learner, Load, MIN_SAMPLES, Model, Objective, Sample, Sizing};

const TARGET: Duration = Duration::from_millis(1_200);
const PAUSE: Duration = Duration::from_millis(500);
const SEED: u64 = 1;
const SEEDS: [u64; 3] = [1, 2, 3];

/// Engines that differ in speed, batch and chunk, each with requests that fit them.
fn kinds() -> Vec<(&'static str, Kind, Traffic)> {
    let traffic = Traffic {
        requests_per_second: 60.0,
        mean_tokens: 2_500.0,
        mean_events: 30.0,
        outliers: 0.1,
    };
    let usual = Kind::default();
    vec![
        ("usual", usual, traffic),
        (
            "small batch",
            Kind {
                batch: 24,
                step_ms: 6.5,
                step_ms_per_request: 0.17,
                first_ms: 120.0,
                chunk: 4_096.0,
                ..usual
            },
            traffic,
        ),
        (
            "slow",
            Kind {
                batch: 16,
                step_ms: 9.0,
                step_ms_per_request: 0.3,
                prefill_tokens_per_ms: 24.0,
                ..usual
            },
            Traffic {
                mean_tokens: 1_500.0,
                mean_events: 20.0,
                ..traffic
            },
        ),
        (
            "fast",
            Kind {
                prefill_tokens_per_ms: 120.0,
                step_ms: 1.6,
                ..usual
            },
            Traffic {
                requests_per_second: 150.0,
                ..traffic
            },
        ),
        (
            "slow prefill",
            Kind {
                prefill_tokens_per_ms: 15.0,
                step_ms: 4.0,
                chunk: 1_024.0,
                ..usual
            },
            Traffic {
                mean_tokens: 900.0,
                ..traffic
            },
        ),
        (
            "slow steps",
            Kind {
                step_ms: 15.0,
                stride: 2,
                batch: 32,
                ..usual
            },
            Traffic {
                mean_tokens: 1_200.0,
                ..traffic
            },
        ),
    ]
}

fn objective(kind: &Kind) -> Objective {
    Objective {
        first_event: TARGET,
        pause: PAUSE,
        batch: kind.batch,
    }
}

fn learn(samples: &[Sample], kind: &Kind) -> Option<Model> {
    let start = Instant::now();
    let mut learner = Learner::default();
    learner.add(samples, start);
    learner.model(kind.batch, at(start, 1_000.0))
}

/// Returns the fewest engines with which 95% are in time, found by trying.
fn fewest(kind: &Kind, traffic: &Traffic) -> u32 {
    let serves = |count: &u32| {
        let mut fleet = Fleet::new(*kind, *count, TARGET, PAUSE, SEED);
        fleet.play(traffic, Duration::from_secs(5));
        let result = fleet.play(traffic, Duration::from_secs(30));
        result.share_in_time() >= 0.95
    };
    (1..64).find(serves).expect("some number of engines serves")
}

/// Plays ten seconds of `traffic`, and returns the model learned from them.
fn model(kind: &Kind, traffic: &Traffic, engines: u32, seed: u64) -> Model {
    let mut fleet = Fleet::new(*kind, engines, TARGET, PAUSE, seed);
    let samples = fleet.play(traffic, Duration::from_secs(10)).samples;
    learn(&samples, kind).expect("there are enough samples")
}

/// Returns the rate at which an engine computes a long prompt beside the tokens of `others` requests.
fn prefill_tokens_per_ms(kind: &Kind, others: f64) -> f64 {
    let step_ms = kind.step_ms + others * kind.step_ms_per_request;
    1.0 / (1.0 / kind.prefill_tokens_per_ms + step_ms / kind.chunk)
}

#[test]
fn can_learn_the_prefill_rate_of_each_kind_of_engine_beside_outliers() {
    for (name, kind, traffic) in kinds() {
        let engines = fewest(&kind, &traffic) * 3 / 2;
        let rates: Vec<f64> = SEEDS
            .map(|seed| 1.0 / model(&kind, &traffic, engines, seed).prefill_ms_per_token)
            .into();
        let rate = rates.iter().sum::<f64>() / rates.len() as f64;
        let expected = prefill_tokens_per_ms(&kind, 0.2 * f64::from(kind.batch));
        let error = (rate / expected - 1.0).abs();
        assert_that!(error, le(0.15), "{name}: {rates:.1?} of {expected:.1}");
    }
}

#[test]
fn can_tell_how_many_engines_serve_a_load() {
    for (name, kind, traffic) in kinds() {
        let traffic = Traffic {
            outliers: 0.0,
            ..traffic
        };
        let fewest = fewest(&kind, &traffic);
        for engines in [fewest, fewest * 2, fewest * 4] {
            let model = model(&kind, &traffic, engines, 1);
            let load = Load {
                requests_per_second: traffic.requests_per_second,
                prompt_tokens_per_second: 0.0,
                instances: engines,
            };
            let sizing = Sizing::new(&model, load, &objective(&kind));
            let error = sizing.sufficient.abs_diff(fewest);
            let context = format!("{name}: {sizing:?} of {fewest}, learned from {engines}");
            assert_that!(error, le((fewest / 10).max(1)), "{context}");
            assert_that!(sizing.comfortable, ge(fewest), "{context}");
            assert_that!(sizing.comfortable, le(fewest * 2 + 1), "{context}");
        }
    }
}

#[test]
fn learns_nothing_from_few_samples() {
    let (_, kind, traffic) = kinds()[0];
    let mut fleet = Fleet::new(kind, 8, TARGET, PAUSE, SEED);
    let samples = fleet.play(&traffic, Duration::from_secs(10)).samples;
    assert_that!(learn(&samples[..MIN_SAMPLES / 2], &kind), none());
    assert_that!(learn(&samples, &kind), some(anything()));
}

#[test]
fn learns_nothing_from_requests_with_the_same_prompt_length() {
    let sample = Sample {
        own_tokens: 100,
        first_event_ms: 20,
        events: 10,
        stream_ms: 90,
        ..Sample::default()
    };
    assert_that!(learn(&[sample; 500], &kinds()[0].1), none());
}

#[test]
fn follows_a_release_that_halves_the_speed() {
    let (_, kind, traffic) = kinds()[0];
    let slower = Kind {
        prefill_tokens_per_ms: kind.prefill_tokens_per_ms / 2.0,
        ..kind
    };
    let start = Instant::now();
    let mut learner = Learner::default();
    let mut rates = Vec::new();
    for (kind, second) in [(kind, 10.0), (slower, 60.0)] {
        let mut fleet = Fleet::new(kind, 10, TARGET, PAUSE, SEED);
        let samples = fleet.play(&traffic, Duration::from_secs(20)).samples;
        let now = at(start, second * 1_000.0);
        learner.add(&samples, now);
        let model = learner.model(kind.batch, now).expect("there are samples");
        rates.push(1.0 / model.prefill_ms_per_token);
    }
    assert_that!(rates[1] / rates[0], all!(ge(0.4), le(0.6)), "{rates:?}");
}

#[test]
fn keeps_a_model_of_an_earlier_leader_until_it_has_its_own() {
    let now = Instant::now();
    let earlier = Model {
        prefill_ms_per_token: 0.5,
        ..Model::default()
    };
    let mut learner = Learner::default();
    learner.adopt(earlier);
    assert_that!(learner.model(64, now), some(eq(earlier)));
    let (_, kind, traffic) = kinds()[0];
    let mut fleet = Fleet::new(kind, 8, TARGET, PAUSE, SEED);
    let later = at(now, 2_000.0);
    learner.add(
        &fleet.play(&traffic, Duration::from_secs(10)).samples,
        later,
    );
    learner.adopt(earlier);
    assert_that!(learner.model(64, later), some(not(eq(earlier))));
}

#[test]
fn orders_no_engine_for_a_target_that_none_of_them_meets_at_rest() {
    let model = Model {
        first_event_ms: 3_000.0,
        prefill_ms_per_token: 0.02,
        event_ms: 900.0,
        tokens: 1_000.0,
        tokens_squared: 2e6,
        tokens_p95: 4_000.0,
        events: 20.0,
        ..Model::default()
    };
    let load = Load {
        requests_per_second: 10.0,
        prompt_tokens_per_second: 0.0,
        instances: 20,
    };
    let objective = objective(&Kind::default());
    let sizing = Sizing::new(&model, load, &objective);
    assert_that!(sizing.comfortable, le(10), "{sizing:?}");
}

/// Each call takes 50 ms, and an instance runs six at the same time.
#[test]
fn can_tell_how_many_instances_plain_calls_need() {
    let call = Sample {
        first_event_ms: 50,
        events: 1,
        ..Sample::default()
    };
    let kind = Kind {
        batch: 6,
        ..Kind::default()
    };
    let model = learn(&[call; 200], &kind).expect("there are samples");
    let load = Load {
        requests_per_second: 400.0,
        prompt_tokens_per_second: 0.0,
        instances: 10,
    };
    let sizing = Sizing::new(&model, load, &objective(&kind));
    assert_that!(
        sizing,
        eq(Sizing {
            sufficient: 4,
            cold: 0,
            comfortable: 8,
        })
    );
}

/// Each prompt token takes 0.02 ms, so that 200,000 in a second keep four engines busy.
#[test]
fn counts_engines_for_prompts_that_are_no_longer_cached_as_comfortable() {
    let model = Model {
        prefill_ms_per_token: 0.02,
        event_ms: 5.0,
        tokens: 500.0,
        tokens_squared: 500.0 * 500.0,
        tokens_p95: 500.0,
        events: 10.0,
        ..Model::default()
    };
    let sizing = |prompt_tokens_per_second| {
        let load = Load {
            requests_per_second: 20.0,
            prompt_tokens_per_second,
            instances: 5,
        };
        Sizing::new(&model, load, &objective(&Kind::default()))
    };
    assert_that!(sizing(10_000.0).comfortable, eq(1));
    assert_that!(sizing(200_000.0).comfortable, eq(5));
    assert_that!(sizing(200_000.0).sufficient, eq(1));
    let without = [0.0, 0.25, 0.5, 1.0].map(|lost| sizing(200_000.0).sufficient_without(lost));
    assert_that!(without, eq([1, 2, 3, 5]));
}
