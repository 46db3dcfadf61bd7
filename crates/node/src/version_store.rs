//! The directory in which a node stores versions of its settings, or its state on versions of the
//! program: a small state file with the versions in force, and the contents of versions. Each file
//! is written under another name, synced and renamed, so that a crash at any moment leaves either
//! the old file or the new one.

use crate::log::part;
use madderpoint_rollout::chunks::MAX_CONTENT_BYTES;
use madderpoint_rollout::node_agent::InitialState;
use madderpoint_rollout::persisted_state::{MAX_FILE_BYTES, PersistedState};
use madderpoint_rollout::{Kind, Version};
use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};
use tracing::warn;

/// Maximum number of content files that are considered. A directory normally holds a few.
const MAX_CONTENT_FILES: usize = 64;

/// Why the store cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum VersionStoreError {
    /// A file or directory cannot be read or written.
    #[error("{}: cannot read or write: {source}", path.display())]
    Io {
        /// Path of the file or directory.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Another process of this node has locked the directory.
    #[error("{}: another process has it", .0.display())]
    InUse(PathBuf),
    /// The previous process wrote the state file after this process had read it.
    #[error("{}: persisted state was changed by the previous process after this process had read it", .0.display())]
    Changed(PathBuf),
    /// The content of a version is missing.
    #[error("{}: no such file", .0.display())]
    Missing(PathBuf),
}

impl VersionStoreError {
    fn io(path: &Path) -> impl FnOnce(io::Error) -> VersionStoreError {
        let path = path.to_owned();
        move |source| VersionStoreError::Io { path, source }
    }
}

/// The node cannot start, because none of the candidate versions can be run. The value is the error
/// of the first candidate.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct NoVersionToStartOn(String);

/// The directory of one node. Only the process that holds the lock writes to it.
#[derive(Debug)]
pub struct VersionStore {
    dir: PathBuf,
    kind: Kind,
    lock: Option<File>,
    /// Content of the state file as read without the lock. The file must be unchanged when the lock
    /// is taken.
    read_before_lock: Option<Vec<u8>>,
}

/// Maximum time that a write waits for the previous process to release the lock.
const PREVIOUS_PROCESS_WAIT: Duration = Duration::from_secs(15);
/// Time between two attempts to take the lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(20);

fn file_prefix(kind: Kind) -> &'static str {
    match kind {
        Kind::Settings => "settings",
        Kind::Program => "program",
    }
}

/// Returns a file name for a node's name. A name with characters other than letters, digits, `.`,
/// `_` and `-`, a name with a leading `.` and an empty name are replaced by their hash.
fn path_component(name: &str) -> String {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    if name.bytes().all(is_plain) && !name.starts_with('.') && !name.is_empty() {
        return name.to_owned();
    }
    format!(
        "node-{:016x}",
        madderpoint_membership::MemberKey::of(name).0
    )
}

/// Reads a file of at most `max_bytes` bytes. Returns none if the file does not exist.
fn read_bounded(path: &Path, max_bytes: usize) -> io::Result<Option<Vec<u8>>> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e),
    };
    let mut bytes = Vec::new();
    file.take(max_bytes as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > max_bytes {
        return Err(io::Error::other(format!(
            "file is larger than {max_bytes} bytes"
        )));
    }
    Ok(Some(bytes))
}

/// The initial state of a node, and the caller's result for the version that the node runs.
#[derive(Debug)]
pub struct Start<T> {
    /// Initial state of the node agent.
    pub state: InitialState,
    /// Result of the caller's function for the content of the version.
    pub running: T,
}

impl VersionStore {
    /// Opens and locks the subdirectory of `dir` for this node, and creates it if necessary.
    /// Several nodes of a machine may use the same `dir`.
    pub fn open(dir: &Path, node: &str, kind: Kind) -> Result<VersionStore, VersionStoreError> {
        let mut store = VersionStore::beside(dir, node, kind)?;
        store.acquire_lock(Duration::ZERO)?;
        Ok(store)
    }

    /// Returns the path of the directory that this store reads and writes.
    pub fn path(&self) -> &Path {
        &self.dir
    }

    /// Opens the same subdirectory without locking it, because another process of this node may
    /// still hold the lock. The directory can be read at once; the first write waits for the lock.
    pub fn beside(dir: &Path, node: &str, kind: Kind) -> Result<VersionStore, VersionStoreError> {
        let dir = dir.join(path_component(node));
        fs::create_dir_all(&dir).map_err(VersionStoreError::io(&dir))?;
        Ok(VersionStore {
            dir,
            kind,
            lock: None,
            read_before_lock: None,
        })
    }

    /// Locks the directory for this process, waiting at most `within`. Fails if the state file was
    /// changed since this process read it without the lock.
    fn acquire_lock(&mut self, within: Duration) -> Result<(), VersionStoreError> {
        if self.lock.is_some() {
            return Ok(());
        }
        let file = format!("{}.lock", file_prefix(self.kind));
        let io_error = || VersionStoreError::io(&self.dir);
        let lock = File::create(self.dir.join(file)).map_err(io_error())?;
        let started_at = Instant::now();
        loop {
            match lock.try_lock() {
                Ok(()) => break,
                Err(TryLockError::WouldBlock) if started_at.elapsed() < within => {
                    thread::sleep(LOCK_RETRY_INTERVAL)
                }
                Err(TryLockError::WouldBlock) => {
                    return Err(VersionStoreError::InUse(self.dir.clone()));
                }
                Err(TryLockError::Error(e)) => return Err(io_error()(e)),
            }
        }
        if let Some(read) = &self.read_before_lock
            && read_bounded(&self.state_file(), MAX_FILE_BYTES)
                .ok()
                .flatten()
                .as_ref()
                != Some(read)
        {
            return Err(VersionStoreError::Changed(self.dir.clone()));
        }
        (self.lock, self.read_before_lock) = (Some(lock), None);
        Ok(())
    }

    fn state_file(&self) -> PathBuf {
        self.dir.join(format!("{}.kept", file_prefix(self.kind)))
    }

    fn content_file(&self, version: Version) -> PathBuf {
        self.dir.join(format!(
            "{}-{}-{:016x}",
            file_prefix(self.kind),
            version.number,
            version.hash
        ))
    }

    /// Returns the version in the name of a content file.
    fn version_of(&self, name: &str) -> Option<Version> {
        let (number, hash) = name
            .strip_prefix(file_prefix(self.kind))?
            .strip_prefix('-')?
            .split_once('-')?;
        let hash = if hash.len() == 16 {
            u64::from_str_radix(hash, 16).ok()?
        } else {
            return None;
        };
        Some(Version {
            number: number.parse().ok()?,
            hash,
        })
    }

    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let new = path.with_extension("new");
        let mut file = File::create(&new)?;
        let written = file
            .write_all(bytes)
            .and_then(|()| file.sync_all())
            .and_then(|()| fs::rename(&new, path));
        if written.is_err() {
            let _ = fs::remove_file(&new); // frees the space on a full disk
        }
        written?;
        File::open(&self.dir)?.sync_all()
    }

    /// Lists the versions whose contents are on disk, from the names of the files.
    fn contents(&self) -> Vec<Version> {
        let Ok(all) = fs::read_dir(&self.dir) else {
            return Vec::new();
        };
        let names = all.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
        names
            .filter_map(|name| self.version_of(&name))
            .take(MAX_CONTENT_FILES)
            .collect()
    }

    /// Reads the content of a version from disk.
    pub fn content(&self, version: Version) -> Result<Vec<u8>, VersionStoreError> {
        let path = self.content_file(version);
        let read = read_bounded(&path, MAX_CONTENT_BYTES).map_err(VersionStoreError::io(&path))?;
        read.ok_or(VersionStoreError::Missing(path))
    }

    /// Writes the content of a version, if one is given, and then the persisted state. Afterwards
    /// removes the contents that are no longer needed. Waits up to 15 s for the previous process to
    /// release the lock.
    pub fn persist(
        &mut self,
        persisted: &PersistedState,
        content: Option<(Version, &[u8])>,
    ) -> Result<(), VersionStoreError> {
        self.acquire_lock(PREVIOUS_PROCESS_WAIT)?;
        let io_error = || VersionStoreError::io(&self.dir);
        if let Some((version, bytes)) = content {
            self.write(&self.content_file(version), bytes)
                .map_err(io_error())?;
        }
        self.write(&self.state_file(), &persisted.encode())
            .map_err(io_error())?;
        let open_rollout_version = persisted
            .head
            .as_ref()
            .filter(|head| !head.is_over())
            .map(|head| head.version);
        let newest = content.map(|(version, _)| version);
        let needed: Vec<Version> = persisted
            .needed()
            .chain(open_rollout_version)
            .chain(newest)
            .collect();
        let highest = needed
            .iter()
            .map(|version| version.number)
            .max()
            .unwrap_or(0);
        for version in self.contents() {
            // Versions that are staged for a rollout that has not begun have higher numbers than
            // all earlier ones, and are kept.
            if !needed.contains(&version) && version.number < highest {
                let _ = fs::remove_file(self.content_file(version));
            }
        }
        Ok(())
    }

    /// Reads the persisted state, and returns whether the disk held none. A state file that cannot
    /// be read is renamed to `.broken` and counts as absent.
    pub fn read_state(&self) -> (PersistedState, bool) {
        let path = self.state_file();
        let read = match read_bounded(&path, MAX_FILE_BYTES) {
            Ok(None) => return (PersistedState::new(self.kind), true),
            Ok(Some(bytes)) => {
                PersistedState::decode(&bytes).map_err(|error| error.word().to_owned())
            }
            Err(e) => Err(e.to_string()),
        };
        match read {
            Ok(persisted) if persisted.kind == self.kind => (persisted, false),
            read => {
                let error = read
                    .err()
                    .unwrap_or_else(|| "state file belongs to another kind of version".into());
                warn!(
                    target: part::ROLLOUT,
                    path = %path.display(),
                    error = %error,
                    "persisted state cannot be read: set aside, the node starts on what it is given"
                );
                let _ = fs::rename(&path, path.with_extension("broken"));
                (PersistedState::new(self.kind), true)
            }
        }
    }

    /// Starts the node on the first candidate version for which `run` succeeds. `given` is the
    /// version that the operator provides; without it, only versions on disk are candidates. If the
    /// store was opened with [`VersionStore::beside`], a version on trial has not crashed: the
    /// other process runs it, and it stays on trial in this process.
    pub fn begin<T>(
        &mut self,
        given: Option<(Version, Vec<u8>)>,
        mut run: impl FnMut(Version, &[u8]) -> Result<T, String>,
    ) -> Result<Start<T>, NoVersionToStartOn> {
        let is_beside = self.lock.is_none();
        if is_beside {
            self.read_before_lock = read_bounded(&self.state_file(), MAX_FILE_BYTES)
                .ok()
                .flatten();
        }
        let (mut persisted, disk_was_empty) = self.read_state();
        let (given_version, given_content) = given.unwrap_or_default();
        let trial = persisted.trial.filter(|_| is_beside);
        let (candidates, crashed) = match trial {
            Some(trial) => (vec![trial.version], None),
            None => persisted.start_candidates(given_version),
        };
        let on_disk = self.contents();
        let mut first_error = None;
        for version in candidates
            .into_iter()
            .filter(|version| *version != Version::default())
        {
            let content = match version == given_version {
                true => Ok(given_content.clone()),
                false => self.content(version).map_err(|error| error.to_string()),
            };
            match content.and_then(|content| Ok((run(version, &content)?, content))) {
                Ok((running, content)) => {
                    let with_content =
                        |version: &Version| Some((*version, self.content(*version).ok()?));
                    let state = InitialState {
                        persisted,
                        running: version,
                        contents: on_disk.iter().filter_map(with_content).collect(),
                        new_content: (!on_disk.contains(&version)).then_some(content),
                        crashed,
                        disk_was_empty,
                    };
                    return Ok(Start { state, running });
                }
                Err(error) => {
                    warn!(
                        target: part::ROLLOUT,
                        %version,
                        error = %error,
                        "version cannot be started"
                    );
                    first_error.get_or_insert(error);
                }
            }
        }
        let none = || "no version to start on".to_owned();
        Err(NoVersionToStartOn(first_error.unwrap_or_else(none)))
    }
}

#[cfg(test)]
mod tests;
