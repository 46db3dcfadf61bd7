//! Diagnostics on a settings or scenario file. Each has the location of the fault, the text found
//! and the text expected. The readers of this package collect diagnostics; the command line and the
//! log show them.

use crate::xml::Text;
use std::fmt;

/// Maximum number of diagnostics shown for one file.
const SHOWN_MAX: usize = 50;

/// The location of a fault in a file. Offsets and lengths are in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Location {
    /// One byte, by its offset.
    At(usize),
    /// A range of bytes, by its offset and its length.
    Span(usize, usize),
    /// The file as a whole.
    Whole,
}

/// A fault of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Location of the fault in the file, which the displayed text gives as line and column.
    pub location: Location,
    /// Path of elements and attributes of the faulty field; empty if the fault concerns no field.
    pub field: String,
    /// Description of the text found.
    pub found: String,
    /// Description of the text expected.
    pub expected: String,
}

impl Diagnostic {
    /// Returns a diagnostic; `field` is empty if the fault concerns no field.
    pub fn new(
        location: Location,
        field: impl Into<String>,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) -> Diagnostic {
        Diagnostic {
            location,
            field: field.into(),
            found: found.into(),
            expected: expected.into(),
        }
    }
}

/// Collects diagnostics during the reading of one part of a file.
pub(crate) struct Collector {
    prefix: &'static str,
    /// Diagnostics in the order in which they were reported.
    pub diagnostics: Vec<Diagnostic>,
}

impl Collector {
    /// Returns a collector that puts `prefix` before the names of fields.
    pub fn new(prefix: &'static str) -> Collector {
        Collector {
            prefix,
            diagnostics: Vec::new(),
        }
    }

    /// Reports a fault of a value; the diagnostic covers the whole value.
    pub fn report(
        &mut self,
        text: &Text,
        field: &str,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) {
        let location = Location::Span(text.place(0), text.value.len().max(1));
        let field = format!("{}{field}", self.prefix);
        self.diagnostics
            .push(Diagnostic::new(location, field, found, expected));
    }
}

/// All diagnostics on one file. The displayed text has the affected line of the file below each of
/// them.
#[derive(Clone, Debug, thiserror::Error)]
pub struct Diagnostics {
    file: String,
    text: String,
    /// Diagnostics in the order of their locations in the file.
    pub all: Vec<Diagnostic>,
}

impl Diagnostics {
    /// Returns the diagnostics on a file with this name and text.
    pub fn new(file: &str, text: &str, mut all: Vec<Diagnostic>) -> Diagnostics {
        all.sort_by_key(|diagnostic| match diagnostic.location {
            Location::At(offset) | Location::Span(offset, _) => offset + 1,
            Location::Whole => 0,
        });
        Diagnostics {
            file: file.to_owned(),
            text: text.to_owned(),
            all,
        }
    }

    /// Returns the first diagnostic and the number of further ones, on one line for the log.
    pub fn summary(&self) -> String {
        let Some(first) = self.all.first() else {
            return self.file.clone();
        };
        let more = self.all.len() - 1;
        let headline = self.headline(first);
        if more > 0 {
            format!("{headline} (and {more} more)")
        } else {
            headline
        }
    }

    /// Returns the line and the column of a byte, both counted from 1, and the text of the line.
    /// Columns count characters.
    fn position(&self, offset: usize) -> (usize, usize, &str) {
        let mut offset = offset.min(self.text.len());
        while !self.text.is_char_boundary(offset) {
            offset -= 1;
        }
        let before = &self.text[..offset];
        let start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let line = self.text[start..].lines().next().unwrap_or("");
        (
            before.matches('\n').count() + 1,
            before[start..].chars().count() + 1,
            line,
        )
    }

    fn headline(&self, diagnostic: &Diagnostic) -> String {
        let location = match diagnostic.location {
            Location::At(offset) | Location::Span(offset, _) => {
                let (line, column, _) = self.position(offset);
                format!("{}:{line}:{column}", self.file)
            }
            Location::Whole => self.file.clone(),
        };
        let field = if diagnostic.field.is_empty() {
            String::new()
        } else {
            format!(" {}:", diagnostic.field)
        };
        format!(
            "{location}:{field} {}; expected {}",
            diagnostic.found, diagnostic.expected
        )
    }
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for diagnostic in self.all.iter().take(SHOWN_MAX) {
            writeln!(f, "{}", self.headline(diagnostic))?;
            let (offset, len) = match diagnostic.location {
                Location::At(offset) => (offset, 1),
                Location::Span(offset, len) => (offset, len),
                Location::Whole => continue,
            };
            let (_, column, line) = self.position(offset);
            let underlined = line
                .chars()
                .count()
                .saturating_sub(column - 1)
                .min(len)
                .max(1);
            let blank: String = line
                .chars()
                .take(column - 1)
                .map(|c| if c == '\t' { '\t' } else { ' ' })
                .collect();
            writeln!(f, "  {line}\n  {blank}^{}", "~".repeat(underlined - 1))?;
        }
        match self.all.len().saturating_sub(SHOWN_MAX) {
            0 => Ok(()),
            more => writeln!(f, "{}: and {more} more", self.file),
        }
    }
}
