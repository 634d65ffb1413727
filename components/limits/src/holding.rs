//! The allotment of an account's limit that one entry holds, and what it spent of it.

use std::time::{Duration, Instant};

use crate::{Decision, Headroom, Rate, SlidingWindow, Statement};

/// Length of the window until the leader has sent it.
const DEFAULT_WINDOW: Duration = Duration::from_secs(8);
/// Age of the leader's newest headroom up to which an entry keeps to the pace of all entries.
const MAX_HEADROOM_AGE: Duration = Duration::from_millis(400);
/// Pause after a draw that did not cover its request.
const DRAW_PAUSE: Duration = Duration::from_millis(200);
/// Shortest time after which a refused caller should return. By then the leader has divided the
/// limit again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// An entry's holding of the token limit of one account.
///
/// The entry never spends more than its allotment within any window, whether or not it reaches the
/// leader. The allotments of all entries add up to the limit, so all entries together keep it.
/// While the leader answers, the entry also keeps to the pace that the leader observes at all
/// entries.
#[derive(Clone, Debug)]
pub struct Holding {
    /// Tokens that this entry may spend within any window.
    allotment: f64,
    /// Tokens spent here.
    recent: SlidingWindow,
    /// Tokens spent here since the process started.
    total: u64,
    /// Tokens that all entries may spend now, and when the leader sent this. `None` before.
    available: Option<(f64, Instant)>,
    /// Tokens spent since the newest statement.
    since_statement: f64,
    draw_after: Option<Instant>,
}

impl Default for Holding {
    fn default() -> Self {
        Holding {
            allotment: 0.0,
            recent: SlidingWindow::new(DEFAULT_WINDOW),
            total: 0,
            available: None,
            since_statement: 0.0,
            draw_after: None,
        }
    }
}

impl Holding {
    /// Decides on a request of `tokens` tokens, and takes them if it is admitted.
    ///
    /// A request larger than the burst needs an available burst only, and one larger than the limit
    /// of a window an allotment of that size, so that such requests are slow and not impossible.
    pub fn take(&mut self, tokens: u64, rate: Rate, now: Instant) -> Decision {
        let needed = tokens as f64;
        let missing = self.missing_pace(needed, rate, now);
        if missing > 0.0 {
            return refused(missing, rate);
        }
        let limit = rate.within(self.recent.length());
        if self.recent.total(now) + needed.min(limit) <= self.allotment {
            self.spend(tokens, now);
            return Decision::Admitted;
        }
        match self.draw_after {
            Some(after) if now < after => self.refuse(tokens, rate),
            _ => Decision::Draw,
        }
    }

    /// Refuses a request that the allotment does not cover.
    pub fn refuse(&self, tokens: u64, rate: Rate) -> Decision {
        refused(tokens as f64, rate)
    }

    /// Puts back the tokens of a request that arrived at `arrived` and did not run.
    pub fn put_back(&mut self, tokens: u64, arrived: Instant) {
        self.total = self.total.saturating_sub(tokens);
        self.recent.remove(tokens as f64, arrived);
        if let Some((available, _)) = &mut self.available {
            *available += tokens as f64;
        }
    }

    /// Returns the statement to send to the leader; `wanted` tokens are needed beyond the
    /// allotment.
    pub fn statement(&mut self, wanted: u64, now: Instant) -> Statement {
        self.since_statement = 0.0;
        Statement {
            total: self.total,
            recent: self.recent.total(now).ceil() as u64,
            allotment: self.allotment as u64,
            wanted,
        }
    }

    /// Applies the leader's answer to the newest statement.
    pub fn apply(&mut self, headroom: Headroom, window: Duration, now: Instant) {
        self.recent.set_length(window);
        self.allotment = headroom.allotment;
        self.available = Some((headroom.available - self.since_statement, now));
    }

    /// Refuses what the allotment does not cover for a short time, without another draw.
    pub fn pause_draws(&mut self, now: Instant) {
        self.draw_after = Some(now + DRAW_PAUSE);
    }

    /// Returns the tokens that are missing for a request at the pace of all entries; 0 if the pace
    /// is not known.
    fn missing_pace(&self, needed: f64, rate: Rate, now: Instant) -> f64 {
        match self.available {
            Some((available, at)) if now.saturating_duration_since(at) <= MAX_HEADROOM_AGE => {
                let needed = needed.min(rate.burst).max(1.0);
                (needed - available).max(0.0)
            }
            _ => 0.0,
        }
    }

    fn spend(&mut self, tokens: u64, now: Instant) {
        self.total += tokens;
        self.recent.add(tokens as f64, now);
        self.since_statement += tokens as f64;
        if let Some((available, _)) = &mut self.available {
            *available -= tokens as f64;
        }
    }
}

/// Returns a refusal until the rate has yielded `missing` tokens.
fn refused(missing: f64, rate: Rate) -> Decision {
    let wait = Duration::try_from_secs_f64(missing / rate.per_second).unwrap_or(Duration::MAX);
    Decision::Refused {
        retry_after: wait.max(MIN_RETRY_AFTER),
    }
}
