//! A checker by XML Schema, for the part of it that this program's schemas use: elements with named
//! or inner types, sequence and choice with their occurrences, attributes, simple types by pattern,
//! enumeration and length, simple content. A schema that uses anything else is refused when it is
//! read, so that nothing in it is ignored.

mod check;
mod parse;

use crate::Diagnostic;
use madderpoint_rules::pattern::Pattern;
use std::collections::BTreeMap;

/// Why a schema can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SchemaError {
    /// It is no XML.
    #[error("{}; expected {}", .0.found, .0.expected)]
    Xml(Diagnostic),
    /// The root element is no `xs:schema`.
    #[error("no xs:schema")]
    NoSchema,
    /// It uses an element in a way that is not supported here.
    #[error("the schema uses {element} in a way that is not known here")]
    Unsupported {
        /// The element.
        element: String,
    },
    /// An element lacks an attribute.
    #[error("{element} without {attribute}")]
    MissingAttribute {
        /// The element.
        element: String,
        /// The attribute.
        attribute: String,
    },
    /// A pattern can't be compiled.
    #[error("{pattern}: {reason}")]
    Pattern {
        /// The pattern.
        pattern: String,
        /// Why not.
        reason: String,
    },
    /// It names a type that it does not define.
    #[error("there is no type {0}")]
    UnknownType(String),
}

/// What a text must be; a facet that is absent allows anything.
#[derive(Debug, Default)]
struct Simple {
    pattern: Option<Pattern>,
    /// The values of an enumeration.
    values: Vec<String>,
    /// The most bytes.
    bytes_max: Option<usize>,
    /// How a diagnostic describes it.
    description: String,
}

/// An attribute, and the name of its simple type.
#[derive(Debug)]
struct AttributeType {
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

/// The type of an element: its attributes and what may stand in it.
#[derive(Debug)]
struct Complex {
    attributes: Vec<AttributeType>,
    content: Content,
}

/// A particle of a content model, with how often it may occur.
#[derive(Debug)]
struct Particle {
    kind: ParticleKind,
    min_occurs: usize,
    max_occurs: usize,
}

#[derive(Debug)]
enum ParticleKind {
    /// A name and the name of its type.
    Element(String, String),
    Sequence(Vec<Particle>),
    Choice(Vec<Particle>),
}

/// A schema.
#[derive(Debug, Default)]
pub struct Schema {
    simple: BTreeMap<String, Simple>,
    complex: BTreeMap<String, Complex>,
    /// The name and the type of the root element.
    root: (String, String),
    /// Element types without a name, which are numbered.
    unnamed: usize,
}

/// The type of any text.
const TEXT: &str = "xs:string";

impl Schema {
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
}
