//! Validates files against a schema.

use super::{Complex, Content, Particle, ParticleKind, Schema, Simple};
use crate::xml::{Element, Text};
use crate::{Diagnostic, Location};

fn diagnostic(
    at: usize,
    field: &str,
    found: impl Into<String>,
    expected: impl Into<String>,
) -> Diagnostic {
    Diagnostic::new(Location::At(at), field, found, expected)
}

impl Schema {
    /// Returns the diagnostics on a file, given its root element.
    pub fn check(&self, root: &Element) -> Vec<Diagnostic> {
        let mut found = Vec::new();
        if root.name != self.root.0 {
            found.push(diagnostic(
                root.at,
                &root.name,
                format!("unknown element <{}>", root.name),
                format!("<{}>", self.root.0),
            ));
            return found;
        }
        self.element(root, &self.root.1, &root.name, &mut found);
        found
    }

    fn element(&self, element: &Element, kind: &str, path: &str, found: &mut Vec<Diagnostic>) {
        let Some(complex) = self.complex.get(kind) else {
            return;
        };
        self.check_attributes(element, complex, path, found);
        let text = element.text.value.trim();
        if !text.is_empty() && !matches!(complex.content, Content::Text) {
            let start = element.text.value.len() - element.text.value.trim_start().len();
            let expected = if matches!(complex.content, Content::Nothing) {
                "nothing"
            } else {
                "elements"
            };
            found.push(diagnostic(
                element.text.place(start),
                path,
                "text is not allowed in this element",
                expected,
            ));
        }
        match &complex.content {
            Content::Elements(particle) => {
                let mut next = 0;
                self.match_particle(particle, element, &mut next, path, found);
                if let Some(unexpected) = element.children.get(next) {
                    let known = Self::first_names(particle);
                    let known = known
                        .iter()
                        .map(|n| format!("<{n}>"))
                        .collect::<Vec<_>>()
                        .join(", ");
                    let problem = if Self::first_names(particle).contains(&unexpected.name.as_str())
                    {
                        format!("<{}> is out of order or occurs too often", unexpected.name)
                    } else {
                        format!("unknown element <{}>", unexpected.name)
                    };
                    found.push(diagnostic(
                        unexpected.at,
                        path,
                        problem,
                        format!("in this order: {known}"),
                    ));
                }
            }
            _ => {
                if let Some(unexpected) = element.children.first() {
                    found.push(diagnostic(
                        unexpected.at,
                        path,
                        format!("unknown element <{}>", unexpected.name),
                        "no elements",
                    ));
                }
            }
        }
    }

    fn check_attributes(
        &self,
        element: &Element,
        complex: &Complex,
        path: &str,
        found: &mut Vec<Diagnostic>,
    ) {
        for attribute in &element.attributes {
            let field = format!("{path}/@{}", attribute.name);
            match complex.attributes.iter().find(|a| a.name == attribute.name) {
                Some(kind) => {
                    found.extend(self.simple_text(&kind.simple, &attribute.value, &field))
                }
                None => {
                    let known: Vec<_> =
                        complex.attributes.iter().map(|a| a.name.as_str()).collect();
                    let known = if known.is_empty() {
                        "none".to_owned()
                    } else {
                        format!("one of {}", known.join(", "))
                    };
                    found.push(diagnostic(
                        attribute.at,
                        &field,
                        format!("unknown attribute '{}'", attribute.name),
                        known,
                    ));
                }
            }
        }
        for kind in complex
            .attributes
            .iter()
            .filter(|kind| kind.required && element.get(&kind.name).is_none())
        {
            found.push(diagnostic(
                element.at,
                path,
                format!("attribute '{}' is missing", kind.name),
                self.description(&kind.simple),
            ));
        }
    }

    fn description(&self, simple: &str) -> String {
        match self.simple.get(simple) {
            Some(simple) if !simple.values.is_empty() => {
                format!("one of {}", simple.values.join(", "))
            }
            Some(simple) if !simple.description.is_empty() => simple.description.clone(),
            Some(Simple {
                bytes_max: Some(most),
                ..
            }) => format!("text of at most {most} bytes"),
            _ => "text".into(),
        }
    }

    fn simple_text(&self, simple: &str, text: &Text, field: &str) -> Option<Diagnostic> {
        let kind = self.simple.get(simple)?;
        let fits = kind.pattern.as_ref().is_none_or(|p| p.matches(&text.value))
            && kind.bytes_max.is_none_or(|most| text.value.len() <= most)
            && (kind.values.is_empty() || kind.values.contains(&text.value));
        let invalid = || format!("{:?} is not valid", text.value);
        (!fits).then(|| diagnostic(text.place(0), field, invalid(), self.description(simple)))
    }

    /// Returns the names of the elements that may come first or next in a particle.
    fn first_names(particle: &Particle) -> Vec<&str> {
        match &particle.kind {
            ParticleKind::Element(name, _) => vec![name],
            ParticleKind::Sequence(all) | ParticleKind::Choice(all) => {
                all.iter().flat_map(Self::first_names).collect()
            }
        }
    }

    /// Matches as many children as possible with a particle, from the child at `next` on. XML
    /// Schema requires that the name of a child determines its particle, so no backtracking is
    /// needed.
    fn match_particle(
        &self,
        particle: &Particle,
        parent: &Element,
        next: &mut usize,
        path: &str,
        found: &mut Vec<Diagnostic>,
    ) {
        let mut times = 0;
        while times < particle.max_occurs && self.match_once(particle, parent, next, path, found) {
            times += 1;
        }
        if times >= particle.min_occurs || Self::may_be_empty(particle) {
            return;
        }
        if let ParticleKind::Sequence(all) = &particle.kind {
            // No child belongs to the sequence: reports what each of its parts lacks.
            return all
                .iter()
                .for_each(|one| self.match_particle(one, parent, next, path, found));
        }
        let names = Self::first_names(particle)
            .iter()
            .map(|n| format!("<{n}>"))
            .collect::<Vec<_>>()
            .join(" or ");
        let at = parent
            .children
            .get(*next)
            .map_or(parent.at, |child| child.at);
        found.push(diagnostic(
            at,
            path,
            format!("{names} is missing"),
            names.clone(),
        ));
    }

    /// Returns whether a particle matches without any child.
    fn may_be_empty(particle: &Particle) -> bool {
        particle.min_occurs == 0
            || match &particle.kind {
                ParticleKind::Element(..) => false,
                ParticleKind::Sequence(all) => all.iter().all(Self::may_be_empty),
                ParticleKind::Choice(all) => all.iter().any(Self::may_be_empty),
            }
    }

    /// Matches one occurrence of a particle, and returns whether a child matched.
    fn match_once(
        &self,
        particle: &Particle,
        parent: &Element,
        next: &mut usize,
        path: &str,
        found: &mut Vec<Diagnostic>,
    ) -> bool {
        let Some(child) = parent.children.get(*next) else {
            return false;
        };
        if !Self::first_names(particle).contains(&child.name.as_str()) {
            return false;
        }
        match &particle.kind {
            ParticleKind::Element(_, kind) => {
                let name = child
                    .get("name")
                    .map_or_else(String::new, |n| format!("[{}]", n.value));
                self.element(child, kind, &format!("{path}/{}{name}", child.name), found);
                *next += 1;
                true
            }
            ParticleKind::Sequence(all) => {
                let start = *next;
                all.iter()
                    .for_each(|one| self.match_particle(one, parent, next, path, found));
                *next > start
            }
            ParticleKind::Choice(all) => all
                .iter()
                .any(|one| self.match_once(one, parent, next, path, found)),
        }
    }
}
