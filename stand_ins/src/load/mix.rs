//! Request mixes, one for each of the two example texts of the operators.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{Call, Generate, Submit};

/// Length of the prefix that long prompts share, in bytes, approximately.
const SHARED_PREFIX_BYTES: usize = 6_000;
/// Number of different shared prefixes.
const SHARED_PREFIXES: u32 = 6;

/// Kind of request mix, by the name of its example text.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mix {
    /// 60 % long prompts with a shared prefix; 20 % short prompts; 20 % calls of a plain service.
    #[default]
    Cetak,
    /// 20 % long prompts with a shared prefix and longer answers; 60 % short prompts; 20 % calls of
    /// a plain service.
    Armor,
}

/// Names used in requests, as in the operators' text.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the model.
    pub model: String,
    /// Name of the plain service; empty for no calls of plain services.
    pub plain: String,
    /// Path of the non-idempotent call.
    pub submit_path: String,
}

impl Mix {
    /// Returns the names in the example text of this mix.
    pub fn target(self) -> Target {
        let (model, plain, submit_path) = match self {
            Mix::Cetak => ("plate-assistant", "jobs", "/exposures"),
            Mix::Armor => ("field-reports", "probes", "/calibrations"),
        };
        Target {
            model: model.to_owned(),
            plain: plain.to_owned(),
            submit_path: submit_path.to_owned(),
        }
    }
}

/// Generates pseudo-random calls.
#[derive(Debug)]
pub(super) struct Generator {
    mix: Mix,
    target: Target,
    seed: u64,
    count: u64,
    rng: StdRng,
}

impl Generator {
    pub(super) fn new(mix: Mix, target: Target, seed: u64) -> Generator {
        Generator {
            mix,
            target,
            seed,
            count: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the seconds until the next call, for Poisson arrivals at `rate` calls per second.
    pub(super) fn next_delay(&mut self, rate: f64) -> f64 {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        -uniform.ln() / rate
    }

    pub(super) fn next_call(&mut self) -> Call {
        self.count += 1;
        let draw: u32 = self.rng.random_range(0..100);
        match (self.mix, draw) {
            (_, 80..) if self.target.plain.is_empty() => self.short_prompt(),
            (_, 90..) => self.submit(),
            (_, 80..) => self.read(),
            (Mix::Cetak, ..60) | (Mix::Armor, ..20) => self.long_prompt(),
            _ => self.short_prompt(),
        }
    }

    fn long_prompt(&mut self) -> Call {
        let standard = self.rng.random_range(0..SHARED_PREFIXES);
        let number = self.count;
        let shared = format!("standard {standard}, clause. ");
        let shared = shared.repeat(SHARED_PREFIX_BYTES / shared.len());
        let (prompt, tokens) = match self.mix {
            Mix::Cetak => (format!("{shared}Check ticket {number}."), 24..64),
            Mix::Armor => (format!("{shared}Report on parcel {number}."), 64..160),
        };
        let max_tokens = self.rng.random_range(tokens);
        self.generate(prompt, max_tokens)
    }

    fn short_prompt(&mut self) -> Call {
        let number = self.count;
        let max_tokens = self.rng.random_range(8..24);
        self.generate(
            format!("Draft a short text about item {number}."),
            max_tokens,
        )
    }

    fn generate(&mut self, prompt: String, max_tokens: usize) -> Call {
        Call::Generate(Generate {
            model: self.target.model.clone(),
            prompt,
            chat: self.rng.random_bool(0.7),
            stream: self.rng.random_bool(0.8),
            max_tokens: Some(max_tokens),
            key: format!("g-{}-{}", self.seed, self.count),
            priority: "",
        })
    }

    fn read(&self) -> Call {
        Call::Read {
            service: self.target.plain.clone(),
            path: format!("/status/{}", self.count),
        }
    }

    fn submit(&self) -> Call {
        let number = self.count;
        Call::Submit(Submit {
            service: self.target.plain.clone(),
            path: self.target.submit_path.clone(),
            body: format!("{{\"item\":{number},\"seed\":{}}}", self.seed),
            key: format!("s-{}-{number}", self.seed),
        })
    }
}
