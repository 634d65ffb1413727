//! Reading of the segments when a data folder is opened.

use errors::Result;

use consensus::ids::Index;
use consensus::{Entry, HardState, Position, Record};

use crate::folder::{Folder, read_all};
use crate::frame::{self, HEADER_BYTES, Parsed};
use crate::identity::damage_error;
use crate::names;
use crate::segment::{Segment, io_error};

/// Content of the segments.
#[derive(Debug, Default)]
pub(crate) struct Scan {
    /// Latest term, vote and group.
    pub(crate) hard_state: HardState,
    /// Entries that were not overwritten; a snapshot may cover the first ones.
    pub(crate) entries: Vec<Entry>,
    /// Position of the end of the log; `None` if it is empty.
    pub(crate) end: Option<Position>,
    /// Number of the last frame.
    pub(crate) last_frame: u64,
    /// Segments, oldest first.
    pub(crate) segments: Vec<Segment>,
    /// Name and valid length of a file whose tail is torn.
    pub(crate) torn: Option<(String, u64)>,
}

impl Scan {
    /// Reads all segments.
    pub(crate) fn read(folder: &impl Folder, numbers: &[u64]) -> Result<Self> {
        let mut scan = Scan::default();
        for (index, number) in numbers.iter().enumerate() {
            let name = names::segment(*number);
            let is_last = index + 1 == numbers.len();
            if index > 0 && numbers[index - 1] + 1 != *number {
                return Err(damage_error(
                    folder,
                    &name,
                    0,
                    "the preceding segment is missing",
                ));
            }
            scan.read_segment(folder, *number, is_last)?;
        }
        Ok(scan)
    }

    fn read_segment(&mut self, folder: &impl Folder, number: u64, is_last: bool) -> Result<()> {
        let name = names::segment(number);
        let file = folder
            .open(&name)
            .map_err(|cause| io_error(folder, &name, cause))?;
        let bytes = read_all(&file).map_err(|cause| io_error(folder, &name, cause))?;
        let mut segment = Segment {
            number,
            length: 0,
            last_index: 0,
        };
        let mut offset = 0;
        loop {
            match frame::parse(&bytes, offset) {
                Parsed::Complete(frame_number, end) => {
                    self.check_number(folder, &name, offset, frame_number)?;
                    let body = &bytes[offset + HEADER_BYTES..end];
                    self.replay(folder, &name, offset, body, &mut segment.last_index)?;
                    offset = end;
                }
                Parsed::End => break,
                Parsed::Torn if is_last => {
                    self.torn = Some((name.clone(), offset as u64));
                    break;
                }
                Parsed::Torn => {
                    let reason = "a frame is cut short and another segment follows";
                    return Err(damage_error(folder, &name, offset as u64, reason));
                }
                Parsed::Damaged(reason) => {
                    return Err(damage_error(folder, &name, offset as u64, reason));
                }
            }
        }
        segment.length = offset as u64;
        self.segments.push(segment);
        Ok(())
    }

    fn check_number(
        &mut self,
        folder: &impl Folder,
        name: &str,
        offset: usize,
        number: u64,
    ) -> Result<()> {
        if self.last_frame != 0 && number != self.last_frame + 1 {
            let reason = format!("frame {number} follows frame {}", self.last_frame);
            return Err(damage_error(folder, name, offset as u64, &reason));
        }
        self.last_frame = number;
        Ok(())
    }

    fn replay(
        &mut self,
        folder: &impl Folder,
        name: &str,
        offset: usize,
        body: &[u8],
        last_index: &mut Index,
    ) -> Result<()> {
        let records: Vec<Record> = ciborium::from_reader(body)
            .map_err(|_| damage_error(folder, name, offset as u64, "a frame can't be decoded"))?;
        for record in records {
            match record {
                Record::HardState(hard_state) => self.hard_state = hard_state,
                Record::Reset(position) => {
                    self.entries.clear();
                    self.end = Some(position);
                    *last_index = (*last_index).max(position.index);
                }
                Record::Entry(entry) => {
                    *last_index = (*last_index).max(entry.index);
                    self.push_entry(entry)
                        .map_err(|reason| damage_error(folder, name, offset as u64, &reason))?;
                }
            }
        }
        Ok(())
    }

    fn push_entry(&mut self, entry: Entry) -> std::result::Result<(), String> {
        match self.end {
            Some(end) if entry.index > end.index + 1 => {
                return Err(format!("entry {} follows entry {}", entry.index, end.index));
            }
            _ => {}
        }
        let first = self
            .entries
            .first()
            .map_or(entry.index, |first| first.index);
        let keep = entry.index.saturating_sub(first) as usize;
        self.entries.truncate(keep);
        self.end = Some(entry.position());
        self.entries.push(entry);
        Ok(())
    }
}
