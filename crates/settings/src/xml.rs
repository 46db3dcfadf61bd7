//! Reads XML to a tree in which each name and text knows its offset in the file. Entities are the
//! five of XML and character references; a document type is refused, and with it entities that
//! expand.

use crate::{Diagnostic, Location};
use quick_xml::Reader;
use quick_xml::escape::resolve_predefined_entity;
use quick_xml::events::{BytesStart, Event};

/// The deepest nesting of elements.
const DEPTH_MAX: usize = 16;
/// The most elements of a file.
const ELEMENTS_MAX: usize = 400_000;

/// A text, with the offset in the file of each part of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Text {
    /// The text, with entities resolved.
    pub value: String,
    /// Where parts begin: offsets in the value and in the file.
    parts: Vec<(usize, usize)>,
}

impl Text {
    fn push(&mut self, value: &str, at: usize) {
        if !value.is_empty() {
            self.parts.push((self.value.len(), at));
            self.value.push_str(value);
        }
    }

    /// The offset in the file of this byte of the value.
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
    /// The offset of the name in the file.
    pub at: usize,
    /// Its value.
    pub value: Text,
}

/// An element.
#[derive(Clone, Debug, PartialEq)]
pub struct Element {
    /// Its name.
    pub name: String,
    /// The offset of its name in the file.
    pub at: usize,
    /// Its attributes.
    pub attributes: Vec<Attribute>,
    /// The elements in it.
    pub children: Vec<Element>,
    /// The text in it, without that of its children.
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

/// The elements that are open while the events of a file are read.
struct Tree<'t> {
    text: &'t str,
    open: Vec<Element>,
    root: Option<Element>,
    elements: usize,
}

/// The offset in a text of a slice of it.
fn offset(text: &str, piece: &str) -> usize {
    (piece.as_ptr() as usize)
        .saturating_sub(text.as_ptr() as usize)
        .min(text.len())
}

fn wrong(at: usize, what: impl Into<String>, expected: impl Into<String>) -> Diagnostic {
    Diagnostic::new(Location::At(at), "", what, expected)
}

/// Adds a text at this offset, with its entities resolved.
fn push_unescaped(raw: &str, at: usize, into: &mut Text) -> Result<(), Diagnostic> {
    let mut rest = raw;
    let mut place = at;
    while let Some(mark) = rest.find('&') {
        into.push(&rest[..mark], place);
        let tail = &rest[mark + 1..];
        let end = tail
            .find(';')
            .ok_or_else(|| wrong(place + mark, "'&' without an entity", "&amp;"))?;
        push_reference(&tail[..end], place + mark, into)?;
        place += mark + end + 2;
        rest = &tail[end + 1..];
    }
    into.push(rest, place);
    Ok(())
}

/// Adds the character that a reference or one of the five entities stands for.
fn push_reference(name: &str, at: usize, into: &mut Text) -> Result<(), Diagnostic> {
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
    fn start(&mut self, tag: &BytesStart<'_>) -> Result<Element, Diagnostic> {
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
            push_unescaped(&attribute.value, value_at, &mut value)?;
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

    /// Takes an event of the file; false at its end.
    fn event(&mut self, event: Event<'_>) -> Result<bool, Diagnostic> {
        let text = self.text;
        match event {
            Event::Start(tag) => {
                let element = self.start_single(&tag)?;
                self.open.push(element);
            }
            Event::Empty(tag) => {
                let element = self.start_single(&tag)?;
                self.end(element);
            }
            Event::End(_) => {
                if let Some(element) = self.open.pop() {
                    self.end(element);
                }
            }
            Event::Text(piece) => {
                let at = offset(text, &piece);
                self.content(at, |into| push_unescaped(&piece, at, into))?;
            }
            Event::GeneralRef(piece) => {
                let at = offset(text, &piece).saturating_sub(1);
                self.content(at, |into| push_reference(&piece, at, into))?;
            }
            Event::CData(piece) => {
                let at = offset(text, &piece);
                self.content(at, |into| {
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
            Event::Eof => return Ok(false),
            Event::Comment(_) | Event::Decl(_) | Event::PI(_) => {}
        }
        Ok(true)
    }

    /// Starts an element; a second one at the top is refused.
    fn start_single(&mut self, tag: &BytesStart<'_>) -> Result<Element, Diagnostic> {
        let element = self.start(tag)?;
        if self.root.is_some() && self.open.is_empty() {
            return Err(wrong(element.at, "a second element at the top", "one"));
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
        add: impl FnOnce(&mut Text) -> Result<(), Diagnostic>,
    ) -> Result<(), Diagnostic> {
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

/// Reads a file's text to its root element.
///
/// # Errors
///
/// The first thing that is no XML, or more than is allowed of it.
pub fn read(text: &str) -> Result<Element, Diagnostic> {
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
        if !tree.event(event)? {
            break;
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
