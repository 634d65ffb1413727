//! Storage of one data folder: its identity, the log of the control group and snapshots.
//!
//! The log is a sequence of segment files, each a sequence of checksummed frames. A batch of
//! records is written as one frame and synced before the write is acknowledged, so that after a
//! crash at most the last frame is torn. A torn last frame is truncated; any other damage is an
//! error with file and offset.

mod blocks;
mod disk;
mod failure;
mod folder;
mod frame;
mod identity;
mod names;
mod recovery;
mod scan;
mod segment;
mod snapshot;
mod store;

pub use disk::Disk;
pub use failure::Failure;
pub use folder::{File, Folder};
pub use recovery::Recovery;
pub use store::{Settings, Store};
