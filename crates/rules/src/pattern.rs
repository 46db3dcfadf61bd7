//! Regular expressions as tables: one look for each byte, whatever the pattern, and nothing
//! allocated to match.

use regex_automata::dfa::{Automaton, StartKind, dense};
use regex_automata::nfa::thompson;
use regex_automata::util::syntax;
use regex_automata::{Anchored, Input};

/// The most bytes that a pattern's table may take.
pub const TABLE_MAX: usize = 64 << 10;
/// The most bytes that building a table may use.
const BUILD_MAX: usize = 512 << 10;
/// The longest text of a pattern, in bytes.
const TEXT_MAX: usize = 512;

/// Why a text is no pattern that can be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{found}; expected {expected}")]
pub struct PatternError {
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
}

impl PatternError {
    fn of(error: &dense::BuildError) -> PatternError {
        let mut found = error.to_string();
        let mut is_too_large = error.is_size_limit_exceeded();
        let mut cause = std::error::Error::source(error);
        while let Some(inner) = cause {
            found = inner.to_string();
            // What was too much for the step before has no kind of its own.
            is_too_large |= found.contains("exceeded limit");
            cause = inner.source();
        }
        if is_too_large {
            return PatternError {
                found: "the pattern is too large".into(),
                expected: format!("a table of at most {} KiB", TABLE_MAX >> 10),
            };
        }
        // The parser draws the pattern over several lines; the last says what is wrong.
        let last = found
            .lines()
            .last()
            .unwrap_or_default()
            .trim_start_matches("error: ");
        PatternError {
            found: format!("no pattern: {last}"),
            expected: "a pattern in the syntax of RE2 over bytes".into(),
        }
    }
}

/// A pattern that is looked for anywhere in a text.
#[derive(Debug)]
pub struct Pattern {
    text: String,
    table: dense::DFA<Vec<u32>>,
}

impl Pattern {
    /// Builds a pattern.
    ///
    /// # Errors
    ///
    /// The text is no pattern, or its table would be too large.
    pub fn new(text: &str) -> Result<Pattern, PatternError> {
        if text.len() > TEXT_MAX {
            return Err(PatternError {
                found: format!("the pattern has {} bytes", text.len()),
                expected: format!("at most {TEXT_MAX}"),
            });
        }
        let config = dense::Config::new()
            .start_kind(StartKind::Unanchored)
            .dfa_size_limit(Some(TABLE_MAX))
            .determinize_size_limit(Some(BUILD_MAX));
        let built = dense::Builder::new()
            .configure(config)
            .syntax(
                syntax::Config::new()
                    .unicode(false)
                    .utf8(false)
                    .nest_limit(24),
            )
            .thompson(
                thompson::Config::new()
                    .utf8(false)
                    .nfa_size_limit(Some(BUILD_MAX)),
            )
            .build(text);
        match built {
            Ok(table) => Ok(Pattern {
                text: text.to_owned(),
                table,
            }),
            Err(error) => Err(PatternError::of(&error)),
        }
    }

    /// Whether a text has a match anywhere.
    pub fn matches(&self, text: &str) -> bool {
        let input = Input::new(text).anchored(Anchored::No).earliest(true);
        matches!(self.table.try_search_fwd(&input), Ok(Some(_)))
    }

    /// As it was written.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Bytes that it takes.
    pub fn bytes(&self) -> usize {
        self.table.memory_usage() + self.text.len() + 300
    }
}

#[cfg(test)]
mod tests;
