//! Interface to the file system.

use std::io;
use std::path::PathBuf;

/// A folder of files.
pub trait Folder: Send + 'static {
    /// An open file.
    type File: File;

    /// Returns the path of a file, for error messages.
    fn path(&self, name: &str) -> PathBuf;
    /// Returns the names of all files.
    ///
    /// # Errors
    /// Fails if the folder can't be read.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Creates an empty file; replaces an existing one.
    ///
    /// # Errors
    /// Fails if the file can't be created.
    fn create(&self, name: &str) -> io::Result<Self::File>;
    /// Opens an existing file.
    ///
    /// # Errors
    /// Fails if the file can't be opened.
    fn open(&self, name: &str) -> io::Result<Self::File>;
    /// Renames a file; replaces an existing one.
    ///
    /// # Errors
    /// Fails if the file can't be renamed.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    /// Fails if the file can't be removed.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Syncs the folder's entries, so that created, renamed and removed files survive a crash.
    ///
    /// # Errors
    /// Fails if the disk reports an error.
    fn sync(&self) -> io::Result<()>;
}

/// An open file.
pub trait File: Send + 'static {
    /// Returns the length in bytes.
    ///
    /// # Errors
    /// Fails if the metadata of the file can't be read.
    fn length(&self) -> io::Result<u64>;
    /// Reads bytes from an offset, at most up to the length of the buffer or the end of the file,
    /// and returns their number.
    ///
    /// # Errors
    /// Fails if the file can't be read.
    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;
    /// Writes all bytes at an offset; after an error some of them may be written.
    ///
    /// # Errors
    /// Fails if not all bytes were written.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Truncates the file to a length in bytes.
    ///
    /// # Errors
    /// Fails if the file can't be truncated.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Waits until the content of the file is on the disk.
    ///
    /// # Errors
    /// Fails if the disk reports an error.
    fn sync(&mut self) -> io::Result<()>;
}

/// Reads a whole file.
pub(crate) fn read_all(file: &impl File) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; file.length()? as usize];
    let mut filled = 0;
    while filled < bytes.len() {
        match file.read_at(filled as u64, &mut bytes[filled..])? {
            0 => break,
            count => filled += count,
        }
    }
    bytes.truncate(filled);
    Ok(bytes)
}
