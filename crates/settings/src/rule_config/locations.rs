//! Locations of the fields of a rule in the file, for diagnostics on compiled expressions.

use crate::xml::{Element, Text};
use crate::{Diagnostic, Location};
use madderpoint_rules::{ExpressionError, Field, RuleError};

/// Maps the fields of a rule to the texts of the rule's element.
pub(super) struct RuleLocations<'e> {
    /// Name of the rule.
    pub name: String,
    /// Element of the rule.
    pub element: &'e Element,
}

impl<'e> RuleLocations<'e> {
    /// Returns the text of a field, if the file has one; the path of the field; and the offset of
    /// the closest element, for a field without a text.
    fn find(&self, field: Field) -> (Option<&'e Text>, String, usize) {
        let give = self.element.one("give");
        let inner = |name: &'static str, nth: usize| {
            let child = give.and_then(|give| give.all(name).nth(nth));
            (
                child.map(|c| &c.text),
                format!("give/{name}"),
                child.map_or(self.element.at, |c| c.at),
            )
        };
        let whole = (None, String::new(), self.element.at);
        match field {
            Field::When => (
                self.element.one("when").map(|w| &w.text),
                "when".into(),
                self.element.at,
            ),
            Field::Operation => (
                give.and_then(|g| g.get("operation")),
                "give/@operation".into(),
                self.element.at,
            ),
            Field::Class => (
                give.and_then(|g| g.get("class")),
                "give/@class".into(),
                self.element.at,
            ),
            Field::Key => inner("key", 0),
            Field::Rank => inner("rank", 0),
            Field::Fact(nth) => inner("fact", nth),
            Field::Bucket(nth) => inner("limit", nth),
            Field::Name => whole,
        }
    }

    /// Returns the diagnostic on a fault of the rule, located at the affected bytes of the file.
    pub fn diagnostic(&self, problem: &RuleError) -> Diagnostic {
        let (text, field, at) = self.find(problem.field);
        let ExpressionError {
            at: range,
            what,
            expected,
        } = problem.error.clone();
        let location = match text {
            Some(text) if range.start <= text.value.len() => {
                let (start, end) = (
                    text.place(range.start),
                    text.place(range.end.max(range.start + 1) - 1) + 1,
                );
                Location::Span(start, end.saturating_sub(start).max(1))
            }
            _ => Location::At(at),
        };
        let field = format!("rule '{}' {field}", self.name);
        Diagnostic::new(location, field, what, expected)
    }
}
