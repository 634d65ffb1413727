//! Verdicts from the reports of several entries.

mod fleet;
mod parts;
mod requests;
