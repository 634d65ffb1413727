//! The limits of a client account, and entries' requests for a batch of units of one limit.

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
    /// Returns the name that error messages use.
    pub fn name(self) -> &'static str {
        match self {
            Limit::Requests => "requests per second",
            Limit::Tokens => "tokens per second",
        }
    }
}

/// An entry's request for a batch of one limit of one account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Draw {
    /// The limit to draw from.
    pub limit: Limit,
    /// Units that are returned and wanted.
    pub report: Report,
}
