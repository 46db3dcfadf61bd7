//! Versions of the program on a machine. Each version has a directory that is named by its number
//! and holds the program and the files that it needs. The contents of such a directory never
//! change.

use madderpoint_rollout::{Version, chunks};
use std::path::{Path, PathBuf};
use std::{fs, io};

/// File name of the program in a version's directory.
pub const PROGRAM: &str = "madderpoint";
/// Maximum size of a program, in bytes.
const MAX_PROGRAM_BYTES: u64 = 256 << 20;

/// Why a version of the program cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ProgramVersionError {
    /// A file or directory cannot be read.
    #[error("{}: cannot read: {source}", path.display())]
    Io {
        /// Path of the file or directory that cannot be read.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The directory's name does not end in a positive number.
    #[error("{}: directory name has no version number; expected a name such as 7 or release-7", .0.display())]
    NoNumber(PathBuf),
    /// The program is larger than 256 MiB.
    #[error("{}: program has {size} bytes; the maximum is {MAX_PROGRAM_BYTES}", path.display())]
    TooLarge {
        /// Path of the program.
        path: PathBuf,
        /// Size of the program, in bytes.
        size: u64,
    },
    /// No directory contains the version.
    #[error("{}: version {version} not found: {found_instead}", programs.display())]
    NotHere {
        /// The directory that was searched.
        programs: PathBuf,
        /// The requested version.
        version: Version,
        /// Description of the directories with the requested version's number.
        found_instead: String,
    },
}

/// Returns the number in a directory's name: the whole name, or the part after the last `-`.
fn number_of(dir: &Path) -> Option<u64> {
    let name = dir.file_name()?.to_str()?;
    name.rsplit('-')
        .next()?
        .parse()
        .ok()
        .filter(|number| *number > 0)
}

/// Determines the version in a directory: the number from its name, and a hash of the program.
pub fn version_of(dir: &Path) -> Result<Version, ProgramVersionError> {
    let io_error = |path: &Path| {
        let path = path.to_owned();
        move |source| ProgramVersionError::Io { path, source }
    };
    let canonical = fs::canonicalize(dir).map_err(io_error(dir))?;
    let number =
        number_of(&canonical).ok_or_else(|| ProgramVersionError::NoNumber(canonical.clone()))?;
    let program = canonical.join(PROGRAM);
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

/// Finds the subdirectory of `programs` that contains a version.
pub fn find(programs: &Path, version: Version) -> Result<PathBuf, ProgramVersionError> {
    let entries = fs::read_dir(programs).map_err(|source| ProgramVersionError::Io {
        path: programs.to_owned(),
        source,
    })?;
    let mut found_instead = Vec::new();
    for entry in entries.filter_map(Result::ok) {
        let dir = entry.path();
        if number_of(&dir) != Some(version.number) || !dir.is_dir() {
            continue;
        }
        match version_of(&dir) {
            Ok(found) if found == version => return Ok(dir),
            Ok(found) => found_instead.push(format!("{} has version {found}", dir.display())),
            Err(error) => found_instead.push(error.to_string()),
        }
    }
    let found_instead = if found_instead.is_empty() {
        "no directory has this number".to_owned()
    } else {
        found_instead.join("; ")
    };
    Err(ProgramVersionError::NotHere {
        programs: programs.to_owned(),
        version,
        found_instead,
    })
}

#[cfg(test)]
mod tests;
