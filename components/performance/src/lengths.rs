//! Expected lengths of answers, by what was learned of earlier ones with the same key.

use indexmap::IndexMap;

/// Keys that are kept; the least recently used one is dropped first.
const MAX_KEYS: usize = 1_024;
/// Answers of a key without which nothing is taken from it.
const MIN_ANSWERS: f64 = 8.0;
/// Answers that the averages of a key span.
const MEMORY: f64 = 128.0;
/// Part of a hint's deviation from the average one that is taken as true before it is learned: hints
/// are right at the median and often far off.
const FIRST_SLOPE: f64 = 0.5;
/// Spread of the hints, as a sum of squared logarithms, for which that counts.
const FIRST_SPREAD: f64 = 4.0;
/// Largest ratio of a length to the expected one that counts in full in their average ratio.
const MAX_RATIO: f64 = 8.0;

/// Expected lengths by key.
#[derive(Clone, Debug, Default)]
pub struct Lengths {
    keys: IndexMap<u64, Key>,
    /// Number of uses so far.
    uses: u64,
}

/// Averages of the logarithms of the lengths and hints of one key.
#[derive(Clone, Copy, Debug, Default)]
struct Key {
    used: u64,
    answers: f64,
    length: f64,
    /// Average ratio of the length to the one that the averages give, which is lower where a few
    /// answers are much longer than the others.
    ratio: f64,
    hinted: f64,
    hint: f64,
    /// Average length of the answers with a hint.
    hinted_length: f64,
    hint_variance: f64,
    covariance: f64,
}

impl Lengths {
    /// Returns the expected length by the first of `keys` that has enough answers; `None` without one.
    /// `hint` is the caller's estimate.
    pub fn expected(&self, keys: &[u64], hint: Option<f64>) -> Option<f64> {
        let mut learned = keys.iter().filter_map(|key| self.keys.get(key));
        let key = learned.find(|key| key.answers >= MIN_ANSWERS)?;
        Some(key.expected(hint) * key.ratio)
    }

    /// Records an answer of `length` under each of `keys`. What is not a positive number is ignored.
    pub fn record(&mut self, keys: &[u64], hint: Option<f64>, length: f64) {
        if !(length > 0.0 && length.is_finite()) {
            return;
        }
        for key in keys {
            self.uses += 1;
            self.make_room(*key);
            let entry = self.keys.entry(*key).or_default();
            entry.used = self.uses;
            entry.record(hint, length);
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Reports whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Drops the least recently used key if `key` is new and there are too many.
    fn make_room(&mut self, key: u64) {
        if self.keys.len() < MAX_KEYS || self.keys.contains_key(&key) {
            return;
        }
        let oldest = self.keys.iter().min_by_key(|(_, key)| key.used);
        if let Some(oldest) = oldest.map(|(key, _)| *key) {
            self.keys.swap_remove(&oldest);
        }
    }
}

impl Key {
    /// Returns the median length that follows from the averages.
    fn expected(&self, hint: Option<f64>) -> f64 {
        let hint = hint.filter(|hint| *hint > 0.0 && self.hinted > 0.0);
        let log = match hint {
            Some(hint) => self.hinted_length + self.slope() * (hint.ln() - self.hint),
            None => self.length,
        };
        log.exp()
    }

    /// Returns by how much the logarithm of the length grows with that of the hint.
    fn slope(&self) -> f64 {
        let covariance = self.hinted * self.covariance + FIRST_SLOPE * FIRST_SPREAD;
        let variance = self.hinted * self.hint_variance + FIRST_SPREAD;
        (covariance / variance).clamp(0.0, 1.0)
    }

    fn record(&mut self, hint: Option<f64>, length: f64) {
        let ratio = match self.answers {
            answers if answers > 0.0 => (length / self.expected(hint)).min(MAX_RATIO),
            _ => 1.0,
        };
        let weight = next_weight(&mut self.answers);
        self.ratio += (ratio - self.ratio) * weight;
        let log = length.ln();
        self.length += (log - self.length) * weight;
        let Some(hint) = hint.filter(|hint| *hint > 0.0) else {
            return;
        };
        let weight = next_weight(&mut self.hinted);
        let (x, y) = (hint.ln() - self.hint, log - self.hinted_length);
        self.hint += x * weight;
        self.hinted_length += y * weight;
        let keep = 1.0 - weight;
        self.hint_variance = keep * (self.hint_variance + weight * x * x);
        self.covariance = keep * (self.covariance + weight * x * y);
    }
}

/// Counts a further answer, and returns its weight in the averages.
fn next_weight(count: &mut f64) -> f64 {
    *count = (*count + 1.0).min(MEMORY);
    1.0 / *count
}
