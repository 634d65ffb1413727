//! The state machine of the control group.

use serde::{Deserialize, Serialize};

use crate::claims::{Claims, Holder};
use crate::ledger::Ledger;
use crate::members::Members;
use crate::order::Orders;
use crate::rollouts::Rollouts;
use crate::spending::Spending;
use crate::text::Texts;
use crate::usage::Windows;
use crate::verdicts::Verdicts;
use crate::{Change, Command, Error, Millis, Output, Position};

/// Version of the snapshot format.
const SNAPSHOT_FORMAT: u32 = 1;

/// The state that the control group replicates.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct State {
    now: Millis,
    applied: Position,
    texts: Texts,
    claims: Claims,
    members: Members,
    ledger: Ledger,
    orders: Orders,
    #[serde(default)]
    windows: Windows,
    #[serde(default)]
    spending: Spending,
    #[serde(default)]
    verdicts: Verdicts,
    #[serde(default)]
    rollouts: Rollouts,
}

impl State {
    /// Returns the latest time of all applied commands.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Returns the position of the last applied command.
    pub fn applied(&self) -> Position {
        self.applied
    }

    /// Returns the submitted versions of the operators' text.
    pub fn texts(&self) -> &Texts {
        &self.texts
    }

    /// Returns the claims of idempotency keys.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the entries that have joined.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the instance hours and the spend by day.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the recorded orders.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// Returns the closed windows of usage.
    pub fn windows(&self) -> &Windows {
        &self.windows
    }

    /// Returns the newest record of what accounts spent.
    pub fn spending(&self) -> &Spending {
        &self.spending
    }

    /// Returns the newest record of the parts in quarantine.
    pub fn verdicts(&self) -> &Verdicts {
        &self.verdicts
    }

    /// Returns the newest roll-out of each service.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Applies the command at `position`; skips it if it was applied before.
    pub fn apply(&mut self, position: Position, command: Command) -> Output {
        if position.index <= self.applied.index {
            return Output::Skipped;
        }
        self.applied = position;
        self.now = self.now.max(command.at);
        self.claims.expire(self.now);
        self.apply_change(position, command.at, command.change)
    }

    fn apply_change(&mut self, position: Position, at: Millis, change: Change) -> Output {
        let now = self.now;
        match change {
            Change::Submit(submission) => Output::Submitted(self.texts.submit(now, submission)),
            Change::Claim {
                entry,
                incarnation,
                claim,
                retention_ms,
            } => {
                let holder = Holder {
                    request: claim.request.clone(),
                    entry,
                    incarnation,
                };
                let in_force = self.texts.newest();
                let verdict = self
                    .claims
                    .claim(now, in_force, holder, claim, retention_ms);
                Output::Verdict(verdict)
            }
            Change::Settle {
                entry,
                incarnation,
                claim,
                settlement,
            } => {
                let holder = Holder {
                    request: claim.request.clone(),
                    entry,
                    incarnation,
                };
                Output::Settled(self.claims.settle(now, &holder, claim, settlement))
            }
            Change::Join { entry, incarnation } => {
                if let Some(replaced) = self.members.join(now, entry.clone(), incarnation) {
                    self.claims.shorten_deadlines(now, &entry, replaced);
                }
                self.claims.restore_deadlines(&entry, incarnation);
                Output::Done
            }
            Change::Lost { entry, incarnation } => {
                if self.members.mark_lost(now, &entry, incarnation) {
                    self.claims.shorten_deadlines(now, &entry, incarnation);
                }
                Output::Done
            }
            Change::AddUsage(usage) => {
                self.ledger.add(&usage);
                Output::Done
            }
            Change::Order(order) => Output::Fence(self.orders.record(now, position, order)),
            Change::Replace(replacement) => Output::Submitted(self.texts.replace(now, replacement)),
            Change::Edit(edit) => Output::Submitted(self.texts.edit(now, edit)),
            Change::TakeDuties { .. } => Output::Fence(position.fence()),
            Change::CloseWindow { window, counts } => {
                self.windows.close(window, counts);
                Output::Done
            }
            Change::MarkReported(window) => {
                self.windows.mark_reported(window);
                Output::Done
            }
            Change::RecordSpending(accounts) => {
                // Ages in the record are relative to the sender's time, not to the group's.
                self.spending.record(at, accounts);
                Output::Done
            }
            Change::RecordVerdicts(verdicts) => {
                // As with spending, ages are relative to the sender's time.
                self.verdicts.record(at, verdicts);
                Output::Done
            }
            Change::BeginRollout(order) => {
                Output::Rollout(self.rollouts.record(now, position, order))
            }
            Change::AdvanceRollout(advance) => {
                Output::Advanced(self.rollouts.advance(now, advance))
            }
            Change::Tick => Output::Done,
        }
    }

    /// Encodes the whole state.
    ///
    /// # Errors
    /// Fails if the state can't be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        ciborium::into_writer(&(SNAPSHOT_FORMAT, self), &mut bytes)
            .map_err(|error| Error::Encode(error.to_string()))?;
        Ok(bytes)
    }

    /// Decodes a snapshot made by [`State::snapshot`].
    ///
    /// # Errors
    /// Fails if the bytes are no snapshot or have an unsupported format.
    pub fn restore(bytes: &[u8]) -> Result<State, Error> {
        let (format, mut state): (u32, State) =
            ciborium::from_reader(bytes).map_err(|error| Error::Decode(error.to_string()))?;
        match format {
            SNAPSHOT_FORMAT => {
                state.claims.rebuild_index();
                Ok(state)
            }
            found => Err(Error::Format(found, SNAPSHOT_FORMAT)),
        }
    }
}
