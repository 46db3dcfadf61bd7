//! Where in the file the fields of a rule are, for diagnostics on compiled expressions.

use crate::xml::{Element, Text};
use crate::{Diagnostic, Location};
use madderpoint_rules::{ExpressionError, Field, RuleError};

/// Maps the fields of a rule to the texts of its element.
pub(super) struct RuleLocations<'e> {
    /// The rule's name.
    pub name: String,
    /// The rule's element.
    pub element: &'e Element,
}

impl<'e> RuleLocations<'e> {
    /// The field's text, if it has one; its path; the offset that stands for it without a text.
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

    /// The diagnostic on a fault of the rule, at the bytes of the file that it concerns.
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
