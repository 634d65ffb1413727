//! The performance of a service's engines, learned from the requests that they answer.
//!
//! Entries record a [`Sample`] of each complete answer. The leader keeps the newest ones in a
//! [`Learner`], which fits a [`Model`]: a few parameters from which entries estimate how long a
//! request waits, and from which the [`Sizing`] of a service follows.
//!
//! The crate has no network and no clock; callers pass the current time.

mod learner;
mod line;
mod model;
mod quantile;
mod sample;
mod sizing;

pub use learner::{Learner, MIN_SAMPLES};
pub use model::Model;
pub use sample::Sample;
pub use sizing::{Load, Objective, Sizing};
