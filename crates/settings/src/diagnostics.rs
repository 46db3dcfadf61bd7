//! Diagnostics of a settings or scenario file: where something is wrong, what was found and what
//! was expected. The readers of this package collect them; the command line and the log show them.

use crate::xml::Text;
use std::fmt;

/// The most diagnostics that are shown for one file.
const SHOWN_MAX: usize = 50;

/// Where in a file something is wrong. Offsets and lengths are in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Location {
    /// At this offset.
    At(usize),
    /// From this offset, over this length.
    Span(usize, usize),
    /// In the file as a whole.
    Whole,
}

/// Something wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Where.
    pub location: Location,
    /// The field, as a path of elements and attributes; empty if no field is concerned.
    pub field: String,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
}

impl Diagnostic {
    /// A diagnostic on this field.
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

/// Collects diagnostics while one part of a file is read.
pub(crate) struct Collector {
    prefix: &'static str,
    /// What has been reported, in the order of the reports.
    pub diagnostics: Vec<Diagnostic>,
}

impl Collector {
    /// A collector that puts this prefix before the names of fields.
    pub fn new(prefix: &'static str) -> Collector {
        Collector {
            prefix,
            diagnostics: Vec::new(),
        }
    }

    /// Reports that a value is wrong.
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

/// All diagnostics on one file. Shown as text, each has the line of the file below it.
#[derive(Clone, Debug, thiserror::Error)]
pub struct Diagnostics {
    file: String,
    text: String,
    /// All of them, in the order of the file.
    pub all: Vec<Diagnostic>,
}

impl Diagnostics {
    /// Diagnostics on the file of this name and text.
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

    /// The first one on a single line, for the log, and how many more there are.
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

    /// Line and column of a byte, both from 1, and the line's text; columns count characters.
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
