//! The difference between two texts, by lines.

use std::fmt::Write;

/// Most pairs of changed lines that are compared; a larger change is shown as a whole.
const MAX_PAIRS: usize = 4_000_000;

/// Returns the lines that lead from `old` to `new`, those taken out with `-`, those put in
/// with `+`, each with its line number.
pub fn lines(old: &str, new: &str) -> String {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    let start = common(old.iter(), new.iter());
    let end = common(old[start..].iter().rev(), new[start..].iter().rev());
    let (old, new) = (&old[start..old.len() - end], &new[start..new.len() - end]);
    let kept = match old.len().saturating_mul(new.len()) {
        pairs if pairs > MAX_PAIRS => Vec::new(),
        _ => longest_common(old, new),
    };
    render(start, old, new, &kept)
}

fn common<'a>(
    left: impl Iterator<Item = &'a &'a str>,
    right: impl Iterator<Item = &'a &'a str>,
) -> usize {
    left.zip(right).take_while(|(l, r)| l == r).count()
}

/// Returns the pairs of indices of a longest common subsequence.
fn longest_common(old: &[&str], new: &[&str]) -> Vec<(usize, usize)> {
    let width = new.len() + 1;
    let mut lengths = vec![0_u32; (old.len() + 1) * width];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            lengths[i * width + j] = match old[i] == new[j] {
                true => lengths[(i + 1) * width + j + 1] + 1,
                false => lengths[(i + 1) * width + j].max(lengths[i * width + j + 1]),
            };
        }
    }
    let (mut i, mut j, mut pairs) = (0, 0, Vec::new());
    while i < old.len() && j < new.len() {
        match (&lengths[(i + 1) * width + j], &lengths[i * width + j + 1]) {
            _ if old[i] == new[j] => {
                pairs.push((i, j));
                i += 1;
                j += 1;
            }
            (down, right) if down >= right => i += 1,
            _ => j += 1,
        }
    }
    pairs
}

fn render(start: usize, old: &[&str], new: &[&str], kept: &[(usize, usize)]) -> String {
    let mut text = String::new();
    let (mut i, mut j) = (0, 0);
    for (next_i, next_j) in kept.iter().copied().chain([(old.len(), new.len())]) {
        for (n, line) in old.iter().enumerate().take(next_i).skip(i) {
            let _ = writeln!(text, "-{}: {line}", start + n + 1);
        }
        for (n, line) in new.iter().enumerate().take(next_j).skip(j) {
            let _ = writeln!(text, "+{}: {line}", start + n + 1);
        }
        (i, j) = (next_i + 1, next_j + 1);
    }
    text
}
