//! `chervilloft status` and `show`: reads what the control group knows.

use std::net::SocketAddr;

use control::client::{Client, Document};
use errors::Result;
use serde_json::Value;

use super::runtime;

/// What to read, and where.
#[derive(Clone, Debug)]
pub(crate) struct Status {
    /// HTTP listeners of the control processes.
    pub(crate) controls: Vec<SocketAddr>,
    /// The operator's bearer token.
    pub(crate) token: String,
    /// The document.
    pub(crate) document: Document,
}

impl Status {
    /// Reads the document.
    ///
    /// # Errors
    /// Fails when no control process answers in time, or the token is refused.
    pub(crate) fn run(self) -> Result<Value> {
        let client = Client {
            controls: self.controls,
            token: self.token,
        };
        runtime::single()?.block_on(client.read(self.document))
    }
}
