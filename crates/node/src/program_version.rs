//! Versions of the program on a machine: a directory for each, named by its number, with the
//! program in it and whatever it needs beside. What is in a directory is not changed any more once
//! it is there.

use madderpoint_rollout::{Version, chunks};
use std::path::{Path, PathBuf};
use std::{fs, io};

/// The name of the program in a version's directory.
pub const PROGRAM: &str = "madderpoint";
/// The most bytes of a program.
const MAX_PROGRAM_BYTES: u64 = 256 << 20;

/// Why a version of the program can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ProgramVersionError {
    /// A file or directory can't be read.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The directory's name has no number.
    #[error("{}: its name has no number; expected such as 7 or release-7", .0.display())]
    NoNumber(PathBuf),
    /// The program is larger than [`MAX_PROGRAM_BYTES`].
    #[error("{}: {size} bytes, {MAX_PROGRAM_BYTES} at most", path.display())]
    TooLarge {
        /// The program.
        path: PathBuf,
        /// Its bytes.
        size: u64,
    },
    /// No directory holds the version.
    #[error("{}: version {version} is not here: {seen}", programs.display())]
    NotHere {
        /// The directory of versions.
        programs: PathBuf,
        /// The version that was looked for.
        version: Version,
        /// What was found under its number.
        seen: String,
    },
}

/// The directory's number: its name, or what follows the last `-` in it.
fn number(dir: &Path) -> Option<u64> {
    let name = dir.file_name()?.to_str()?;
    name.rsplit('-')
        .next()?
        .parse()
        .ok()
        .filter(|number| *number > 0)
}

/// The version that a directory holds: its number, and a hash of the program in it.
pub fn version_of(dir: &Path) -> Result<Version, ProgramVersionError> {
    let io_error = |path: &Path| {
        let path = path.to_owned();
        move |source| ProgramVersionError::Io { path, source }
    };
    let whole = fs::canonicalize(dir).map_err(io_error(dir))?;
    let number = number(&whole).ok_or_else(|| ProgramVersionError::NoNumber(whole.clone()))?;
    let program = whole.join(PROGRAM);
    let size = fs::metadata(&program).map_err(io_error(&program))?.len();
    if size > MAX_PROGRAM_BYTES {
        return Err(ProgramVersionError::TooLarge {
            path: program,
            size,
        });
    }
    let digest = chunks::digest(&fs::read(&program).map_err(io_error(&program))?);
    let hash = digest
        .first_chunk::<8>()
        .map_or(0, |first| u64::from_be_bytes(*first));
    Ok(Version { number, hash })
}

/// The directory of a version, among those that are in this one.
pub fn find(programs: &Path, version: Version) -> Result<PathBuf, ProgramVersionError> {
    let entries = fs::read_dir(programs).map_err(|source| ProgramVersionError::Io {
        path: programs.to_owned(),
        source,
    })?;
    let mut seen = Vec::new();
    for entry in entries.filter_map(Result::ok) {
        let dir = entry.path();
        if number(&dir) != Some(version.number) || !dir.is_dir() {
            continue;
        }
        match version_of(&dir) {
            Ok(found) if found == version => return Ok(dir),
            Ok(found) => seen.push(format!("{} has version {found}", dir.display())),
            Err(error) => seen.push(error.to_string()),
        }
    }
    let seen = if seen.is_empty() {
        "no directory of that number".to_owned()
    } else {
        seen.join("; ")
    };
    Err(ProgramVersionError::NotHere {
        programs: programs.to_owned(),
        version,
        seen,
    })
}

#[cfg(test)]
mod tests;
