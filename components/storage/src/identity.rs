//! The identity of a data folder.

use errors::{Error, Peer, Result, Step};
use serde::{Deserialize, Serialize};

use consensus::ids::DiskId;

use crate::folder::{File, Folder, read_all};
use crate::frame::{self, Parsed};
use crate::names;

/// Version of the layout of a data folder.
const LAYOUT: u32 = 1;

/// Content of the identity file.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Identity {
    /// Version of the layout.
    layout: u32,
    /// Random id of the folder.
    pub(crate) disk: DiskId,
}

impl Identity {
    /// Generates an identity and stores it.
    pub(crate) fn create(folder: &impl Folder) -> Result<Self> {
        let path = folder.path(names::IDENTITY);
        let fail = |cause| Error::Io(Step::Store, Peer::File(path.clone()), cause);
        let mut random_bytes = [0; 8];
        getrandom::fill(&mut random_bytes)
            .map_err(|cause| fail(std::io::Error::other(cause.to_string())))?;
        let identity = Identity {
            layout: LAYOUT,
            disk: DiskId::from_le_bytes(random_bytes),
        };
        let mut body = Vec::new();
        ciborium::into_writer(&identity, &mut body)
            .map_err(|cause| Error::Other(Step::Encode, Peer::Local, Box::new(cause)))?;
        let mut file = folder.create(names::IDENTITY_TEMPORARY).map_err(fail)?;
        file.write_at(0, &frame::encode(0, &body)).map_err(fail)?;
        file.sync().map_err(fail)?;
        folder
            .rename(names::IDENTITY_TEMPORARY, names::IDENTITY)
            .map_err(fail)?;
        folder.sync().map_err(fail)?;
        Ok(identity)
    }

    /// Reads the stored identity.
    pub(crate) fn read(folder: &impl Folder) -> Result<Self> {
        let path = folder.path(names::IDENTITY);
        let fail = |cause| Error::Io(Step::Store, Peer::File(path.clone()), cause);
        let bytes = read_all(&folder.open(names::IDENTITY).map_err(fail)?).map_err(fail)?;
        let body = match frame::parse(&bytes, 0) {
            Parsed::Complete(_, end) => &bytes[frame::HEADER_BYTES..end],
            _ => {
                return Err(damage_error(
                    folder,
                    names::IDENTITY,
                    0,
                    "the identity file is corrupt",
                ));
            }
        };
        let identity: Identity = ciborium::from_reader(body)
            .map_err(|_| damage_error(folder, names::IDENTITY, 0, "the identity can't be read"))?;
        match identity.layout {
            LAYOUT => Ok(identity),
            _ => Err(damage_error(
                folder,
                names::IDENTITY,
                0,
                "the data folder has a layout of another version",
            )),
        }
    }
}

/// Returns the error for a damaged file.
pub(crate) fn damage_error(folder: &impl Folder, name: &str, offset: u64, reason: &str) -> Error {
    let reason = format!(
        "damaged at offset {offset}: {reason}; move the data folder away: the process then rejoins \
         the group as a spare with an empty one"
    );
    Error::Invalid(Step::Store, Peer::File(folder.path(name)), reason)
}
