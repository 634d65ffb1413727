//! Prompts with shared parts, the same on each run.

use gateway::{Part, Prompt};

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) rank: u8,
    pub(crate) per_second: f64,
    pub(crate) shared_tokens: u32,
    pub(crate) own_tokens: u32,
    pub(crate) events: u32,
    pub(crate) target_ms: u64,
}

/// Kinds of request of a deployment.
pub(crate) const KINDS: [Kind; 3] = [
    Kind {
        rank: 0,
        per_second: 48.0,
        shared_tokens: 6_300,
        own_tokens: 2_890,
        events: 9,
        target_ms: 600,
    },
    Kind {
        rank: 1,
        per_second: 109.0,
        shared_tokens: 13_300,
        own_tokens: 3_720,
        events: 20,
        target_ms: 800,
    },
    Kind {
        rank: 2,
        per_second: 170.0,
        shared_tokens: 350,
        own_tokens: 1_110,
        events: 29,
        target_ms: 500,
    },
];

/// A linear congruential generator.
#[derive(Clone, Debug)]
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }

    /// Returns a number of at least 0 and below 1.
    pub(crate) fn unit(&mut self) -> f64 {
        self.below(1 << 30) as f64 / f64::from(1 << 30)
    }
}

/// Requests of all kinds, whose shared parts are used by Zipf's law.
#[derive(Clone, Debug)]
pub(crate) struct Traffic {
    /// Sums of the frequencies of the shared parts, most used first.
    sums: Vec<f64>,
    due: [f64; KINDS.len()],
    sent: u64,
}

impl Traffic {
    pub(crate) fn new(shared_parts: u32) -> Self {
        let mut sum = 0.0;
        let sums = (1..=shared_parts).map(|rank| {
            sum += 1.0 / f64::from(rank);
            sum
        });
        Traffic {
            sums: sums.collect(),
            due: [0.0; KINDS.len()],
            sent: 0,
        }
    }

    /// Returns the next request of `step_ms`, until there is none left.
    pub(crate) fn next(&mut self, random: &mut Random) -> Option<(Kind, Prompt)> {
        let kind = self.due.iter().position(|due| *due >= 1.0)?;
        self.due[kind] -= 1.0;
        let at = random.unit() * self.sums.last().copied().unwrap_or_default();
        let part = self.sums.partition_point(|sum| *sum < at) as u64;
        self.sent += 1;
        Some((KINDS[kind], prompt(kind as u64, part, self.sent)))
    }

    /// Lets `ms` pass.
    pub(crate) fn advance(&mut self, ms: f64) {
        for (due, kind) in self.due.iter_mut().zip(KINDS) {
            *due += kind.per_second * ms / 1_000.0;
        }
    }
}

fn prompt(kind: u64, shared: u64, own: u64) -> Prompt {
    let Kind {
        shared_tokens,
        own_tokens,
        ..
    } = KINDS[kind as usize];
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        model: "m".into(),
        input_tokens: shared_tokens + own_tokens,
        output_tokens: 120,
        length_hint: None,
        parts: vec![
            part((kind + 1) * 100_000 + shared, shared_tokens),
            part(10_000_000 + own, own_tokens),
        ],
    }
}
