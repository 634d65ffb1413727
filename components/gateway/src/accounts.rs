//! Token limits of client accounts at one entry.

use std::sync::Arc;
use std::time::{Duration, Instant};

use config::ids::AccountId;
use indexmap::IndexMap;
use limits::{Decision, Headroom, Holding, Rate};
use wire::{Balances, Statements};

/// Longest wait of a request for a larger allotment of its account's limit.
pub(crate) const DRAW_TIMEOUT: Duration = Duration::from_millis(300);

/// This entry's holdings of the accounts that have a token limit.
#[derive(Debug, Default)]
pub struct Accounts {
    accounts: IndexMap<AccountId, Account>,
    /// Number of the newest statements.
    number: u64,
    /// Whether the leader did not answer the newest statements.
    is_cut_off: bool,
}

#[derive(Debug, Default)]
struct Account {
    holding: Holding,
    /// Number of the newest statement about the account.
    number: u64,
    /// Until when the answer to a draw is expected. Reports leave the account out until then.
    draws_until: Option<Instant>,
    /// Held by the request that draws.
    drawing: Arc<tokio::sync::Mutex<()>>,
}

impl Account {
    fn is_drawing(&self, now: Instant) -> bool {
        self.draws_until.is_some_and(|until| now < until)
    }
}

impl Accounts {
    /// Decides on a request of `tokens` tokens, and takes them if it is admitted. A draw is needed
    /// only while the leader answers.
    pub fn take(&mut self, account: &AccountId, rate: Rate, tokens: u64, now: Instant) -> Decision {
        let is_cut_off = self.is_cut_off;
        decide(
            &mut self.account(account).holding,
            is_cut_off,
            rate,
            tokens,
            now,
        )
    }

    /// Returns what [`Accounts::take`] would decide, and takes nothing.
    pub fn preview(&self, account: &str, rate: Rate, tokens: u64, now: Instant) -> Decision {
        let account = self.accounts.get(account);
        let mut holding = account.map_or_else(Holding::default, |account| account.holding.clone());
        decide(&mut holding, self.is_cut_off, rate, tokens, now)
    }

    /// Puts back the tokens of a request that arrived at `arrived` and did not run.
    pub fn put_back(&mut self, account: &AccountId, tokens: u64, arrived: Instant) {
        if let Some(account) = self.accounts.get_mut(account) {
            account.holding.put_back(tokens, arrived);
        }
    }

    /// Returns the statements of a report about `accounts`, except those for which the answer to a
    /// draw is expected.
    pub fn statements(&mut self, accounts: &[AccountId], now: Instant) -> Statements {
        self.number += 1;
        let number = self.number;
        let mut statements = Vec::new();
        for name in accounts {
            let account = self.account(name);
            if !account.is_drawing(now) {
                account.number = number;
                statements.push((name.clone(), account.holding.statement(0, now)));
            }
        }
        Statements {
            number,
            accounts: statements,
        }
    }

    /// Returns the lock that a request holds while it draws.
    pub fn drawing(&mut self, account: &AccountId) -> Arc<tokio::sync::Mutex<()>> {
        self.account(account).drawing.clone()
    }

    /// Returns the statement of a draw, for a request of `tokens` tokens that the allotment does
    /// not cover.
    pub fn draw(&mut self, account: &AccountId, tokens: u64, now: Instant) -> Statements {
        self.number += 1;
        let number = self.number;
        let slot = self.account(account);
        slot.number = number;
        slot.draws_until = Some(now + DRAW_TIMEOUT);
        let statement = slot.holding.statement(tokens, now);
        Statements {
            number,
            accounts: vec![(account.clone(), statement)],
        }
    }

    /// Ends the draw of an account, and decides on its request. What the allotment still does not
    /// cover is refused.
    pub fn end_draw(
        &mut self,
        account: &AccountId,
        rate: Rate,
        tokens: u64,
        now: Instant,
    ) -> Decision {
        let holding = &mut self.account(account).holding;
        match holding.take(tokens, rate, now) {
            Decision::Draw => {
                holding.pause_draws(now);
                holding.refuse(tokens, rate)
            }
            decision => decision,
        }
    }

    /// Applies the leader's answer to the statements with `number`. Accounts about which a later
    /// statement was made wait for its answer.
    pub fn apply(&mut self, number: u64, balances: &Balances, now: Instant) {
        self.is_cut_off = false;
        let window = Duration::from_millis(balances.window_ms);
        for (name, balance) in &balances.accounts {
            let account = self.account(name);
            if account.number == number {
                let headroom = Headroom {
                    available: balance.available as f64,
                    allotment: balance.allotment as f64,
                };
                account.holding.apply(headroom, window, now);
                account.draws_until = None;
            }
        }
    }

    /// Records that the leader did not answer. Until it does, requests that the holdings do not
    /// cover are refused at once.
    pub fn record_silence(&mut self) {
        self.is_cut_off = true;
    }

    fn account(&mut self, account: &AccountId) -> &mut Account {
        self.accounts.entry(account.clone()).or_default()
    }
}

/// Decides on a request of `tokens` tokens, and takes them if it is admitted.
fn decide(
    holding: &mut Holding,
    is_cut_off: bool,
    rate: Rate,
    tokens: u64,
    now: Instant,
) -> Decision {
    match holding.take(tokens, rate, now) {
        Decision::Draw if is_cut_off => holding.refuse(tokens, rate),
        decision => decision,
    }
}
