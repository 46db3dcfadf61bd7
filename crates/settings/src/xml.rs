//! XML to a tree in which all that was written knows its place. Entities are the five of XML and
//! character references; a document type is refused, and with it entities that grow.

use crate::{Complaint, Place};
use quick_xml::Reader;
use quick_xml::escape::resolve_predefined_entity;
use quick_xml::events::{BytesStart, Event};

/// How deep elements may stand in each other.
const DEPTH_MAX: usize = 16;
/// How many there may be.
const ELEMENTS_MAX: usize = 400_000;

/// Text, and where each part of it stands in the file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Text {
    /// What it says, entities resolved.
    pub value: String,
    /// Where parts begin: in the value, and in the file.
    parts: Vec<(usize, usize)>,
}

impl Text {
    fn push(&mut self, value: &str, at: usize) {
        if !value.is_empty() {
            self.parts.push((self.value.len(), at));
            self.value.push_str(value);
        }
    }

    /// Where in the file this byte of the value stands.
    pub fn place(&self, byte: usize) -> usize {
        let after = self.parts.partition_point(|(start, _)| *start <= byte);
        let part = self.parts[..after].last().or(self.parts.first());
        part.map_or(0, |(start, at)| at + byte.saturating_sub(*start))
    }
}

/// An attribute.
#[derive(Clone, Debug, PartialEq)]
pub struct Attribute {
    /// Its name.
    pub name: String,
    /// Where the name stands.
    pub at: usize,
    /// Its value.
    pub value: Text,
}

/// An element.
#[derive(Clone, Debug, PartialEq)]
pub struct Element {
    /// Its name.
    pub name: String,
    /// Where its name stands.
    pub at: usize,
    /// Its attributes.
    pub attributes: Vec<Attribute>,
    /// Elements in it.
    pub children: Vec<Element>,
    /// Text in it, that of its children left out.
    pub text: Text,
}

impl Element {
    /// An attribute's text.
    pub fn get(&self, name: &str) -> Option<&Text> {
        self.attributes
            .iter()
            .find(|a| a.name == name)
            .map(|a| &a.value)
    }

    /// The elements in it that have this name.
    pub fn all<'e>(&'e self, name: &'e str) -> impl Iterator<Item = &'e Element> {
        self.children.iter().filter(move |child| child.name == name)
    }

    /// The first element in it that has this name.
    pub fn one(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|child| child.name == name)
    }
}

struct Tree<'t> {
    text: &'t str,
    open: Vec<Element>,
    root: Option<Element>,
    elements: usize,
}

/// Where a piece of the text that was handed out stands in it.
fn offset(text: &str, piece: &str) -> usize {
    (piece.as_ptr() as usize)
        .saturating_sub(text.as_ptr() as usize)
        .min(text.len())
}

fn wrong(at: usize, what: impl Into<String>, expected: impl Into<String>) -> Complaint {
    Complaint {
        place: Place::At(at),
        field: String::new(),
        what: what.into(),
        expected: expected.into(),
    }
}

/// Text with entities, which stands at this place.
fn unescaped(raw: &str, at: usize, into: &mut Text) -> Result<(), Complaint> {
    let mut rest = raw;
    let mut place = at;
    while let Some(mark) = rest.find('&') {
        into.push(&rest[..mark], place);
        let tail = &rest[mark + 1..];
        let end = tail
            .find(';')
            .ok_or_else(|| wrong(place + mark, "'&' without an entity", "&amp;"))?;
        reference(&tail[..end], place + mark, into)?;
        place += mark + end + 2;
        rest = &tail[end + 1..];
    }
    into.push(rest, place);
    Ok(())
}

fn reference(name: &str, at: usize, into: &mut Text) -> Result<(), Complaint> {
    let code = match name.strip_prefix('#') {
        Some(hex) if hex.starts_with('x') => u32::from_str_radix(&hex[1..], 16).ok(),
        Some(number) => number.parse().ok(),
        None => {
            let known = resolve_predefined_entity(name);
            let known = known.ok_or_else(|| {
                wrong(
                    at,
                    format!("unknown entity '&{name};'"),
                    "one of XML's five",
                )
            })?;
            into.push(known, at);
            return Ok(());
        }
    };
    let c = code.and_then(char::from_u32).filter(|c| *c != '\0');
    let c = c.ok_or_else(|| wrong(at, format!("'&{name};' is no character"), "such as &#10;"))?;
    into.push(c.encode_utf8(&mut [0; 4]), at);
    Ok(())
}

impl Tree<'_> {
    fn start(&mut self, tag: &BytesStart<'_>) -> Result<Element, Complaint> {
        let at = offset(self.text, tag);
        self.elements += 1;
        if self.open.len() >= DEPTH_MAX || self.elements > ELEMENTS_MAX {
            return Err(wrong(
                at,
                "too many elements, or too deep in each other",
                format!("at most {DEPTH_MAX} levels"),
            ));
        }
        let name = tag.name().into_inner().to_owned();
        let mut element = Element {
            name,
            at,
            attributes: Vec::new(),
            children: Vec::new(),
            text: Text::default(),
        };
        for attribute in tag.attributes() {
            let attribute = attribute.map_err(|e| {
                wrong(
                    at,
                    format!("an attribute can't be read: {e}"),
                    "name=\"value\"",
                )
            })?;
            let key = attribute.key.into_inner();
            let mut value = Text::default();
            let value_at = offset(self.text, &attribute.value);
            unescaped(&attribute.value, value_at, &mut value)?;
            if value.value.is_empty() {
                value.parts.push((0, value_at));
            }
            let name = key.to_owned();
            element.attributes.push(Attribute {
                name,
                at: offset(self.text, key),
                value,
            });
        }
        Ok(element)
    }

    fn end(&mut self, element: Element) {
        match self.open.last_mut() {
            Some(above) => above.children.push(element),
            None => self.root = Some(element),
        }
    }

    fn content(
        &mut self,
        at: usize,
        add: impl FnOnce(&mut Text) -> Result<(), Complaint>,
    ) -> Result<(), Complaint> {
        match self.open.last_mut() {
            Some(element) => add(&mut element.text),
            None => {
                let mut outside = Text::default();
                add(&mut outside)?;
                let blank = outside.value.trim().is_empty();
                if blank {
                    Ok(())
                } else {
                    Err(wrong(at, "text outside the elements", "nothing"))
                }
            }
        }
    }
}

/// Reads a file's text.
pub fn read(text: &str) -> Result<Element, Complaint> {
    let mut reader = Reader::from_str(text);
    let mut tree = Tree {
        text,
        open: Vec::new(),
        root: None,
        elements: 0,
    };
    loop {
        let event = reader.read_event().map_err(|e| {
            let at = usize::try_from(reader.error_position())
                .unwrap_or(0)
                .min(text.len());
            wrong(at, format!("no XML: {e}"), "well-formed XML")
        })?;
        match event {
            Event::Start(tag) => {
                let element = tree.start(&tag)?;
                if tree.root.is_some() && tree.open.is_empty() {
                    return Err(wrong(element.at, "a second element at the top", "one"));
                }
                tree.open.push(element);
            }
            Event::Empty(tag) => {
                let element = tree.start(&tag)?;
                if tree.root.is_some() && tree.open.is_empty() {
                    return Err(wrong(element.at, "a second element at the top", "one"));
                }
                tree.end(element);
            }
            Event::End(_) => {
                if let Some(element) = tree.open.pop() {
                    tree.end(element);
                }
            }
            Event::Text(piece) => {
                let at = offset(text, &piece);
                tree.content(at, |into| unescaped(&piece, at, into))?;
            }
            Event::GeneralRef(piece) => {
                let at = offset(text, &piece).saturating_sub(1);
                tree.content(at, |into| reference(&piece, at, into))?;
            }
            Event::CData(piece) => {
                let at = offset(text, &piece);
                tree.content(at, |into| {
                    into.push(&piece, at);
                    Ok(())
                })?;
            }
            Event::DocType(piece) => {
                return Err(wrong(
                    offset(text, &piece),
                    "a document type",
                    "none: entities are not defined here",
                ));
            }
            Event::Eof => break,
            Event::Comment(_) | Event::Decl(_) | Event::PI(_) => {}
        }
    }
    if let Some(open) = tree.open.pop() {
        return Err(wrong(
            open.at,
            format!("<{}> is not closed", open.name),
            format!("</{}>", open.name),
        ));
    }
    tree.root
        .ok_or_else(|| wrong(0, "no element", "<translator>"))
}
