//! An emulated engine: it computes prompts one after the other, the most urgent first, and generates
//! for a batch of requests at the same time, which slow each other down.

/// Time between two steps, in milliseconds.
pub(crate) const STEP_MS: f64 = 5.0;
/// How much longer generating takes in a full batch than alone, relative to the latter.
const SLOWDOWN_IN_FULL_BATCH: f64 = 0.5;

/// A request at an engine. Times are those of a usual engine, in milliseconds.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) rank: u8,
    pub(crate) account: usize,
    pub(crate) entry: usize,
    pub(crate) arrived_ms: f64,
    /// What its entry counts as its prompt's work.
    pub(crate) counted_ms: f64,
    pub(crate) compute_ms: f64,
    pub(crate) generate_ms: f64,
}

/// What happened to a request in a step.
#[derive(Debug)]
pub(crate) enum Event {
    Begun(Request),
    Ended(Request),
}

#[derive(Debug, Default)]
pub(crate) struct Engine {
    waiting: Vec<Request>,
    computed: Option<Request>,
    generating: Vec<Request>,
    pub(crate) is_lost: bool,
}

impl Engine {
    pub(crate) fn push(&mut self, request: Request) {
        let place = self
            .waiting
            .partition_point(|other| other.rank <= request.rank);
        self.waiting.insert(place, request);
    }

    /// Takes all requests away from an engine that is lost.
    pub(crate) fn lose(&mut self) -> Vec<Request> {
        self.is_lost = true;
        let mut all = std::mem::take(&mut self.waiting);
        all.extend(self.computed.take());
        all.append(&mut self.generating);
        all
    }

    /// Returns the requests that have begun to generate and those that have ended.
    pub(crate) fn step(&mut self, places: usize) -> Vec<Event> {
        let mut events = Vec::new();
        let batch = self.generating.len() as f64 / places as f64;
        let rate = STEP_MS / (1.0 + SLOWDOWN_IN_FULL_BATCH * batch);
        for request in &mut self.generating {
            request.generate_ms -= rate;
        }
        let ended = self.generating.extract_if(.., |r| r.generate_ms <= 0.0);
        events.extend(ended.map(Event::Ended));
        let mut left_ms = STEP_MS;
        while left_ms > 0.0 {
            if self.computed.is_none() && !self.waiting.is_empty() && self.generating.len() < places
            {
                self.computed = Some(self.waiting.remove(0));
            }
            let Some(mut request) = self.computed.take() else {
                break;
            };
            let spent_ms = request.compute_ms.min(left_ms);
            request.compute_ms -= spent_ms;
            left_ms -= spent_ms;
            if request.compute_ms > 0.0 {
                self.computed = Some(request);
            } else {
                events.push(Event::Begun(request.clone()));
                self.generating.push(request);
            }
        }
        events
    }
}
