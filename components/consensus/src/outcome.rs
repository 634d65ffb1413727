//! Outcomes of proposals that the proposing node did not apply.

/// Outcome of a proposal that the proposing node did not apply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Another entry was committed at its index: it never takes effect.
    Lost,
    /// It may or may not take effect.
    Unknown,
}
