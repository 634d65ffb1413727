//! What each end of a connection declares of its release, in headers of the opening handshake:
//! releases that know none ignore them.

use compact_str::CompactString;
use config::release::{self, Level};
use tokio_tungstenite::tungstenite::http::{HeaderMap, HeaderName, HeaderValue};

/// What the sender can read, a decimal number.
const LEVEL: HeaderName = HeaderName::from_static("chervilloft-level");
/// Name of the sender's build.
const BUILD: HeaderName = HeaderName::from_static("chervilloft-build");

/// What a process declares of its release.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Declaration {
    pub(crate) level: Level,
    pub(crate) build: CompactString,
}

impl Declaration {
    /// Returns the declaration of this process.
    pub(crate) fn own() -> Self {
        Declaration {
            level: release::OWN,
            build: release::build().into(),
        }
    }

    /// Reads what the other end declares; an end that declares nothing is of an older release.
    pub(crate) fn read(headers: &HeaderMap) -> Self {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let level = text(LEVEL).and_then(|level| level.parse().ok());
        let build = text(BUILD).filter(|build| build.len() <= release::MAX_BUILD_BYTES);
        Declaration {
            level: level.unwrap_or(release::UNDECLARED),
            build: build.unwrap_or("undeclared").into(),
        }
    }

    /// Writes the declaration into the headers of an opening handshake.
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        headers.insert(LEVEL, self.level.into());
        if let Ok(build) = HeaderValue::from_str(&self.build) {
            headers.insert(BUILD, build);
        }
    }
}
