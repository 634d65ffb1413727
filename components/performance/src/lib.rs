//! The performance of a service's engines, learned from the requests that they answer.
//!
//! Entries record a [`Sample`] of each complete answer. The leader keeps the newest ones in a
//! [`Learner`], which fits a [`Model`]: a few parameters from which entries estimate how long a
//! request waits, and from which the [`Sizing`] of a service follows.
//!
//! The [`Speed`] of each upstream, relative to the others of its service, and the [`Lengths`] of answers
//! are learned at each entry; entries exchange the [`Evidence`] of the speeds.
//!
//! The crate has no network and no clock; callers pass the current time.

mod evidence;
mod learner;
mod lengths;
mod line;
mod model;
mod quantile;
mod sample;
mod sizing;
mod speed;
mod statements;
mod usual;

pub use evidence::Evidence;
pub use learner::{Learner, MIN_SAMPLES};
pub use lengths::Lengths;
pub use model::Model;
pub use sample::Sample;
pub use sizing::{Load, Objective, Sizing};
pub use speed::Speed;
pub use statements::Moment;
pub(crate) use statements::Statements;
pub use usual::Usual;
