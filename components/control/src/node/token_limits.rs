//! Token limits of accounts over all entries: what was spent, and how the limits are divided. It
//! reads no clock: the time is an argument of each call.
//!
//! What was spent is not replicated, except for accounts that spent much of their limit; entries
//! state to a new leader what they hold.

use std::time::{Duration, Instant};

use config::Text;
use config::ids::{AccountId, Incarnation, NodeId};
use indexmap::IndexMap;
use limits::{Division, Rate, SlidingWindow, Statement};
use state::spending::{Slice, Slices};
use wire::{Balance, Balances, Statements};

/// One process of an entry.
pub(crate) type EntryProcess = (NodeId, Incarnation);

/// The accounts with a token limit.
#[derive(Debug)]
pub(crate) struct TokenLimits {
    /// Length of the sliding window over which the limits apply.
    window: Duration,
    accounts: IndexMap<AccountId, Account>,
}

#[derive(Debug)]
struct Account {
    /// What all entries spent, by their statements.
    spent: SlidingWindow,
    division: Division,
    /// Total of the newest statement of each process, and its time.
    totals: IndexMap<EntryProcess, (u64, Instant)>,
}

/// Spending of the accounts that spent more than half of their limit, as an earlier leader recorded
/// it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpendingRecord {
    /// Time since it was recorded.
    pub(crate) age: Duration,
    pub(crate) accounts: Slices,
}

/// What an account spent within the last window, and its limit for such a window, in tokens.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Spent {
    pub(crate) account: AccountId,
    pub(crate) tokens: f64,
    pub(crate) limit: f64,
}

impl Account {
    /// Adds what a process spent since its last statement.
    fn add(&mut self, process: &EntryProcess, total: u64, now: Instant) {
        // The total of a process's first statement may be old, so it is not counted as spent.
        let (known, at) = self.totals.get(process).copied().unwrap_or((total, now));
        let interval = now.saturating_duration_since(at);
        self.spent
            .add_over(total.saturating_sub(known) as f64, interval, now);
        self.totals.insert(process.clone(), (total, now));
    }
}

impl TokenLimits {
    /// Starts without accounts; limits apply over `window`.
    pub(crate) fn new(window: Duration) -> Self {
        TokenLimits {
            window,
            accounts: IndexMap::new(),
        }
    }

    /// Starts a term. Each of `processes` may hold an allotment of each limit, and all of them
    /// spent what `record` says, or the steady rate where it says nothing.
    pub(crate) fn take_over(
        &mut self,
        processes: &[EntryProcess],
        record: &SpendingRecord,
        text: &Text,
        now: Instant,
    ) {
        let window = self.window;
        let account = |(name, rate): (&AccountId, Rate)| {
            let spent = assumed_spending(record, name, rate, window, now);
            let division = Division::taken_over(window, processes, spent.clone(), rate, now);
            let totals = IndexMap::new();
            let account = Account {
                spent,
                division,
                totals,
            };
            (name.clone(), account)
        };
        self.accounts = limited_accounts(text).map(account).collect();
    }

    /// Records the statements of a process, and returns the balances under the limits of `text`.
    pub(crate) fn balances(
        &mut self,
        process: &EntryProcess,
        statements: &Statements,
        text: &Text,
        now: Instant,
    ) -> Balances {
        let number = statements.number;
        let balance = |(name, statement): &(AccountId, Statement)| {
            let rate = limits::token_rate(text.accounts.get(name)?)?;
            let balance = self.balance(process, number, name, *statement, rate, now)?;
            Some((name.clone(), balance))
        };
        let accounts = statements.accounts.iter().filter_map(balance).collect();
        Balances {
            window_ms: u64::try_from(self.window.as_millis()).unwrap_or(u64::MAX),
            accounts,
        }
    }

    fn balance(
        &mut self,
        process: &EntryProcess,
        number: u64,
        name: &AccountId,
        statement: Statement,
        rate: Rate,
        now: Instant,
    ) -> Option<Balance> {
        let window = self.window;
        let new_account = || Account {
            spent: SlidingWindow::new(window),
            division: Division::new(window),
            totals: IndexMap::new(),
        };
        let slot = self.accounts.entry(name.clone());
        let account = slot.or_insert_with(new_account);
        let (node, incarnation) = process;
        let allotment =
            account
                .division
                .divide(node, *incarnation, number, statement, rate, now)?;
        account.add(process, statement.total, now);
        Some(Balance {
            available: account.spent.unreserved(rate, now) as i64,
            allotment: allotment as u64,
        })
    }

    /// Drops what is known of processes other than those that `is_known` accepts.
    pub(crate) fn retain_processes(&mut self, is_known: impl Fn(&EntryProcess) -> bool) {
        for account in self.accounts.values_mut() {
            account.totals.retain(|process, _| is_known(process));
        }
    }

    /// Returns the spending within the last window of the accounts that spent more than half of
    /// their limit (see [`SlidingWindow::needs_record`]).
    pub(crate) fn above_half(&mut self, text: &Text, now: Instant) -> Slices {
        let slice = |(age, tokens): (Duration, f64)| Slice {
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            tokens,
        };
        let mut spending = Slices::new();
        for (name, rate) in limited_accounts(text) {
            let Some(account) = self.accounts.get_mut(name) else {
                continue;
            };
            if account.spent.needs_record(rate, now) {
                let slices = account.spent.slices(now).into_iter().map(slice).collect();
                spending.insert(name.clone(), slices);
            }
        }
        spending
    }

    /// Returns what each account with a limit spent within the last window.
    pub(crate) fn spent(&mut self, text: &Text, now: Instant) -> Vec<Spent> {
        let mut spent = Vec::new();
        for (name, rate) in limited_accounts(text) {
            if let Some(account) = self.accounts.get_mut(name) {
                spent.push(Spent {
                    account: name.clone(),
                    tokens: account.spent.total(now),
                    limit: rate.within(self.window),
                });
            }
        }
        spent
    }
}

/// Returns the assumed spending of an account at the start of a term: the recorded spending, or the
/// steady rate if none was recorded.
fn assumed_spending(
    record: &SpendingRecord,
    account: &str,
    rate: Rate,
    window: Duration,
    now: Instant,
) -> SlidingWindow {
    match record.accounts.get(account) {
        Some(slices) => {
            let to_pair = |slice: &Slice| (Duration::from_millis(slice.age_ms), slice.tokens);
            let slices: Vec<_> = slices.iter().map(to_pair).collect();
            SlidingWindow::from_record(&slices, record.age, rate, window, now)
        }
        None => SlidingWindow::at_steady_rate(rate, window, now),
    }
}

/// Returns the accounts that have a token limit.
fn limited_accounts(text: &Text) -> impl Iterator<Item = (&AccountId, Rate)> {
    let accounts = text.accounts.iter();
    accounts.filter_map(|(name, account)| Some((name, limits::token_rate(account)?)))
}
