//! A data folder in the file system.

use std::fs;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use errors::{Error, Peer, Result, Step};

use crate::folder::{File, Folder};

const LOCK_FILE: &str = "lock";

/// A folder in the file system, locked against use by a second process.
#[derive(Debug)]
pub struct Disk {
    path: PathBuf,
    _lock: fs::File,
}

impl Disk {
    /// Opens a folder, and creates it if it does not exist.
    ///
    /// # Errors
    /// Fails if the folder can't be created, or another process has it open.
    pub fn open(path: &Path) -> Result<Self> {
        let fail = |cause| Error::Io(Step::Store, Peer::File(path.to_path_buf()), cause);
        fs::create_dir_all(path).map_err(fail)?;
        let lock = fs::File::create(path.join(LOCK_FILE)).map_err(fail)?;
        lock.try_lock().map_err(|_| {
            let reason = String::from("another process has this data folder open");
            Error::Invalid(Step::Store, Peer::File(path.to_path_buf()), reason)
        })?;
        Ok(Disk {
            path: path.to_path_buf(),
            _lock: lock,
        })
    }
}

impl Folder for Disk {
    type File = fs::File;

    fn path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            if name != LOCK_FILE {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn create(&self, name: &str) -> io::Result<fs::File> {
        let mut options = fs::File::options();
        options.read(true).write(true).create(true).truncate(true);
        options.open(self.path.join(name))
    }

    fn open(&self, name: &str) -> io::Result<fs::File> {
        let mut options = fs::File::options();
        options.read(true).write(true).open(self.path.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync(&self) -> io::Result<()> {
        fs::File::open(&self.path)?.sync_all()
    }
}

impl File for fs::File {
    fn length(&self) -> io::Result<u64> {
        Ok(self.metadata()?.len())
    }

    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        FileExt::read_at(self, buffer, offset)
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        FileExt::write_all_at(self, bytes, offset)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
