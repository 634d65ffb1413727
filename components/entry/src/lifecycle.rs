//! The life of one request as a state machine without input or output.
//!
//! Every step of the request path is an [`Event`]. The machine alone decides which outcome the
//! caller is told, from whether a byte of the request may have reached an upstream.

mod event;
mod state;

pub use event::Event;
pub use state::State;

use crate::Outcome;

/// State of one request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Request {
    state: State,
    exposed: bool,
    dispatches: u32,
}

impl Request {
    /// Returns the state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Reports whether an upstream may have begun to run the request.
    pub fn is_exposed(&self) -> bool {
        self.exposed
    }

    /// Returns how often the request was dispatched.
    pub fn dispatches(&self) -> u32 {
        self.dispatches
    }

    /// Returns the outcome once the request is at its end.
    pub fn outcome(&self) -> Option<Outcome> {
        match self.state {
            State::Done => Some(Outcome::Answered),
            State::Refused => Some(Outcome::NotRun),
            State::Unknown => Some(Outcome::Unknown),
            _ => None,
        }
    }

    /// Applies `event`, and reports whether it was allowed; the state stays as it was if not.
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
            (State::Done | State::Refused | State::Unknown, _) => None,
            (State::Received, Event::Admitted) => to(State::Admitted),
            (State::Received, Event::TakenOver) => self.dispatch(),
            (State::Admitted, Event::Claimed) => to(State::Claimed),
            (State::Admitted | State::Claimed, Event::Dispatched) => self.dispatch(),
            (State::Dispatched | State::Answering, Event::Dispatched) => self.dispatch(),
            (State::Dispatched, Event::NotSent | Event::Rejected) => self.take_back(),
            (State::Dispatched, Event::Accepted) => to(State::Answering),
            (State::Answering, Event::Completed) => to(State::Done),
            (State::Admitted, Event::Replayed) => to(State::Done),
            (State::Admitted | State::Claimed, Event::HeldElsewhere) => to(State::Unknown),
            (_, Event::GivenUp) if self.exposed => to(State::Unknown),
            (_, Event::GivenUp) => to(State::Refused),
            _ => None,
        }
    }

    fn dispatch(self) -> Option<Request> {
        Some(Request {
            state: State::Dispatched,
            exposed: true,
            dispatches: self.dispatches + 1,
        })
    }

    /// Returns to the state before the first dispatch, unless an earlier dispatch may have run.
    fn take_back(self) -> Option<Request> {
        let only_one = self.dispatches == 1;
        let state = if only_one {
            State::Admitted
        } else {
            State::Dispatched
        };
        let dispatches = self.dispatches - 1;
        let exposed = !only_one;
        Some(Request {
            state,
            exposed,
            dispatches,
        })
    }
}
