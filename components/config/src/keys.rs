//! Keys and secrets, read from a file of their own. Their values are never logged.

mod secret;

pub use secret::Secret;

use indexmap::IndexMap;
use serde::Deserialize;

use crate::ids::AccountId;

/// Keys and secrets of one process.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Keys {
    /// Bearer keys of each client account.
    pub accounts: IndexMap<AccountId, Vec<Secret>>,
    /// Bearer tokens of operators, by operator name.
    pub operators: IndexMap<AccountId, Secret>,
    /// Secret shared by the system's own processes.
    pub fleet: Secret,
    /// Secret with which upstreams sign their announcements.
    pub upstreams: Secret,
}

impl Keys {
    /// Parses a keys file.
    ///
    /// # Errors
    /// Returns the line and the fault, without values of the file.
    pub fn parse(source: &str) -> Result<Self, String> {
        toml::from_str(source).map_err(|error: toml::de::Error| {
            let offset = error.span().map_or(0, |span| span.start);
            let line = source[..offset.min(source.len())].matches('\n').count() + 1;
            format!("line {line}: {}", error.message())
        })
    }

    /// Returns the account that has the key `bearer`.
    pub fn account_of(&self, bearer: &str) -> Option<&AccountId> {
        let has_key = |keys: &Vec<Secret>| keys.iter().any(|key| key.matches(bearer));
        self.accounts
            .iter()
            .find(|(_, keys)| has_key(keys))
            .map(|(account, _)| account)
    }

    /// Returns the operator that has the token `bearer`.
    pub fn operator_of(&self, bearer: &str) -> Option<&AccountId> {
        self.operators
            .iter()
            .find(|(_, token)| token.matches(bearer))
            .map(|(name, _)| name)
    }
}
