//! The two limits of an account, and reports on either.

use serde::{Deserialize, Serialize};

use crate::Report;

/// A limit of a client account.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Limit {
    /// Requests per second.
    Requests,
    /// Prompt and generated tokens per second.
    Tokens,
}

impl Limit {
    /// Returns the name in messages.
    pub fn name(self) -> &'static str {
        match self {
            Limit::Requests => "requests per second",
            Limit::Tokens => "tokens per second",
        }
    }
}

/// An entry's report on one limit of one account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Draw {
    /// The limit.
    pub limit: Limit,
    /// The report.
    pub report: Report,
}
