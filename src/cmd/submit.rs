//! `chervilloft submit`: puts a text in force.

use std::net::SocketAddr;
use std::time::Duration;

use control::client::{Client, Outcome, Submission};
use errors::Result;

use super::runtime;

/// What to submit, and where.
#[derive(Clone, Debug)]
pub(crate) struct Submit {
    /// HTTP listeners of the control processes.
    pub(crate) controls: Vec<SocketAddr>,
    /// The operator's bearer token.
    pub(crate) token: String,
    /// The text.
    pub(crate) text: String,
    /// Version that the text was edited from.
    pub(crate) base: u64,
    /// Identifier, to be kept when the submission is sent again.
    pub(crate) id: String,
    /// Longest wait for the text to be in force everywhere.
    pub(crate) wait: Duration,
}

impl Submit {
    /// Submits the text and waits until it is in force everywhere, or says what is missing.
    ///
    /// # Errors
    /// Fails when no control process answers in time; the same submission can be sent again.
    pub(crate) fn run(self) -> Result<Outcome> {
        let client = Client {
            controls: self.controls,
            token: self.token,
        };
        let submission = Submission {
            base: self.base,
            id: self.id,
            text: self.text,
            wait: self.wait,
        };
        runtime::single()?.block_on(client.submit(&submission))
    }
}
