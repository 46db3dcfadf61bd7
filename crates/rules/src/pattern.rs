//! Regular expressions as tables: one look for each byte, whatever the pattern, and nothing
//! allocated to match.

use regex_automata::dfa::{Automaton, StartKind, dense};
use regex_automata::nfa::thompson;
use regex_automata::util::syntax;
use regex_automata::{Anchored, Input};

/// The most bytes that a pattern's table may take, and that building it may use meanwhile.
pub const TABLE_MAX: usize = 64 << 10;
const BUILD_MAX: usize = 512 << 10;
/// The longest text of a pattern.
const TEXT_MAX: usize = 512;

/// A pattern that is looked for anywhere in a text.
#[derive(Debug)]
pub struct Pattern {
    text: String,
    table: dense::DFA<Vec<u32>>,
}

impl Pattern {
    /// Builds a pattern; an error says what is wrong and what was expected.
    pub fn new(text: &str) -> Result<Pattern, (String, String)> {
        let expected = || "a pattern in the syntax of RE2 over bytes".to_owned();
        if text.len() > TEXT_MAX {
            return Err((
                format!("the pattern has {} bytes", text.len()),
                format!("at most {TEXT_MAX}"),
            ));
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
            Err(e) => {
                let mut what = e.to_string();
                let mut large = e.is_size_limit_exceeded();
                let mut cause = std::error::Error::source(&e);
                while let Some(inner) = cause {
                    what = inner.to_string();
                    // What was too much for the step before has no kind of its own.
                    large |= what.contains("exceeded limit");
                    cause = inner.source();
                }
                if large {
                    let expected = format!("a table of at most {} KiB", TABLE_MAX >> 10);
                    return Err(("the pattern is too large".into(), expected));
                }
                // The parser draws the pattern over several lines; the last says what is wrong.
                let last = what
                    .lines()
                    .last()
                    .unwrap_or_default()
                    .trim_start_matches("error: ");
                Err((format!("no pattern: {last}"), expected()))
            }
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
