//! The directory in which a node keeps versions of its settings, or what it knows of versions of
//! the program: a small file that says what is in force, and the contents. All are written to
//! another name, synced and put in their place, so that a cut at any moment leaves the old ones or
//! the new ones.

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

/// Files of contents that are looked at; there are a handful.
const MAX_CONTENT_FILES: usize = 64;

/// Why the store can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum VersionStoreError {
    /// A file or directory can't be read or written.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// Another process of this node has it.
    #[error("{}: another process has it", .0.display())]
    InUse(PathBuf),
    /// The process before this one wrote after this one had read.
    #[error("{}: what is kept was changed by the process before, after it was read", .0.display())]
    Changed(PathBuf),
    /// A content is not there.
    #[error("{}: there is no such file", .0.display())]
    Missing(PathBuf),
}

impl VersionStoreError {
    fn io(path: &Path) -> impl FnOnce(io::Error) -> VersionStoreError {
        let path = path.to_owned();
        move |source| VersionStoreError::Io { path, source }
    }
}

/// The node is not started: no version that it may start on can be run.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct NoVersionToStartOn(String);

/// The directory, of one node; no other process writes there at the same time.
#[derive(Debug)]
pub struct VersionStore {
    dir: PathBuf,
    kind: Kind,
    lock: Option<File>,
    /// What was read while another process had it: it must be the same when that one is gone.
    read_before_lock: Option<Vec<u8>>,
}

/// How long the process before this one is waited for.
const PREVIOUS_PROCESS_WAIT: Duration = Duration::from_secs(15);
/// Time between two attempts to take the lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(20);

fn file_prefix(kind: Kind) -> &'static str {
    match kind {
        Kind::Settings => "settings",
        Kind::Program => "program",
    }
}

/// A name that is one part of a path: one with other characters is replaced by its hash.
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

/// A file of a bounded size; none if there is no such file.
fn read_bounded(path: &Path, most: usize) -> io::Result<Option<Vec<u8>>> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e),
    };
    let mut bytes = Vec::new();
    file.take(most as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > most {
        return Err(io::Error::other(format!("over {most} bytes")));
    }
    Ok(Some(bytes))
}

/// What a node starts with, and what the caller made of the version that it runs.
#[derive(Debug)]
pub struct Start<T> {
    /// What the node agent starts with.
    pub state: InitialState,
    /// What the caller made of the version's content.
    pub running: T,
}

impl VersionStore {
    /// The part of a directory that is this node's: several nodes of a machine may be told the same
    /// one.
    pub fn open(dir: &Path, node: &str, kind: Kind) -> Result<VersionStore, VersionStoreError> {
        let mut directory = VersionStore::beside(dir, node, kind)?;
        directory.take(Duration::ZERO)?;
        Ok(directory)
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.dir
    }

    /// The same, while another process of this node may still have it: it is read, and written only
    /// once that one is gone.
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

    /// Has it for this process alone.
    fn take(&mut self, within: Duration) -> Result<(), VersionStoreError> {
        if self.lock.is_some() {
            return Ok(());
        }
        let file = format!("{}.lock", file_prefix(self.kind));
        let io_error = || VersionStoreError::io(&self.dir);
        let lock = File::create(self.dir.join(file)).map_err(io_error())?;
        let begun = Instant::now();
        loop {
            match lock.try_lock() {
                Ok(()) => break,
                Err(TryLockError::WouldBlock) if begun.elapsed() < within => {
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

    /// The version that a file's name tells.
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
            let _ = fs::remove_file(&new); // so that a full disk has its room back
        }
        written?;
        File::open(&self.dir)?.sync_all()
    }

    /// Contents that are on the disk, by what their names say.
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

    /// A content that is on the disk.
    pub fn content(&self, version: Version) -> Result<Vec<u8>, VersionStoreError> {
        let path = self.content_file(version);
        let read = read_bounded(&path, MAX_CONTENT_BYTES).map_err(VersionStoreError::io(&path))?;
        read.ok_or(VersionStoreError::Missing(path))
    }

    /// Writes what is kept, and a content with it, which goes first; then contents that nobody
    /// needs any more go.
    pub fn persist(
        &mut self,
        persisted: &PersistedState,
        content: Option<(Version, &[u8])>,
    ) -> Result<(), VersionStoreError> {
        self.take(PREVIOUS_PROCESS_WAIT)?;
        let io_error = || VersionStoreError::io(&self.dir);
        if let Some((version, bytes)) = content {
            self.write(&self.content_file(version), bytes)
                .map_err(io_error())?;
        }
        self.write(&self.state_file(), &persisted.encode())
            .map_err(io_error())?;
        let open = persisted
            .head
            .as_ref()
            .filter(|head| !head.is_over())
            .map(|head| head.version);
        let newest = content.map(|(version, _)| version);
        let needed: Vec<Version> = persisted.needed().chain(open).chain(newest).collect();
        let most = needed
            .iter()
            .map(|version| version.number)
            .max()
            .unwrap_or(0);
        for version in self.contents() {
            // What is staged and not begun has a higher number than all that was.
            if !needed.contains(&version) && version.number < most {
                let _ = fs::remove_file(self.content_file(version));
            }
        }
        Ok(())
    }

    /// What is kept, and whether nothing was.
    pub fn read_state(&self) -> (PersistedState, bool) {
        let path = self.state_file();
        let read = match read_bounded(&path, MAX_FILE_BYTES) {
            Ok(None) => return (PersistedState::new(self.kind), true),
            Ok(Some(bytes)) => {
                PersistedState::decode(&bytes).map_err(|broken| broken.word().to_owned())
            }
            Err(e) => Err(e.to_string()),
        };
        match read {
            Ok(persisted) if persisted.kind == self.kind => (persisted, false),
            read => {
                let what = read.err().unwrap_or_else(|| "of another kind".into());
                warn!(
                    target: part::ROLLOUT,
                    path = %path.display(),
                    error = %what,
                    "persisted state cannot be read: set aside, the node starts on what it is given"
                );
                let _ = fs::rename(&path, path.with_extension("broken"));
                (PersistedState::new(self.kind), true)
            }
        }
    }

    /// The node starts: it runs the first of the versions that it may which can be run. What it is
    /// given by hand may be missing; then only what is on the disk can be run. Where another
    /// process of this node runs meanwhile, what is on trial there did not die: it stays on trial
    /// here.
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
                    let read = |version: &Version| Some((*version, self.content(*version).ok()?));
                    let state = InitialState {
                        persisted,
                        running: version,
                        contents: on_disk.iter().filter_map(read).collect(),
                        new_content: (!on_disk.contains(&version)).then_some(content),
                        crashed,
                        disk_was_empty,
                    };
                    return Ok(Start { state, running });
                }
                Err(what) => {
                    warn!(
                        target: part::ROLLOUT,
                        %version,
                        error = %what,
                        "version cannot be started"
                    );
                    first_error.get_or_insert(what);
                }
            }
        }
        let none = || "there is no version to start on".to_owned();
        Err(NoVersionToStartOn(first_error.unwrap_or_else(none)))
    }
}

#[cfg(test)]
mod tests;
