//! Versions of the program on a machine: a directory for each, named by its number, with the
//! program in it and whatever it needs beside. What is in a directory is not changed any more once
//! it is there.

use madderpoint_rollout::{Version, chunks};
use std::fs;
use std::path::{Path, PathBuf};

/// The program in a version's directory.
pub const PROGRAM: &str = "madderpoint";
/// A program that is larger than this is none.
const PROGRAM_MAX: u64 = 256 << 20;

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
pub fn version_of(dir: &Path) -> Result<Version, String> {
    let whole = fs::canonicalize(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let number = number(&whole).ok_or_else(|| {
        format!(
            "{}: its name has no number; expected such as 7 or release-7",
            whole.display()
        )
    })?;
    let program = whole.join(PROGRAM);
    let wrong = |e: std::io::Error| format!("{}: {e}", program.display());
    let size = fs::metadata(&program).map_err(wrong)?.len();
    if size > PROGRAM_MAX {
        return Err(format!(
            "{}: {size} bytes, {PROGRAM_MAX} at most",
            program.display()
        ));
    }
    let digest = chunks::digest(&fs::read(&program).map_err(wrong)?);
    let hash = digest
        .first_chunk::<8>()
        .map_or(0, |first| u64::from_be_bytes(*first));
    Ok(Version { number, hash })
}

/// The directory of a version, among those that are in this one.
pub fn find(programs: &Path, version: Version) -> Result<PathBuf, String> {
    let all = fs::read_dir(programs).map_err(|e| format!("{}: {e}", programs.display()))?;
    let mut seen = Vec::new();
    for entry in all.filter_map(Result::ok) {
        let dir = entry.path();
        if number(&dir) != Some(version.number) || !dir.is_dir() {
            continue;
        }
        match version_of(&dir) {
            Ok(found) if found == version => return Ok(dir),
            Ok(found) => seen.push(format!("{} has version {found}", dir.display())),
            Err(what) => seen.push(what),
        }
    }
    let seen = if seen.is_empty() {
        "no directory of that number".to_owned()
    } else {
        seen.join("; ")
    };
    Err(format!(
        "{}: version {version} is not here: {seen}",
        programs.display()
    ))
}

#[cfg(test)]
mod tests;
