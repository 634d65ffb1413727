//! Opening a data folder.

use errors::Result;

use consensus::{InitialState, Position, Record, SnapshotMeta};

use crate::failure::Failure;
use crate::folder::{File, Folder};
use crate::identity::{Identity, damage_error};
use crate::names;
use crate::recovery::Recovery;
use crate::scan::Scan;
use crate::segment::io_error;
use crate::snapshot;

use super::{Settings, Store};

impl<D: Folder> Store<D> {
    /// Opens a folder: creates an identity if the folder is empty, truncates a torn tail and
    /// removes temporary files.
    ///
    /// # Errors
    /// Fails if a file is damaged, naming file and offset, or can't be read or written.
    pub fn open(folder: D, settings: Settings) -> Result<(Self, Recovery)> {
        let names = Self::remove_temporary_files(&folder)?;
        let mut numbers: Vec<u64> = names
            .iter()
            .filter_map(|name| names::segment_number(name))
            .collect();
        numbers.sort_unstable();
        let is_new = !names.iter().any(|name| name == names::IDENTITY);
        let snapshot = Self::newest_snapshot(&folder, &names)?;
        let identity = match is_new {
            true => Self::initialize(&folder, &mut numbers, snapshot.is_some())?,
            false => Identity::read(&folder)?,
        };
        let scan = Scan::read(&folder, &numbers)?;
        let Some(segment) = scan.segments.last() else {
            let reason = "the folder has an identity and no log";
            return Err(damage_error(&folder, names::IDENTITY, 0, reason));
        };
        let name = names::segment(segment.number);
        let mut active = folder
            .open(&name)
            .map_err(|cause| io_error(&folder, &name, cause))?;
        let truncated_bytes = Self::truncate_tail(&folder, &name, &mut active, segment.length)?;
        let (initial_state, reset) = Self::reconcile(&folder, &scan, snapshot)?;
        let mut store = Store {
            folder,
            settings,
            active,
            segments: scan.segments,
            last_frame: scan.last_frame,
            hard_state: scan.hard_state,
            snapshot: initial_state
                .snapshot
                .as_ref()
                .map_or(Position::default(), |meta| meta.position),
            previous_snapshot: 0,
            incoming: None,
        };
        if let Some(position) = reset {
            store
                .append(&[Record::Reset(position)])
                .map_err(|failure| match failure {
                    Failure::Full(error) | Failure::Fatal(error) => error,
                })?;
        }
        let recovery = Recovery {
            disk: identity.disk,
            initial_state,
            truncated_bytes,
        };
        Ok((store, recovery))
    }

    /// Removes temporary files of interrupted writes, and returns the names of the other files.
    fn remove_temporary_files(folder: &D) -> Result<Vec<String>> {
        let fail = |cause| io_error(folder, "", cause);
        let names = folder.list().map_err(fail)?;
        for name in names.iter().filter(|name| names::is_temporary(name)) {
            folder.remove(name).map_err(fail)?;
        }
        let rest = names.into_iter().filter(|name| !names::is_temporary(name));
        Ok(rest.collect())
    }

    /// Initializes an empty folder with a first segment, then the identity.
    fn initialize(folder: &D, numbers: &mut Vec<u64>, has_snapshot: bool) -> Result<Identity> {
        const FIRST_SEGMENT: u64 = 1;
        let name = names::segment(FIRST_SEGMENT);
        let fail = |cause| io_error(folder, &name, cause);
        let is_empty = match numbers.as_slice() {
            [] => true,
            [FIRST_SEGMENT] => folder.open(&name).map_err(fail)?.length().map_err(fail)? == 0,
            _ => false,
        };
        if has_snapshot || !is_empty {
            let reason = "the folder has a log or a snapshot and no identity";
            return Err(damage_error(folder, names::IDENTITY, 0, reason));
        }
        folder.create(&name).map_err(fail)?.sync().map_err(fail)?;
        *numbers = vec![FIRST_SEGMENT];
        Identity::create(folder)
    }

    fn newest_snapshot(folder: &D, names: &[String]) -> Result<Option<SnapshotMeta>> {
        let newest = names
            .iter()
            .filter_map(|name| names::snapshot_index(name))
            .max();
        match newest {
            Some(index) => snapshot::read_whole(folder, index).map(|(meta, _)| Some(meta)),
            None => Ok(None),
        }
    }

    fn truncate_tail(folder: &D, name: &str, active: &mut D::File, length: u64) -> Result<u64> {
        let fail = |cause| io_error(folder, name, cause);
        let actual = active.length().map_err(fail)?;
        if actual > length {
            active.truncate(length).map_err(fail)?;
            active.sync().map_err(fail)?;
        }
        Ok(actual - length)
    }

    /// Combines log and snapshot; if the snapshot makes the log obsolete, also returns the position
    /// after which the log has to continue.
    fn reconcile(
        folder: &D,
        scan: &Scan,
        snapshot: Option<SnapshotMeta>,
    ) -> Result<(InitialState, Option<Position>)> {
        let base = snapshot
            .as_ref()
            .map_or(Position::default(), |meta| meta.position);
        let at_base = scan.entries.iter().find(|entry| entry.index == base.index);
        let after_base = scan.entries.iter().filter(|entry| entry.index > base.index);
        let is_log_obsolete = base.index > 0
            && (scan.end.is_none_or(|end| end.index < base.index)
                || at_base.is_some_and(|entry| entry.term != base.term)
                || after_base.clone().any(|entry| entry.term < base.term));
        let entries = match is_log_obsolete {
            true => Vec::new(),
            false => after_base.cloned().collect::<Vec<_>>(),
        };
        if entries
            .first()
            .is_some_and(|first| first.index != base.index + 1)
        {
            let name = names::segment(scan.segments.first().map_or(1, |segment| segment.number));
            let reason = format!("the entries after {} are missing", base.index);
            return Err(damage_error(folder, &name, 0, &reason));
        }
        let initial_state = InitialState {
            hard_state: scan.hard_state.clone(),
            snapshot,
            entries,
        };
        Ok((initial_state, is_log_obsolete.then_some(base)))
    }
}
