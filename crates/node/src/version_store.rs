//! The directory in which a node keeps versions of its settings, or what it knows of versions of
//! the program: a small file that says what is in force, and the contents. All are written to
//! another name, synced and put in their place, so that a cut at any moment leaves the old ones or
//! the new ones.

use crate::log::part;
use madderpoint_rollout::chunks::CONTENT_MAX;
use madderpoint_rollout::node_agent::InitialState;
use madderpoint_rollout::persisted_state::{FILE_MAX, PersistedState};
use madderpoint_rollout::{Kind, Version};
use std::fs::{self, File, TryLockError};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};
use tracing::warn;

/// Files of contents that are looked at; there are a handful.
const CONTENTS: usize = 64;

/// The directory, of one node; no other process writes there at the same time.
#[derive(Debug)]
pub struct Directory {
    dir: PathBuf,
    kind: Kind,
    lock: Option<File>,
    /// What was read while another process had it: it must be the same when that one is gone.
    read: Option<Vec<u8>>,
}

/// How long the process before this one is waited for, and between two looks.
const BEFORE: Duration = Duration::from_secs(15);
const LOOK: Duration = Duration::from_millis(20);

fn word(kind: Kind) -> &'static str {
    match kind {
        Kind::Settings => "settings",
        Kind::Program => "program",
    }
}

/// A name that is one part of a path: what is not plain is told by a number.
fn plain(name: &str) -> String {
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

/// What a node starts with, and the text of what it runs.
#[derive(Debug)]
pub struct Begun<T> {
    pub start: InitialState,
    pub runs: T,
}

impl Directory {
    /// The part of a directory that is this node's: several nodes of a machine may be told the same
    /// one.
    pub fn open(dir: &Path, node: &str, kind: Kind) -> Result<Directory, String> {
        let mut directory = Directory::beside(dir, node, kind)?;
        directory.take(Duration::ZERO)?;
        Ok(directory)
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.dir
    }

    /// The same, while another process of this node may still have it: it is read, and written only
    /// once that one is gone.
    pub fn beside(dir: &Path, node: &str, kind: Kind) -> Result<Directory, String> {
        let dir = dir.join(plain(node));
        fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        Ok(Directory {
            dir,
            kind,
            lock: None,
            read: None,
        })
    }

    /// Has it for this process alone.
    fn take(&mut self, within: Duration) -> Result<(), String> {
        if self.lock.is_some() {
            return Ok(());
        }
        let wrong = |what: &dyn std::fmt::Display| format!("{}: {what}", self.dir.display());
        let lock = File::create(self.dir.join(format!("{}.lock", word(self.kind))))
            .map_err(|e| wrong(&e))?;
        let begun = Instant::now();
        loop {
            match lock.try_lock() {
                Ok(()) => break,
                Err(TryLockError::WouldBlock) if begun.elapsed() < within => thread::sleep(LOOK),
                Err(TryLockError::WouldBlock) => return Err(wrong(&"another process has it")),
                Err(TryLockError::Error(e)) => return Err(wrong(&e)),
            }
        }
        if let Some(read) = &self.read
            && read_bounded(&self.kept_file(), FILE_MAX)
                .ok()
                .flatten()
                .as_ref()
                != Some(read)
        {
            return Err(wrong(
                &"what is kept was changed by the process before, after it was read",
            ));
        }
        (self.lock, self.read) = (Some(lock), None);
        Ok(())
    }

    fn kept_file(&self) -> PathBuf {
        self.dir.join(format!("{}.kept", word(self.kind)))
    }

    fn content_file(&self, version: Version) -> PathBuf {
        self.dir.join(format!(
            "{}-{}-{:016x}",
            word(self.kind),
            version.number,
            version.hash
        ))
    }

    /// The version that a file's name tells.
    fn version_of(&self, name: &str) -> Option<Version> {
        let (number, hash) = name
            .strip_prefix(word(self.kind))?
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
            .take(CONTENTS)
            .collect()
    }

    /// A content that is on the disk.
    pub fn content(&self, version: Version) -> Result<Vec<u8>, String> {
        let path = self.content_file(version);
        let read =
            read_bounded(&path, CONTENT_MAX).map_err(|e| format!("{}: {e}", path.display()))?;
        read.ok_or_else(|| format!("{}: there is no such file", path.display()))
    }

    /// Writes what is kept, and a content with it, which goes first; then contents that nobody
    /// needs any more go.
    pub fn keep(
        &mut self,
        kept: &PersistedState,
        content: Option<(Version, &[u8])>,
    ) -> Result<(), String> {
        self.take(BEFORE)?;
        let wrong = |e: io::Error| format!("{}: {e}", self.dir.display());
        if let Some((version, bytes)) = content {
            self.write(&self.content_file(version), bytes)
                .map_err(wrong)?;
        }
        self.write(&self.kept_file(), &kept.write())
            .map_err(wrong)?;
        let open = kept
            .head
            .as_ref()
            .filter(|head| !head.is_over())
            .map(|head| head.version);
        let newest = content.map(|(version, _)| version);
        let needed: Vec<Version> = kept.needed().chain(open).chain(newest).collect();
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
    pub fn read_kept(&self) -> (PersistedState, bool) {
        let path = self.kept_file();
        let read = match read_bounded(&path, FILE_MAX) {
            Ok(None) => return (PersistedState::new(self.kind), true),
            Ok(Some(bytes)) => {
                PersistedState::read(&bytes).map_err(|broken| broken.word().to_owned())
            }
            Err(e) => Err(e.to_string()),
        };
        match read {
            Ok(kept) if kept.kind == self.kind => (kept, false),
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
        mut runs: impl FnMut(Version, &[u8]) -> Result<T, String>,
    ) -> Result<Begun<T>, String> {
        let is_beside = self.lock.is_none();
        if is_beside {
            self.read = read_bounded(&self.kept_file(), FILE_MAX).ok().flatten();
        }
        let (mut kept, fresh) = self.read_kept();
        let (given_version, given_content) = given.unwrap_or_default();
        let trial = kept.trial.filter(|_| is_beside);
        let (all, died) = match trial {
            Some(trial) => (vec![trial.version], None),
            None => kept.begin(given_version),
        };
        let contents = self.contents();
        let mut first_wrong = None;
        for version in all
            .into_iter()
            .filter(|version| *version != Version::default())
        {
            let on_disk = contents.contains(&version);
            let content = match version == given_version {
                true => Ok(given_content.clone()),
                false => self.content(version),
            };
            match content.and_then(|content| Ok((runs(version, &content)?, content))) {
                Ok((what, content)) => {
                    let here = |version: &Version| Some((*version, self.content(*version).ok()?));
                    let contents = contents.iter().filter_map(here).collect();
                    let new_content = (!on_disk).then_some(content);
                    let start = InitialState {
                        kept,
                        running: version,
                        contents,
                        new_content,
                        died,
                        fresh,
                    };
                    return Ok(Begun { start, runs: what });
                }
                Err(what) => {
                    warn!(
                        target: part::ROLLOUT,
                        %version,
                        error = %what,
                        "version cannot be started"
                    );
                    first_wrong.get_or_insert(what);
                }
            }
        }
        Err(first_wrong.unwrap_or_else(|| "there is no version to start on".into()))
    }
}

#[cfg(test)]
mod tests;
