//! The text that a model engine generates, a function of model, prompt and position.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Minimum length in tokens of an answer whose request sets no limit.
const MIN_ANSWER_TOKENS: u64 = 16;
/// Number of different lengths of answers whose requests set no limit.
const ANSWER_LENGTHS: u64 = 64;

const WORDS: [&str; 16] = [
    "plate", "dot", "gain", "press", "sheet", "ink", "proof", "trim", "probe", "parcel", "soil",
    "field", "depth", "water", "root", "loam",
];

/// Returns the seed of the text that `model` generates for the rendered `prompt`.
pub fn seed(model: &str, prompt: &str) -> u64 {
    xxh3_64_with_seed(prompt.as_bytes(), xxh3_64_with_seed(model.as_bytes(), 1))
}

/// Returns token `index` of the text with `seed`.
pub fn token(seed: u64, index: usize) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), seed);
    let word = WORDS[(hash % WORDS.len() as u64) as usize];
    format!(" {word}-{:05x}", (hash >> 32) & 0xf_ffff)
}

/// Returns the length in tokens of an answer whose request sets no limit.
pub fn default_length(seed: u64) -> usize {
    (MIN_ANSWER_TOKENS + seed % ANSWER_LENGTHS) as usize
}

/// Returns the tokens of the whole answer.
pub fn answer(model: &str, prompt: &str, max_tokens: Option<usize>) -> Vec<String> {
    let seed = seed(model, prompt);
    let length = max_tokens.unwrap_or_else(|| default_length(seed));
    (0..length).map(|index| token(seed, index)).collect()
}

/// Renders the prompt of a chat with one message.
pub fn render_message(role: &str, content: &str) -> String {
    let mut prompt = String::new();
    upstream::prompt::push_message(&mut prompt, role, content);
    prompt
}
