//! The difference between two texts, by lines.

use std::fmt::Write;

/// Maximum number of pairs of changed lines that are compared. A larger change is shown as one
/// removal and one insertion of all lines between the common start and end.
const MAX_PAIRS: usize = 4_000_000;

/// Returns the lines that differ between `old` and `new`: removed lines with `-`, inserted lines
/// with `+`, each with its line number.
pub fn lines(old: &str, new: &str) -> String {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    let start = common_prefix_len(old.iter(), new.iter());
    let suffix_len = common_prefix_len(old[start..].iter().rev(), new[start..].iter().rev());
    let (old, new) = (
        &old[start..old.len() - suffix_len],
        &new[start..new.len() - suffix_len],
    );
    let common = match old.len().saturating_mul(new.len()) {
        pairs if pairs > MAX_PAIRS => Vec::new(),
        _ => longest_common(old, new),
    };
    render(start, old, new, &common)
}

fn common_prefix_len<'a>(
    left: impl Iterator<Item = &'a &'a str>,
    right: impl Iterator<Item = &'a &'a str>,
) -> usize {
    left.zip(right).take_while(|(l, r)| l == r).count()
}

/// Returns the index pairs of a longest common subsequence.
fn longest_common(old: &[&str], new: &[&str]) -> Vec<(usize, usize)> {
    let columns = new.len() + 1;
    let mut lengths = vec![0_u32; (old.len() + 1) * columns];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            lengths[i * columns + j] = match old[i] == new[j] {
                true => lengths[(i + 1) * columns + j + 1] + 1,
                false => lengths[(i + 1) * columns + j].max(lengths[i * columns + j + 1]),
            };
        }
    }
    let (mut i, mut j, mut pairs) = (0, 0, Vec::new());
    while i < old.len() && j < new.len() {
        match (
            &lengths[(i + 1) * columns + j],
            &lengths[i * columns + j + 1],
        ) {
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

fn render(start: usize, old: &[&str], new: &[&str], common: &[(usize, usize)]) -> String {
    let mut text = String::new();
    let (mut i, mut j) = (0, 0);
    for (next_i, next_j) in common.iter().copied().chain([(old.len(), new.len())]) {
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
