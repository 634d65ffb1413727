//! Fault switches of a model engine.

use serde::{Deserialize, Serialize};

/// Faults to inject; all are off by default.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Switches {
    /// Number of tokens after which an answer is cut off by closing its connection.
    pub close_after: Option<usize>,
    /// Number of tokens after which an answer stays open and sends nothing more, not even comments.
    pub silent_after: Option<usize>,
    /// Number of tokens after which the engine is killed.
    pub die_after: Option<usize>,
    /// Ends streams without `[DONE]`.
    pub drop_done: bool,
    /// Factor applied to the duration of each step.
    #[serde(rename = "stretch")]
    pub slowdown: f64,
    /// Refuses all new requests as overloaded.
    pub overloaded: bool,
    /// Does not announce reclaims.
    pub ignore_notice: bool,
    /// Answers exports with status 500.
    pub refuse_export: bool,
    /// Answers imports with status 500.
    pub refuse_import: bool,
    /// Kills the engine when it receives an export, before it answers.
    pub die_on_export: bool,
    /// Accepts generation requests and never answers them.
    pub mute: bool,
}

impl Default for Switches {
    fn default() -> Self {
        Switches {
            close_after: None,
            silent_after: None,
            die_after: None,
            drop_done: false,
            slowdown: 1.0,
            overloaded: false,
            ignore_notice: false,
            refuse_export: false,
            refuse_import: false,
            die_on_export: false,
            mute: false,
        }
    }
}
