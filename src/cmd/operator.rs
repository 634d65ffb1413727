//! Client of the control processes, for the commands of operators.

use clap::ArgMatches;
use control::client::Client;
use errors::{Error, Peer, Result, Step};

use super::files;
use crate::cli;

/// Returns a client for the control processes that the settings list, with the token of the
/// operator that `--operator` names, or of the first one.
pub(crate) fn client(matches: &ArgMatches) -> Result<Client> {
    let settings = files::settings(&cli::path(matches, "settings"))?;
    let keys = files::keys(&settings)?;
    let operator = matches.get_one::<String>("operator");
    let token = match operator {
        Some(name) => keys.operators.get(name.as_str()),
        None => keys.operators.values().next(),
    };
    let controls = settings
        .control_peers
        .iter()
        .map(|peer| peer.operators)
        .collect();
    match token {
        Some(token) => Ok(Client {
            controls,
            token: token.expose().to_owned(),
        }),
        None => {
            let name = operator.map_or("any operator", String::as_str);
            let message = format!("has no token of {name}; add it under [operators]");
            Err(Error::Invalid(
                Step::Load,
                Peer::File(settings.keys_file),
                message,
            ))
        }
    }
}
