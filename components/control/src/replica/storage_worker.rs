//! The storage thread: does all file operations of a replica, with one sync for many writes.

use std::collections::VecDeque;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::Duration;

use consensus::Write;
use storage::{Failure, Folder, Store};
use tracing::{error, warn};

use super::input::Input;
use super::job::Job;

/// State of the storage thread.
pub(super) struct StorageWorker<D: Folder, O> {
    pub(super) store: Store<D>,
    pub(super) jobs: Receiver<Job>,
    pub(super) inputs: Sender<Input<O>>,
    pub(super) full_disk_retry_delay: Duration,
    writes: VecDeque<Write>,
}

impl<D: Folder, O> StorageWorker<D, O> {
    /// Creates the state of a thread that has not started yet.
    pub(super) fn new(
        store: Store<D>,
        jobs: Receiver<Job>,
        inputs: Sender<Input<O>>,
        full_disk_retry_delay: Duration,
    ) -> Self {
        StorageWorker {
            store,
            jobs,
            inputs,
            full_disk_retry_delay,
            writes: VecDeque::new(),
        }
    }

    /// Runs until the driver ends or the data folder fails.
    pub(super) fn run(mut self) {
        while let Some(job) = self.wait() {
            let mut next = Some(job);
            while let Some(job) = next {
                if !self.handle(job) {
                    return;
                }
                next = self.jobs.try_recv().ok();
            }
            if !self.flush() {
                return;
            }
        }
    }

    /// Waits for a job. Retries writes that failed because the disk is full in the meantime.
    fn wait(&mut self) -> Option<Job> {
        loop {
            if self.writes.is_empty() {
                return self.jobs.recv().ok();
            }
            match self.jobs.recv_timeout(self.full_disk_retry_delay) {
                Ok(job) => return Some(job),
                Err(RecvTimeoutError::Disconnected) => return None,
                Err(RecvTimeoutError::Timeout) if !self.flush() => return None,
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    /// Does a job; writes are only queued. Returns whether the folder can still be used.
    fn handle(&mut self, job: Job) -> bool {
        match job {
            Job::Write(write) => self.writes.push_back(write),
            Job::Snapshot(meta, data) => {
                if !self.flush() {
                    return false;
                }
                let result = match self.store.save_snapshot(&meta, &data) {
                    Err(Failure::Fatal(cause)) => return self.fail(cause),
                    Err(Failure::Full(cause)) => Err(cause),
                    Ok(()) => Ok(()),
                };
                let _ = self.inputs.send(Input::SnapshotSaved(meta, result));
            }
            Job::ReadChunk {
                to,
                index,
                offset,
                length,
            } => {
                let read = self.store.read_snapshot(index, offset, length);
                let part = read
                    .inspect_err(|cause| warn!("replica: reading snapshot {index} failed: {cause}"))
                    .ok();
                let _ = self.inputs.send(Input::ChunkRead {
                    to,
                    index,
                    offset,
                    part,
                });
            }
            Job::LoadSnapshot(index, reply) => {
                let _ = reply.send(self.store.load_snapshot(index));
            }
        }
        true
    }

    /// Writes and syncs the queued writes. Returns whether the folder can still be used.
    fn flush(&mut self) -> bool {
        while !self.writes.is_empty() {
            match self.store.write(&mut self.writes) {
                Ok(sequence) => {
                    let _ = self.inputs.send(Input::WriteSynced(sequence));
                }
                Err(Failure::Full(cause)) => {
                    let _ = self.inputs.send(Input::DiskFull(cause));
                    return true;
                }
                Err(Failure::Fatal(cause)) => return self.fail(cause),
            }
        }
        true
    }

    fn fail(&self, cause: errors::Error) -> bool {
        error!("replica: the data folder failed: {cause}");
        let _ = self.inputs.send(Input::StorageFailed(cause));
        false
    }
}
