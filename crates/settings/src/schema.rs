//! Validation of XML files against the subset of XML Schema that the schemas of this program use:
//! elements with named or anonymous types, sequence and choice with occurrence bounds, attributes,
//! simple types with pattern, enumeration and maximum length, and simple content. Reading a schema
//! that uses anything else fails, so that no part of a schema is ignored.

mod check;
mod parse;

use crate::Diagnostic;
use madderpoint_rules::pattern::Pattern;
use std::collections::BTreeMap;

/// An error that makes a schema unusable.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SchemaError {
    /// The schema is not well-formed XML.
    #[error("schema cannot be read: {}; expected {}", .0.found, .0.expected)]
    Xml(Diagnostic),
    /// The root element is not `xs:schema`.
    #[error("the root element of the schema is not xs:schema")]
    NoSchema,
    /// The schema uses an unsupported element, or uses an element in an unsupported way.
    #[error("the schema uses {element} in a way that is not supported")]
    Unsupported {
        /// Name of the unsupported element.
        element: String,
    },
    /// A required attribute is missing.
    #[error("{element} in the schema has no attribute '{attribute}'")]
    MissingAttribute {
        /// Name of the element that lacks the attribute.
        element: String,
        /// Name of the missing attribute.
        attribute: String,
    },
    /// A pattern cannot be compiled.
    #[error("pattern {pattern:?} cannot be compiled: {reason}")]
    Pattern {
        /// Pattern as it stands in the schema.
        pattern: String,
        /// Error of the pattern compiler.
        reason: String,
    },
    /// The schema refers to a type that it does not define.
    #[error("type '{0}' is not defined in the schema")]
    UnknownType(String),
}

/// A simple type: the facets that a text must satisfy. An absent facet allows any text.
#[derive(Debug, Default)]
struct Simple {
    pattern: Option<Pattern>,
    /// Values of an enumeration; any value if empty.
    values: Vec<String>,
    /// Maximum length, in bytes.
    bytes_max: Option<usize>,
    /// Description of the type that diagnostics show, from its documentation in the schema.
    description: String,
}

/// An attribute with the name of its simple type.
#[derive(Debug)]
struct AttributeType {
    name: String,
    simple: String,
    required: bool,
}

/// The content that an element may have.
#[derive(Debug)]
enum Content {
    Nothing,
    Text,
    Elements(Particle),
}

/// A complex type: the attributes and the content of an element.
#[derive(Debug)]
struct Complex {
    attributes: Vec<AttributeType>,
    content: Content,
}

/// A particle of a content model with its occurrence bounds.
#[derive(Debug)]
struct Particle {
    kind: ParticleKind,
    min_occurs: usize,
    max_occurs: usize,
}

#[derive(Debug)]
enum ParticleKind {
    /// Name of the element and name of its complex type.
    Element(String, String),
    Sequence(Vec<Particle>),
    Choice(Vec<Particle>),
}

/// A schema that files can be validated against.
#[derive(Debug, Default)]
pub struct Schema {
    simple: BTreeMap<String, Simple>,
    complex: BTreeMap<String, Complex>,
    /// Name of the root element and name of its complex type.
    root: (String, String),
    /// Number of anonymous complex types, which are named by consecutive numbers.
    unnamed: usize,
}

/// Name of the built-in type that allows any text.
const TEXT: &str = "xs:string";

impl Schema {
    /// Returns the names of all elements and attributes of the schema, as `element` and
    /// `element/attribute`, sorted.
    pub fn words(&self) -> Vec<String> {
        let mut words = Vec::new();
        let mut pending = vec![(self.root.0.clone(), self.root.1.clone())];
        while let Some((element, kind)) = pending.pop() {
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
                    ParticleKind::Element(name, kind) => pending.push((name.clone(), kind.clone())),
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
