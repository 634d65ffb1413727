//! The lifecycle of one request as a pure state machine.
//!
//! Every step of the request path is an [`Event`]. The outcome that is reported to the caller
//! follows from the state alone: it depends on whether a byte of the request may have reached an
//! upstream.

mod event;
mod state;

pub use event::Event;
pub use state::State;

use crate::Outcome;

/// State of one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Request {
    state: State,
    may_have_run: bool,
    dispatches: u32,
}

impl Request {
    /// Returns the state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Reports whether an upstream may have begun to run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the number of dispatches that were not undone.
    pub fn dispatches(&self) -> u32 {
        self.dispatches
    }

    /// Returns the outcome once the request has ended.
    pub fn outcome(&self) -> Option<Outcome> {
        match self.state {
            State::Done => Some(Outcome::Answered),
            State::NotRun => Some(Outcome::NotRun),
            State::Unknown => Some(Outcome::Unknown),
            _ => None,
        }
    }

    /// Applies `event`, and returns whether it is allowed in this state. Otherwise the state is
    /// unchanged.
    #[must_use]
    pub fn apply(&mut self, event: Event) -> bool {
        match self.next(event) {
            Some(next) => {
                *self = next;
                true
            }
            None => false,
        }
    }

    fn next(self, event: Event) -> Option<Request> {
        let to = |state| Some(Request { state, ..self });
        match (self.state, event) {
            (State::Done | State::NotRun | State::Unknown, _) => None,
            (State::Received, Event::Admitted) => to(State::Admitted),
            (State::Received, Event::TakenOver) => self.dispatch(),
            (State::Admitted, Event::Claimed) => to(State::Claimed),
            (State::Admitted | State::Claimed, Event::Dispatched) => self.dispatch(),
            (State::Dispatched | State::Answering, Event::Dispatched) => self.dispatch(),
            (State::Dispatched, Event::NotSent | Event::Rejected) => self.undo_dispatch(),
            (State::Dispatched, Event::Accepted) => to(State::Answering),
            (State::Answering, Event::Completed) => to(State::Done),
            (State::Admitted, Event::Replayed) => to(State::Done),
            (State::Admitted | State::Claimed, Event::HeldElsewhere) => to(State::Unknown),
            (_, Event::GivenUp) if self.may_have_run => to(State::Unknown),
            (_, Event::GivenUp) => to(State::NotRun),
            _ => None,
        }
    }

    fn dispatch(self) -> Option<Request> {
        Some(Request {
            state: State::Dispatched,
            may_have_run: true,
            dispatches: self.dispatches + 1,
        })
    }

    /// Undoes a dispatch that did not run. Without an earlier dispatch that may have run, the
    /// request returns to the state before its first dispatch.
    fn undo_dispatch(self) -> Option<Request> {
        let is_first = self.dispatches == 1;
        let state = if is_first {
            State::Admitted
        } else {
            State::Dispatched
        };
        let dispatches = self.dispatches - 1;
        let may_have_run = !is_first;
        Some(Request {
            state,
            may_have_run,
            dispatches,
        })
    }
}
