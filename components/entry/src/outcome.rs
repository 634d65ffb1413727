//! The outcome of a request, which the header `Chervilloft-Outcome` reports.

/// Header that carries the outcome.
pub(crate) const HEADER: &str = "chervilloft-outcome";

/// The outcome of a request as it is reported to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// An upstream answered.
    Answered,
    /// No upstream ran the request.
    NotRun,
    /// An upstream may have run the request, and its answer is lost.
    Unknown,
}

impl Outcome {
    /// All outcomes.
    pub const ALL: [Outcome; 3] = [Outcome::Answered, Outcome::NotRun, Outcome::Unknown];

    /// Returns the value of the header.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}
