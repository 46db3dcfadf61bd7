//! A checker by XML Schema, for the part of it that our schema uses: elements with named or inner
//! types, sequence and choice with their numbers, attributes, simple types by pattern, enumeration
//! and length, simple content. A schema that uses anything else is refused when it is read, so that
//! nothing in it is passed over.

use crate::xml::{self, Element, Text};
use crate::{Complaint, Place};
use madderpoint_rules::pattern::Pattern;
use std::collections::BTreeMap;

/// What a text must be.
#[derive(Debug, Default)]
struct Simple {
    pattern: Option<Pattern>,
    words: Vec<String>,
    most: Option<usize>,
    told: String,
}

#[derive(Debug)]
struct AttributeKind {
    name: String,
    simple: String,
    required: bool,
}

/// What may stand in an element.
#[derive(Debug)]
enum Content {
    Nothing,
    Text,
    Elements(Particle),
}

#[derive(Debug)]
struct Complex {
    attributes: Vec<AttributeKind>,
    content: Content,
}

/// A place in a content model, with how often it may be filled.
#[derive(Debug)]
struct Particle {
    kind: ParticleKind,
    least: usize,
    most: usize,
}

#[derive(Debug)]
enum ParticleKind {
    /// A name and the name of its type.
    Element(String, String),
    Sequence(Vec<Particle>),
    Choice(Vec<Particle>),
}

/// A schema that was read.
#[derive(Debug, Default)]
pub struct Schema {
    simple: BTreeMap<String, Simple>,
    complex: BTreeMap<String, Complex>,
    root: (String, String),
    inner: usize,
}

const TEXT: &str = "xs:string";

fn unknown(element: &Element) -> String {
    format!(
        "the schema uses {} in a way that is not known here",
        element.name
    )
}

fn value<'e>(element: &'e Element, name: &str) -> Result<&'e str, String> {
    element
        .get(name)
        .map(|t| t.value.as_str())
        .ok_or_else(|| format!("{} without {name}", element.name))
}

fn parts(element: &Element) -> impl Iterator<Item = &Element> {
    element
        .children
        .iter()
        .filter(|child| child.name != "xs:annotation")
}

impl Schema {
    /// Reads a schema.
    pub fn read(text: &str) -> Result<Schema, String> {
        let root = xml::read(text).map_err(|e| format!("{}; expected {}", e.what, e.expected))?;
        if root.name != "xs:schema" {
            return Err("no xs:schema".into());
        }
        let mut schema = Schema::default();
        for child in parts(&root) {
            match child.name.as_str() {
                "xs:simpleType" => {
                    let simple = Self::simple(child)?;
                    schema
                        .simple
                        .insert(value(child, "name")?.to_owned(), simple);
                }
                "xs:complexType" => {
                    let complex = schema.complex(child)?;
                    schema
                        .complex
                        .insert(value(child, "name")?.to_owned(), complex);
                }
                "xs:element" => {
                    let kind = schema.kind_of(child)?;
                    schema.root = (value(child, "name")?.to_owned(), kind);
                }
                _ => return Err(unknown(child)),
            }
        }
        schema.is_whole()?;
        Ok(schema)
    }

    fn simple(element: &Element) -> Result<Simple, String> {
        let mut simple = Simple::default();
        if let Some(told) = element
            .one("xs:annotation")
            .and_then(|a| a.one("xs:documentation"))
        {
            simple.told = told.text.value.trim().to_owned();
        }
        for restriction in parts(element) {
            if restriction.name != "xs:restriction" || value(restriction, "base")? != TEXT {
                return Err(unknown(restriction));
            }
            for facet in parts(restriction) {
                let value = value(facet, "value")?;
                match facet.name.as_str() {
                    "xs:pattern" => {
                        // A pattern of XML Schema binds the whole text.
                        let pattern = Pattern::new(&format!("^(?:{value})$"))
                            .map_err(|e| format!("{value}: {}", e.0))?;
                        simple.pattern = Some(pattern);
                    }
                    "xs:enumeration" => simple.words.push(value.to_owned()),
                    "xs:maxLength" => {
                        simple.most = Some(value.parse().map_err(|_| unknown(facet))?)
                    }
                    _ => return Err(unknown(facet)),
                }
            }
        }
        Ok(simple)
    }

    fn attributes(owner: &Element) -> Result<Vec<AttributeKind>, String> {
        let attributes = parts(owner).filter(|child| child.name == "xs:attribute");
        let read = |attribute: &Element| -> Result<AttributeKind, String> {
            let required = attribute.get("use").is_some_and(|u| u.value == "required");
            let (name, simple) = (
                value(attribute, "name")?.to_owned(),
                value(attribute, "type")?.to_owned(),
            );
            Ok(AttributeKind {
                name,
                simple,
                required,
            })
        };
        attributes.map(read).collect()
    }

    fn complex(&mut self, element: &Element) -> Result<Complex, String> {
        let (mut attributes, mut content) = (Self::attributes(element)?, Content::Nothing);
        for child in parts(element).filter(|child| child.name != "xs:attribute") {
            match child.name.as_str() {
                "xs:sequence" | "xs:choice" => content = Content::Elements(self.particle(child)?),
                "xs:simpleContent" => {
                    let extension = child.one("xs:extension").ok_or_else(|| unknown(child))?;
                    if value(extension, "base")? != TEXT {
                        return Err(unknown(extension));
                    }
                    attributes = Self::attributes(extension)?;
                    content = Content::Text;
                }
                _ => return Err(unknown(child)),
            }
        }
        Ok(Complex {
            attributes,
            content,
        })
    }

    fn particle(&mut self, element: &Element) -> Result<Particle, String> {
        let number = |name: &str| -> Result<usize, String> {
            match element.get(name).map(|t| t.value.as_str()) {
                None => Ok(1),
                Some("unbounded") => Ok(usize::MAX),
                Some(n) => n.parse().map_err(|_| unknown(element)),
            }
        };
        let (least, most) = (number("minOccurs")?, number("maxOccurs")?);
        let kind = match element.name.as_str() {
            "xs:element" => {
                ParticleKind::Element(value(element, "name")?.to_owned(), self.kind_of(element)?)
            }
            "xs:sequence" | "xs:choice" => {
                let all = parts(element)
                    .map(|child| self.particle(child))
                    .collect::<Result<_, _>>()?;
                if element.name == "xs:sequence" {
                    ParticleKind::Sequence(all)
                } else {
                    ParticleKind::Choice(all)
                }
            }
            _ => return Err(unknown(element)),
        };
        Ok(Particle { kind, least, most })
    }

    /// The name of an element's type; one that stands in it gets a name of its own.
    fn kind_of(&mut self, element: &Element) -> Result<String, String> {
        if let Some(named) = element.get("type") {
            return Ok(named.value.clone());
        }
        let inner = element
            .one("xs:complexType")
            .ok_or_else(|| unknown(element))?;
        let complex = self.complex(inner)?;
        self.inner += 1;
        let name = format!("#{}", self.inner);
        self.complex.insert(name.clone(), complex);
        Ok(name)
    }

    /// All types that are named are there.
    fn is_whole(&self) -> Result<(), String> {
        let mut named = vec![self.root.1.as_str()];
        for complex in self.complex.values() {
            for attribute in &complex.attributes {
                if attribute.simple != TEXT && !self.simple.contains_key(&attribute.simple) {
                    return Err(format!("there is no type {}", attribute.simple));
                }
            }
            let mut open: Vec<&Particle> = match &complex.content {
                Content::Elements(particle) => vec![particle],
                _ => Vec::new(),
            };
            while let Some(particle) = open.pop() {
                match &particle.kind {
                    ParticleKind::Element(_, kind) => named.push(kind),
                    ParticleKind::Sequence(all) | ParticleKind::Choice(all) => open.extend(all),
                }
            }
        }
        match named
            .into_iter()
            .find(|kind| !self.complex.contains_key(*kind))
        {
            Some(kind) => Err(format!("there is no type {kind}")),
            None => Ok(()),
        }
    }

    /// Elements and attributes that the schema knows, as `element` and `element/attribute`.
    pub fn words(&self) -> Vec<String> {
        let mut words = Vec::new();
        let mut open = vec![(self.root.0.clone(), self.root.1.clone())];
        while let Some((element, kind)) = open.pop() {
            if words.contains(&element) {
                continue;
            }
            let Some(complex) = self.complex.get(&kind) else {
                continue;
            };
            words.extend(
                complex
                    .attributes
                    .iter()
                    .map(|a| format!("{element}/{}", a.name)),
            );
            words.push(element);
            let mut particles: Vec<&Particle> = match &complex.content {
                Content::Elements(particle) => vec![particle],
                _ => Vec::new(),
            };
            while let Some(particle) = particles.pop() {
                match &particle.kind {
                    ParticleKind::Element(name, kind) => open.push((name.clone(), kind.clone())),
                    ParticleKind::Sequence(all) | ParticleKind::Choice(all) => {
                        particles.extend(all)
                    }
                }
            }
        }
        words.sort();
        words
    }

    // ---- Checking ----

    /// Checks a file; gives all that is wrong.
    pub fn check(&self, root: &Element) -> Vec<Complaint> {
        let mut found = Vec::new();
        if root.name != self.root.0 {
            found.push(complaint(
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

    fn element(&self, element: &Element, kind: &str, path: &str, found: &mut Vec<Complaint>) {
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
            found.push(complaint(
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
                    found.push(complaint(
                        odd.at,
                        path,
                        what,
                        format!("in this order: {known}"),
                    ));
                }
            }
            _ => {
                if let Some(odd) = element.children.first() {
                    found.push(complaint(
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
        found: &mut Vec<Complaint>,
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
                    found.push(complaint(
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
            found.push(complaint(
                element.at,
                path,
                format!("attribute '{}' is missing", kind.name),
                self.told(&kind.simple),
            ));
        }
    }

    fn told(&self, simple: &str) -> String {
        match self.simple.get(simple) {
            Some(simple) if !simple.words.is_empty() => {
                format!("one of {}", simple.words.join(", "))
            }
            Some(simple) if !simple.told.is_empty() => simple.told.clone(),
            Some(Simple {
                most: Some(most), ..
            }) => format!("a text of at most {most} bytes"),
            _ => "a text".into(),
        }
    }

    fn simple_text(&self, simple: &str, text: &Text, field: &str) -> Option<Complaint> {
        let kind = self.simple.get(simple)?;
        let fits = kind.pattern.as_ref().is_none_or(|p| p.matches(&text.value))
            && kind.most.is_none_or(|most| text.value.len() <= most)
            && (kind.words.is_empty() || kind.words.contains(&text.value));
        let what = || format!("{:?} does not fit", text.value);
        (!fits).then(|| complaint(text.place(0), field, what(), self.told(simple)))
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
        found: &mut Vec<Complaint>,
    ) {
        let mut times = 0;
        while times < particle.most && self.once(particle, of, next, path, found) {
            times += 1;
        }
        if times >= particle.least || Self::may_be_empty(particle) {
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
        found.push(complaint(
            at,
            path,
            format!("{names} is missing"),
            names.clone(),
        ));
    }

    fn may_be_empty(particle: &Particle) -> bool {
        particle.least == 0
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
        found: &mut Vec<Complaint>,
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

fn complaint(
    at: usize,
    field: &str,
    what: impl Into<String>,
    expected: impl Into<String>,
) -> Complaint {
    Complaint {
        place: Place::At(at),
        field: field.to_owned(),
        what: what.into(),
        expected: expected.into(),
    }
}
