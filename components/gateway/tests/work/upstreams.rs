//! Upstreams of uneven speed that run a number of requests at the same time.

use std::collections::VecDeque;
use std::time::Duration;

use gateway::Load;
use gateway::balancer::Choice;
use rand::RngExt;
use rand::rngs::StdRng;

/// Simulated time between two looks at the upstreams.
pub(crate) const STEP: Duration = Duration::from_millis(2);
/// Share of the time for which an upstream is slow, how long that lasts, and by how much.
const SLOW_SHARE: f64 = 0.15;
const SLOW_TIME: Duration = Duration::from_millis(600);
const SLOWDOWN: f64 = 2.5;
/// Share of the time that goes to events while there are prompts to compute.
const EVENT_SHARE: f64 = 0.2;

/// A request at an upstream. Times are those of a usual upstream.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) entry: usize,
    pub(crate) choice: Choice,
    pub(crate) number: usize,
    pub(crate) waited: Duration,
    pub(crate) first_event: Option<Duration>,
    /// Prompt still to be computed, in milliseconds.
    pub(crate) prefill_ms: f64,
    /// Answer still to be generated, in milliseconds.
    pub(crate) answer_ms: f64,
    /// Whether the first event comes with the last one.
    pub(crate) is_plain: bool,
}

/// What happened to a request in a step.
pub(crate) enum Event {
    First(Request, Load),
    Last(Request),
}

/// An upstream.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) speed: f64,
    slots: usize,
    slow_left: Duration,
    running: Vec<Request>,
    waiting: VecDeque<Request>,
}

impl Upstream {
    pub(crate) fn new(speed: f64, slots: usize) -> Self {
        Upstream {
            speed,
            slots,
            slow_left: Duration::ZERO,
            running: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    pub(crate) fn push(&mut self, request: Request) {
        self.waiting.push_back(request);
    }

    /// Returns the load that it states in an answer.
    pub(crate) fn load(&self) -> Load {
        let count = |requests| u32::try_from(requests).expect("there are few requests");
        Load {
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
            slots: count(self.slots),
            slowdown: Some(100.0 * self.slowdown()),
        }
    }

    /// Works for one [`STEP`].
    pub(crate) fn work(&mut self, random: &mut StdRng) -> Vec<Event> {
        self.slow_down(random);
        while self.running.len() < self.slots
            && let Some(next) = self.waiting.pop_front()
        {
            self.running.push(next);
        }
        for request in self.running.iter_mut().chain(&mut self.waiting) {
            request.waited += STEP;
        }
        let budget = STEP.as_secs_f64() * 1_000.0 * self.speed / self.slowdown();
        let mut prefill = 0.0;
        let mut generation = budget;
        if self.running.iter().any(|request| request.prefill_ms > 0.0) {
            prefill = budget * (1.0 - EVENT_SHARE);
            generation = budget * EVENT_SHARE;
        }
        for request in &mut self.running {
            match request.prefill_ms {
                left if left > 0.0 => {
                    let computed = left.min(prefill);
                    request.prefill_ms -= computed;
                    prefill -= computed;
                }
                _ => request.answer_ms -= generation,
            }
        }
        self.events()
    }

    fn slowdown(&self) -> f64 {
        match self.slow_left {
            Duration::ZERO => 1.0,
            _ => SLOWDOWN,
        }
    }

    fn slow_down(&mut self, random: &mut StdRng) {
        let share = SLOW_SHARE / (1.0 - SLOW_SHARE);
        let begin = STEP.as_secs_f64() / SLOW_TIME.as_secs_f64() * share;
        match self.slow_left {
            Duration::ZERO if random.random_bool(begin) => self.slow_left = SLOW_TIME,
            left => self.slow_left = left.saturating_sub(STEP),
        }
    }

    fn events(&mut self) -> Vec<Event> {
        let load = self.load();
        let mut events = Vec::new();
        for request in &mut self.running {
            let has_first = match request.is_plain {
                true => request.answer_ms <= 0.0,
                false => request.prefill_ms <= 0.0,
            };
            if has_first && request.first_event.is_none() {
                request.first_event = Some(request.waited);
                events.push(Event::First(request.clone(), load));
            }
        }
        let is_done = |request: &mut Request| request.prefill_ms <= 0.0 && request.answer_ms <= 0.0;
        events.extend(self.running.extract_if(.., is_done).map(Event::Last));
        events
    }
}
