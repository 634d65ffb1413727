//! Files with the records of the software versions at which streams began, so that they outlast a
//! restart of all control processes.
//!
//! A thread appends the records in batches; nothing waits for it. There are two files at most, and
//! the older one is removed when a third is begun.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

use tracing::{info, warn};
use upstream::Origin;

/// Time for which records are collected before they are written.
const BATCH_TIME: Duration = Duration::from_millis(100);
/// Shortest time between two syncs, which the replicated log has to wait for.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a new file is begun.
const FILE_TIME: Duration = Duration::from_secs(60);
/// Size after which a new file is begun, in bytes.
const MAX_FILE_BYTES: u64 = 4 * 1_024 * 1_024;
/// Records that wait to be written; further ones are not kept on disk.
const MAX_QUEUED: usize = 10_000;
/// Names of the files, which end with a number.
const NAME: &str = "origins-";

/// Appends records to the files of a folder.
#[derive(Clone, Debug)]
pub(crate) struct OriginFiles {
    queue: SyncSender<Origin>,
}

impl OriginFiles {
    /// Opens a folder, and returns the records that it holds, the older ones first. Damaged records
    /// are left out.
    ///
    /// # Errors
    /// Fails if the folder can't be created or read.
    pub(crate) fn open(folder: &Path) -> io::Result<(OriginFiles, Vec<Origin>)> {
        fs::create_dir_all(folder)?;
        let mut records = Vec::new();
        let numbers = numbers(folder)?;
        for number in &numbers {
            let bytes = fs::read(path(folder, *number))?;
            let lines = bytes.split(|byte| *byte == b'\n');
            records.extend(lines.filter_map(decode));
        }
        info!("origins: {} records read", records.len());
        let (queue, receiver) = sync_channel(MAX_QUEUED);
        let writer = Writer {
            folder: folder.to_owned(),
            number: numbers.last().copied().unwrap_or(0),
            file: None,
        };
        thread::Builder::new()
            .name("origins".into())
            .spawn(move || writer.run(&receiver))?;
        Ok((OriginFiles { queue }, records))
    }

    /// Queues a record to be written.
    pub(crate) fn append(&self, origin: Origin) {
        // A full queue means a slow disk; the record is still held in memory.
        let _ = self.queue.try_send(origin);
    }
}

/// The file that is written, with its size and the times of its start and of the last sync.
struct Open {
    file: File,
    bytes: u64,
    is_synced: bool,
    since: Instant,
    synced_at: Instant,
}

struct Writer {
    folder: PathBuf,
    /// Number of the newest file.
    number: u64,
    file: Option<Open>,
}

impl Writer {
    /// Writes records until the sender is dropped.
    fn run(mut self, records: &Receiver<Origin>) {
        let mut failed = false;
        loop {
            let written = match records.recv_timeout(SYNC_INTERVAL) {
                Ok(first) => {
                    thread::sleep(BATCH_TIME);
                    let batch = std::iter::once(first).chain(records.try_iter());
                    let lines: String = batch.map(|origin| encode(&origin)).collect();
                    self.write(lines.as_bytes())
                }
                Err(RecvTimeoutError::Timeout) => self.sync(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            match &written {
                Err(error) if !failed => warn!("origins: records are not written: {error}"),
                Ok(()) if failed => info!("origins: records are written again"),
                _ => {}
            }
            failed = written.is_err();
            if failed {
                self.file = None;
            }
        }
    }

    fn write(&mut self, batch: &[u8]) -> io::Result<()> {
        let mut open = match self.file.take() {
            Some(open) if open.since.elapsed() < FILE_TIME && open.bytes < MAX_FILE_BYTES => open,
            _ => self.begin()?,
        };
        open.file.write_all(batch)?;
        open.bytes += batch.len() as u64;
        open.is_synced = false;
        let is_due = open.synced_at.elapsed() >= SYNC_INTERVAL;
        self.file = Some(open);
        match is_due {
            true => self.sync(),
            false => Ok(()),
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        match &mut self.file {
            Some(open) if !open.is_synced => {
                open.file.sync_data()?;
                open.is_synced = true;
                open.synced_at = Instant::now();
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Begins a new file, and removes those before the last one.
    fn begin(&mut self) -> io::Result<Open> {
        self.number += 1;
        for number in numbers(&self.folder)? {
            if number + 1 < self.number {
                fs::remove_file(path(&self.folder, number))?;
            }
        }
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path(&self.folder, self.number))?;
        let now = Instant::now();
        Ok(Open {
            file,
            bytes: 0,
            is_synced: true,
            since: now,
            synced_at: now,
        })
    }
}

fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{NAME}{number}"))
}

/// Returns the numbers of the files, sorted.
fn numbers(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix(NAME));
        numbers.extend(number.and_then(|number| number.parse::<u64>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Encodes a record as a line: a checksum in hexadecimal, a space and the record in JSON.
fn encode(origin: &Origin) -> String {
    let record = serde_json::to_string(origin).expect("a record can be encoded");
    let checksum = crc32fast::hash(record.as_bytes());
    format!("{checksum:08x} {record}\n")
}

fn decode(line: &[u8]) -> Option<Origin> {
    let (checksum, record) = std::str::from_utf8(line).ok()?.split_once(' ')?;
    let checksum = u32::from_str_radix(checksum, 16).ok()?;
    let is_intact = crc32fast::hash(record.as_bytes()) == checksum;
    is_intact.then(|| serde_json::from_str(record).ok())?
}
