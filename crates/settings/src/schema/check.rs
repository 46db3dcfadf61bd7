//! Checks files by a schema.

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
    /// All that is wrong with a file, by its root element.
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
                "text where none may be",
                expected,
            ));
        }
        match &complex.content {
            Content::Elements(particle) => {
                let mut next = 0;
                self.take(particle, element, &mut next, path, found);
                if let Some(odd) = element.children.get(next) {
                    let known = Self::may_begin(particle);
                    let known = known
                        .iter()
                        .map(|n| format!("<{n}>"))
                        .collect::<Vec<_>>()
                        .join(", ");
                    let what = if Self::may_begin(particle).contains(&odd.name.as_str()) {
                        format!("<{}> is out of its order, or one too many", odd.name)
                    } else {
                        format!("unknown element <{}>", odd.name)
                    };
                    found.push(diagnostic(
                        odd.at,
                        path,
                        what,
                        format!("in this order: {known}"),
                    ));
                }
            }
            _ => {
                if let Some(odd) = element.children.first() {
                    found.push(diagnostic(
                        odd.at,
                        path,
                        format!("unknown element <{}>", odd.name),
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
            }) => format!("a text of at most {most} bytes"),
            _ => "a text".into(),
        }
    }

    fn simple_text(&self, simple: &str, text: &Text, field: &str) -> Option<Diagnostic> {
        let kind = self.simple.get(simple)?;
        let fits = kind.pattern.as_ref().is_none_or(|p| p.matches(&text.value))
            && kind.bytes_max.is_none_or(|most| text.value.len() <= most)
            && (kind.values.is_empty() || kind.values.contains(&text.value));
        let what = || format!("{:?} does not fit", text.value);
        (!fits).then(|| diagnostic(text.place(0), field, what(), self.description(simple)))
    }

    /// Names with which a particle may begin or go on.
    fn may_begin(particle: &Particle) -> Vec<&str> {
        match &particle.kind {
            ParticleKind::Element(name, _) => vec![name],
            ParticleKind::Sequence(all) | ParticleKind::Choice(all) => {
                all.iter().flat_map(Self::may_begin).collect()
            }
        }
    }

    /// Takes as many children as a particle covers. XML Schema has a child decide which particle it
    /// belongs to, so that nothing need be tried twice.
    fn take(
        &self,
        particle: &Particle,
        of: &Element,
        next: &mut usize,
        path: &str,
        found: &mut Vec<Diagnostic>,
    ) {
        let mut times = 0;
        while times < particle.max_occurs && self.once(particle, of, next, path, found) {
            times += 1;
        }
        if times >= particle.min_occurs || Self::may_be_empty(particle) {
            return;
        }
        if let ParticleKind::Sequence(all) = &particle.kind {
            // Nothing of it is there: what it lacks is what each of its parts lacks.
            return all
                .iter()
                .for_each(|one| self.take(one, of, next, path, found));
        }
        let names = Self::may_begin(particle)
            .iter()
            .map(|n| format!("<{n}>"))
            .collect::<Vec<_>>()
            .join(" or ");
        let at = of.children.get(*next).map_or(of.at, |child| child.at);
        found.push(diagnostic(
            at,
            path,
            format!("{names} is missing"),
            names.clone(),
        ));
    }

    fn may_be_empty(particle: &Particle) -> bool {
        particle.min_occurs == 0
            || match &particle.kind {
                ParticleKind::Element(..) => false,
                ParticleKind::Sequence(all) => all.iter().all(Self::may_be_empty),
                ParticleKind::Choice(all) => all.iter().any(Self::may_be_empty),
            }
    }

    fn once(
        &self,
        particle: &Particle,
        of: &Element,
        next: &mut usize,
        path: &str,
        found: &mut Vec<Diagnostic>,
    ) -> bool {
        let Some(child) = of.children.get(*next) else {
            return false;
        };
        if !Self::may_begin(particle).contains(&child.name.as_str()) {
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
                    .for_each(|one| self.take(one, of, next, path, found));
                *next > start
            }
            ParticleKind::Choice(all) => {
                all.iter().any(|one| self.once(one, of, next, path, found))
            }
        }
    }
}
