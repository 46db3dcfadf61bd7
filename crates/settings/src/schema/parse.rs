//! Reads schemas from XML.

use super::{
    AttributeType, Complex, Content, Particle, ParticleKind, Schema, SchemaError, Simple, TEXT,
};
use crate::xml::{self, Element};
use madderpoint_rules::pattern::Pattern;

fn unsupported(element: &Element) -> SchemaError {
    SchemaError::Unsupported {
        element: element.name.clone(),
    }
}

fn value<'e>(element: &'e Element, name: &str) -> Result<&'e str, SchemaError> {
    element
        .get(name)
        .map(|t| t.value.as_str())
        .ok_or_else(|| SchemaError::MissingAttribute {
            element: element.name.clone(),
            attribute: name.to_owned(),
        })
}

fn declarations(element: &Element) -> impl Iterator<Item = &Element> {
    element
        .children
        .iter()
        .filter(|child| child.name != "xs:annotation")
}

impl Schema {
    /// Reads the text of a schema.
    ///
    /// # Errors
    ///
    /// The text is not well-formed XML, uses an unsupported part of XML Schema, or refers to a type
    /// that it does not define.
    pub fn read(text: &str) -> Result<Schema, SchemaError> {
        let root = xml::read(text).map_err(SchemaError::Xml)?;
        if root.name != "xs:schema" {
            return Err(SchemaError::NoSchema);
        }
        let mut schema = Schema::default();
        for child in declarations(&root) {
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
                _ => return Err(unsupported(child)),
            }
        }
        schema.check_types()?;
        Ok(schema)
    }

    fn simple(element: &Element) -> Result<Simple, SchemaError> {
        let mut simple = Simple::default();
        if let Some(documentation) = element
            .one("xs:annotation")
            .and_then(|a| a.one("xs:documentation"))
        {
            simple.description = documentation.text.value.trim().to_owned();
        }
        for restriction in declarations(element) {
            if restriction.name != "xs:restriction" || value(restriction, "base")? != TEXT {
                return Err(unsupported(restriction));
            }
            for facet in declarations(restriction) {
                let value = value(facet, "value")?;
                match facet.name.as_str() {
                    "xs:pattern" => {
                        // A pattern of XML Schema applies to the whole text.
                        let pattern = Pattern::new(&format!("^(?:{value})$")).map_err(|error| {
                            SchemaError::Pattern {
                                pattern: value.to_owned(),
                                reason: error.found,
                            }
                        })?;
                        simple.pattern = Some(pattern);
                    }
                    "xs:enumeration" => simple.values.push(value.to_owned()),
                    "xs:maxLength" => {
                        simple.bytes_max = Some(value.parse().map_err(|_| unsupported(facet))?)
                    }
                    _ => return Err(unsupported(facet)),
                }
            }
        }
        Ok(simple)
    }

    fn attributes(owner: &Element) -> Result<Vec<AttributeType>, SchemaError> {
        let attributes = declarations(owner).filter(|child| child.name == "xs:attribute");
        let read = |attribute: &Element| -> Result<AttributeType, SchemaError> {
            let required = attribute.get("use").is_some_and(|u| u.value == "required");
            let (name, simple) = (
                value(attribute, "name")?.to_owned(),
                value(attribute, "type")?.to_owned(),
            );
            Ok(AttributeType {
                name,
                simple,
                required,
            })
        };
        attributes.map(read).collect()
    }

    fn complex(&mut self, element: &Element) -> Result<Complex, SchemaError> {
        let (mut attributes, mut content) = (Self::attributes(element)?, Content::Nothing);
        for child in declarations(element).filter(|child| child.name != "xs:attribute") {
            match child.name.as_str() {
                "xs:sequence" | "xs:choice" => content = Content::Elements(self.particle(child)?),
                "xs:simpleContent" => {
                    let extension = child
                        .one("xs:extension")
                        .ok_or_else(|| unsupported(child))?;
                    if value(extension, "base")? != TEXT {
                        return Err(unsupported(extension));
                    }
                    attributes = Self::attributes(extension)?;
                    content = Content::Text;
                }
                _ => return Err(unsupported(child)),
            }
        }
        Ok(Complex {
            attributes,
            content,
        })
    }

    fn particle(&mut self, element: &Element) -> Result<Particle, SchemaError> {
        let number = |name: &str| -> Result<usize, SchemaError> {
            match element.get(name).map(|t| t.value.as_str()) {
                None => Ok(1),
                Some("unbounded") => Ok(usize::MAX),
                Some(n) => n.parse().map_err(|_| unsupported(element)),
            }
        };
        let (min_occurs, max_occurs) = (number("minOccurs")?, number("maxOccurs")?);
        let kind = match element.name.as_str() {
            "xs:element" => {
                ParticleKind::Element(value(element, "name")?.to_owned(), self.kind_of(element)?)
            }
            "xs:sequence" | "xs:choice" => {
                let all = declarations(element)
                    .map(|child| self.particle(child))
                    .collect::<Result<_, _>>()?;
                if element.name == "xs:sequence" {
                    ParticleKind::Sequence(all)
                } else {
                    ParticleKind::Choice(all)
                }
            }
            _ => return Err(unsupported(element)),
        };
        Ok(Particle {
            kind,
            min_occurs,
            max_occurs,
        })
    }

    /// Returns the name of an element's type; an anonymous type is named by a number.
    fn kind_of(&mut self, element: &Element) -> Result<String, SchemaError> {
        if let Some(named) = element.get("type") {
            return Ok(named.value.clone());
        }
        let inner = element
            .one("xs:complexType")
            .ok_or_else(|| unsupported(element))?;
        let complex = self.complex(inner)?;
        self.unnamed += 1;
        let name = format!("#{}", self.unnamed);
        self.complex.insert(name.clone(), complex);
        Ok(name)
    }

    /// Checks that all types that the schema refers to are defined.
    fn check_types(&self) -> Result<(), SchemaError> {
        let mut named = vec![self.root.1.as_str()];
        for complex in self.complex.values() {
            for attribute in &complex.attributes {
                if attribute.simple != TEXT && !self.simple.contains_key(&attribute.simple) {
                    return Err(SchemaError::UnknownType(attribute.simple.clone()));
                }
            }
            let mut pending: Vec<&Particle> = match &complex.content {
                Content::Elements(particle) => vec![particle],
                _ => Vec::new(),
            };
            while let Some(particle) = pending.pop() {
                match &particle.kind {
                    ParticleKind::Element(_, kind) => named.push(kind),
                    ParticleKind::Sequence(all) | ParticleKind::Choice(all) => pending.extend(all),
                }
            }
        }
        match named
            .into_iter()
            .find(|kind| !self.complex.contains_key(*kind))
        {
            Some(kind) => Err(SchemaError::UnknownType(kind.to_owned())),
            None => Ok(()),
        }
    }
}
