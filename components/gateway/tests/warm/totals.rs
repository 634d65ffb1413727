//! What is counted of a simulated day.

/// Sums of tokens, and numbers of requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) computed: f64,
    /// Tokens of shared parts among them.
    pub(crate) shared: f64,
    /// Tokens of shared parts that another engine had computed within 10 s.
    pub(crate) repeated: f64,
    pub(crate) fetched: f64,
    pub(crate) requests: u32,
    pub(crate) on_time: u32,
    pub(crate) refused: u32,
    /// Fetches from an engine that did not have the part.
    pub(crate) empty_fetches: u32,
}

impl Totals {
    /// Adds what is compared of two runs: tokens and requests.
    pub(crate) fn add(&mut self, other: &Totals) {
        self.computed += other.computed;
        self.repeated += other.repeated;
        self.requests += other.requests;
        self.on_time += other.on_time;
    }

    /// Returns the share of the computed tokens that were computed again.
    pub(crate) fn repeated_share(&self) -> f64 {
        self.repeated / self.computed.max(1.0)
    }

    /// Returns the share of the requests that were answered in time.
    pub(crate) fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.requests.max(1))
    }
}
