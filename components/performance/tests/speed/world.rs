//! Upstreams of uneven speed, and entries that learn it from the answers they see.

use std::time::{Duration, Instant};

use performance::{Evidence, Speed, Usual};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Simulated time between two answers of the fleet.
const ANSWER_GAP: Duration = Duration::from_millis(3);
/// Time between two exchanges of all entries.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(250);
/// Share of the time for which an upstream is slow, how long that lasts, and by how much.
const SLOW_SHARE: f64 = 0.15;
const SLOW_TIME: Duration = Duration::from_millis(600);
const SLOWDOWN: f64 = 2.5;
/// Spread of the times of equal requests, as the logarithm of a factor either way.
const NOISE: f64 = 0.4;
/// Expected times are wrong by this factor for all upstreams.
const COMMON_ERROR: f64 = 1.7;

/// What an upstream states of its slowdown.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Statement {
    Nothing,
    True,
    /// The same figure all the time.
    Constant(f64),
    /// Figures between 20 and 500 that have nothing to do with the time.
    Random,
}

#[derive(Debug)]
struct Upstream {
    speed: f64,
    statement: Statement,
    slow_until: Option<Instant>,
}

/// Entries, and the upstreams to which they send.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) now: Instant,
    random: StdRng,
    upstreams: Vec<Upstream>,
    entries: Vec<(Usual, Vec<Speed>)>,
    exchanged_at: Instant,
    /// Share of the answers that take ten times as long.
    pub(crate) outliers: f64,
    /// Whether entries exchange what they learned.
    pub(crate) exchanges: bool,
}

impl World {
    /// Creates a world of upstreams with speeds from 0.55 to 1.2, of which `statement` is the statement
    /// by number.
    pub(crate) fn new(
        entries: usize,
        upstreams: usize,
        statement: impl Fn(usize) -> Statement,
        seed: u64,
    ) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let upstreams = (0..upstreams).map(|number| Upstream {
            speed: random.random_range(0.55..1.2),
            statement: statement(number),
            slow_until: None,
        });
        let upstreams: Vec<_> = upstreams.collect();
        let now = Instant::now();
        World {
            now,
            entries: vec![(Usual::default(), vec![Speed::default(); upstreams.len()]); entries],
            upstreams,
            random,
            exchanged_at: now,
            outliers: 0.0,
            exchanges: true,
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ANSWER_GAP;
            self.slow_down();
            self.answer();
            if self.exchanges && self.now >= self.exchanged_at + EXCHANGE_PERIOD {
                self.exchanged_at = self.now;
                self.exchange();
            }
        }
    }

    /// Gives an upstream another speed, as a new process of the same name has.
    pub(crate) fn restart(&mut self, upstream: usize, speed: f64) {
        self.upstreams[upstream].speed = speed;
        for (_, speeds) in &mut self.entries {
            speeds[upstream] = Speed::default();
        }
    }

    /// Replaces all entries by new processes that learned nothing.
    pub(crate) fn replace_entries(&mut self) {
        for entry in &mut self.entries {
            *entry = (
                Usual::default(),
                vec![Speed::default(); self.upstreams.len()],
            );
        }
    }

    fn slow_down(&mut self) {
        let begin =
            ANSWER_GAP.as_secs_f64() / SLOW_TIME.as_secs_f64() * SLOW_SHARE / (1.0 - SLOW_SHARE);
        for upstream in &mut self.upstreams {
            match upstream.slow_until {
                Some(until) if self.now < until => {}
                _ => {
                    let is_slow = self.random.random_bool(begin);
                    upstream.slow_until = is_slow.then_some(self.now + SLOW_TIME);
                }
            }
        }
    }

    /// Lets an entry see an answer of an upstream.
    fn answer(&mut self) {
        let number = self.random.random_range(0..self.upstreams.len());
        let entry = self.random.random_range(0..self.entries.len());
        let noise = self.random.random_range(-NOISE..NOISE).exp();
        let outlier = if self.random.random_bool(self.outliers) {
            10.0
        } else {
            1.0
        };
        let random = self.random.random_range(20.0..500.0);
        let upstream = &self.upstreams[number];
        let time = noise * outlier / upstream.present(self.now);
        let stated = match upstream.statement {
            Statement::Nothing => None,
            Statement::True => Some(100.0 * upstream.slowdown(self.now)),
            Statement::Constant(slowdown) => Some(slowdown),
            Statement::Random => Some(random),
        };
        let (usual, speeds) = &mut self.entries[entry];
        if let Some(stated) = stated {
            speeds[number].record_slowdown(stated, self.now);
        }
        if let Some(ratio) = usual.record(COMMON_ERROR / time) {
            speeds[number].record_answer(ratio, self.now);
        }
    }

    /// Sums up the evidence of all entries, and tells it to all, as the leader does.
    pub(crate) fn exchange(&mut self) {
        for upstream in 0..self.upstreams.len() {
            let now = self.now;
            let reports = self
                .entries
                .iter_mut()
                .map(|(_, speeds)| speeds[upstream].report(now));
            let all = reports.fold(Evidence::default(), Evidence::with);
            for (_, speeds) in &mut self.entries {
                speeds[upstream].apply(all, now);
            }
        }
    }

    /// Returns the speed that an entry takes an upstream to have, between statements.
    pub(crate) fn learned(&self, entry: usize, upstream: usize) -> f64 {
        let later = self.now + Duration::from_secs(5);
        self.entries[entry].1[upstream].value(later)
    }

    /// Returns the speed of an upstream relative to all of them, with its slow moments.
    pub(crate) fn actual(&self, upstream: usize) -> f64 {
        let logs = self.upstreams.iter().map(|upstream| upstream.speed.ln());
        let usual = logs.sum::<f64>() / self.upstreams.len() as f64;
        (self.upstreams[upstream].speed.ln() - usual).exp()
    }

    /// Returns by how much the learned speeds are off on average, as a logarithm.
    pub(crate) fn error(&self) -> f64 {
        let number = self.upstreams.len();
        let pairs = (0..self.entries.len()).flat_map(|entry| (0..number).map(move |u| (entry, u)));
        let errors = pairs.map(|(entry, u)| (self.learned(entry, u) / self.actual(u)).ln().abs());
        errors.sum::<f64>() / (self.entries.len() * number) as f64
    }

    /// Returns by how much the speeds of this moment are off on average at the first entry.
    pub(crate) fn present_error(&self) -> f64 {
        let count = self.upstreams.len();
        let logs = self.upstreams.iter().map(|upstream| upstream.speed.ln());
        let usual = logs.sum::<f64>() / count as f64 - SLOW_SHARE * SLOWDOWN.ln();
        let errors = self.upstreams.iter().enumerate().map(|(number, upstream)| {
            let present = upstream.present(self.now).ln() - usual;
            (self.entries[0].1[number].value(self.now).ln() - present).abs()
        });
        errors.sum::<f64>() / count as f64
    }
}

impl Upstream {
    fn slowdown(&self, now: Instant) -> f64 {
        match self.slow_until {
            Some(until) if now < until => SLOWDOWN,
            _ => 1.0,
        }
    }

    fn present(&self, now: Instant) -> f64 {
        self.speed / self.slowdown(now)
    }
}
