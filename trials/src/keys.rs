//! Keys and secrets that all fleets use.

use config::keys::Secret;

/// Bearer key of the account "shops".
pub const ACCOUNT_KEY: &str = "trial-key-of-shops";
/// Bearer key of the account "office".
pub const SECOND_ACCOUNT_KEY: &str = "trial-key-of-office";
/// Token of the operator "ana".
pub const OPERATOR_TOKEN: &str = "trial-token-of-ana";

const FLEET_SECRET: &str = "trial-secret-of-the-fleet-0123456789";
const UPSTREAMS_SECRET: &str = "trial-secret-of-the-upstreams-0123456789";

/// Returns the content of the keys file.
pub(crate) fn render() -> String {
    format!(
        "fleet = \"{FLEET_SECRET}\"\n\
         upstreams = \"{UPSTREAMS_SECRET}\"\n\
         [accounts]\n\
         shops = [\"{ACCOUNT_KEY}\"]\n\
         office = [\"{SECOND_ACCOUNT_KEY}\"]\n\
         [operators]\n\
         ana = \"{OPERATOR_TOKEN}\"\n\
         ben = \"trial-token-of-ben\"\n"
    )
}

/// Returns the secret with which upstreams sign announcements.
pub(crate) fn upstreams_secret() -> Secret {
    Secret::new(UPSTREAMS_SECRET)
}
