//! What can happen in the world.

use proptest::prelude::*;

pub(crate) const ENTRIES: usize = 3;
pub(crate) const LEADERS: usize = 3;

#[derive(Clone, Copy, Debug)]
pub(crate) enum Event {
    /// Time passes, in milliseconds.
    Pass(u64),
    /// An entry asks a process that it takes for the leader.
    Ask { entry: usize, leader: usize },
    /// A question arrives, the oldest or any other.
    Arrive(usize),
    /// The process that received a question passes its barrier and answers.
    Answer(usize),
    /// An answer arrives at its entry.
    Return(usize),
    /// A question or an answer is lost.
    Lose(usize),
    /// An entry's process starts again.
    Restart(usize),
    /// An operator submits a text to the leader.
    Submit,
    /// The leader looks whether the newest text is in force everywhere.
    Look,
    /// The leader forgets entries whose lease ran out.
    Forget,
    /// Another process leads.
    Elect(usize),
}

pub(crate) fn events() -> impl Strategy<Value = Vec<Event>> {
    let any = 0..8_usize;
    let event = prop_oneof![
        4 => (1..1_200_u64).prop_map(Event::Pass),
        4 => (0..ENTRIES, 0..LEADERS).prop_map(|(entry, leader)| Event::Ask { entry, leader }),
        4 => any.clone().prop_map(Event::Arrive),
        4 => any.clone().prop_map(Event::Answer),
        4 => any.clone().prop_map(Event::Return),
        1 => any.prop_map(Event::Lose),
        1 => (0..ENTRIES).prop_map(Event::Restart),
        2 => Just(Event::Submit),
        4 => Just(Event::Look),
        1 => Just(Event::Forget),
        1 => (0..LEADERS).prop_map(Event::Elect),
    ];
    proptest::collection::vec(event, 20..200)
}
