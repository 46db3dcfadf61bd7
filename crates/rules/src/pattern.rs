//! Regular expressions compiled to DFA tables. Matching takes one table lookup for each byte of the
//! text, whatever the pattern, and allocates nothing.

use regex_automata::dfa::{Automaton, StartKind, dense};
use regex_automata::nfa::thompson;
use regex_automata::util::syntax;
use regex_automata::{Anchored, Input};

/// Largest size of the table of a pattern, in bytes.
pub const TABLE_MAX: usize = 64 << 10;
/// Largest amount of memory that building a table may use, in bytes.
const BUILD_MAX: usize = 512 << 10;
/// Longest text of a pattern, in bytes.
const TEXT_MAX: usize = 512;

/// The reason why a text cannot be used as a pattern.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{found}; expected {expected}")]
pub struct PatternError {
    /// Description of what was found.
    pub found: String,
    /// Description of what was expected.
    pub expected: String,
}

impl PatternError {
    fn of(error: &dense::BuildError) -> PatternError {
        let mut found = error.to_string();
        let mut is_too_large = error.is_size_limit_exceeded();
        let mut cause = std::error::Error::source(error);
        while let Some(inner) = cause {
            found = inner.to_string();
            // An exceeded limit of an earlier build step is only visible in the text of the cause.
            is_too_large |= found.contains("exceeded limit");
            cause = inner.source();
        }
        if is_too_large {
            return PatternError {
                found: "the pattern is too large".into(),
                expected: format!("a table of at most {} KiB", TABLE_MAX >> 10),
            };
        }
        // The parser prints the pattern over several lines; the last line names the error.
        let last = found
            .lines()
            .last()
            .unwrap_or_default()
            .trim_start_matches("error: ");
        PatternError {
            found: format!("not a valid pattern: {last}"),
            expected: "a pattern in the syntax of RE2 over bytes".into(),
        }
    }
}

/// A compiled pattern that is searched for anywhere in a text.
#[derive(Debug)]
pub struct Pattern {
    text: String,
    table: dense::DFA<Vec<u32>>,
}

impl Pattern {
    /// Compiles a pattern in RE2 syntax, matched over bytes.
    ///
    /// # Errors
    ///
    /// Fails if the text is longer than 512 bytes or is not a valid pattern, or if its table would
    /// exceed [`TABLE_MAX`] bytes.
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

    /// Returns whether the pattern matches anywhere in the text.
    pub fn matches(&self, text: &str) -> bool {
        let input = Input::new(text).anchored(Anchored::No).earliest(true);
        matches!(self.table.try_search_fwd(&input), Ok(Some(_)))
    }

    /// Returns the source text of the pattern.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the approximate memory of the pattern, in bytes.
    pub fn bytes(&self) -> usize {
        self.table.memory_usage() + self.text.len() + 300
    }
}

#[cfg(test)]
mod tests;
