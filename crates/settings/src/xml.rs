//! Reads XML into a tree in which each name and text has its offset in the file. Only the five
//! predefined entities of XML and character references are supported. A document type declaration
//! is rejected, which rules out entities that expand to large texts.

use crate::{Diagnostic, Location};
use quick_xml::Reader;
use quick_xml::escape::resolve_predefined_entity;
use quick_xml::events::{BytesStart, Event};

/// Maximum nesting depth of elements.
const DEPTH_MAX: usize = 16;
/// Maximum number of elements in a file.
const ELEMENTS_MAX: usize = 400_000;

/// A text with the offsets of its parts in the file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Text {
    /// Text with entities resolved.
    pub value: String,
    /// Start of each part: offsets in `value` and in the file, in bytes.
    parts: Vec<(usize, usize)>,
}

impl Text {
    fn push(&mut self, value: &str, at: usize) {
        if !value.is_empty() {
            self.parts.push((self.value.len(), at));
            self.value.push_str(value);
        }
    }

    /// Returns the offset in the file of a byte of `value`.
    pub fn place(&self, byte: usize) -> usize {
        let after = self.parts.partition_point(|(start, _)| *start <= byte);
        let part = self.parts[..after].last().or(self.parts.first());
        part.map_or(0, |(start, at)| at + byte.saturating_sub(*start))
    }
}

/// An attribute of an element.
#[derive(Clone, Debug, PartialEq)]
pub struct Attribute {
    /// Name of the attribute.
    pub name: String,
    /// Offset of the name in the file, in bytes.
    pub at: usize,
    /// Value of the attribute, with entities resolved.
    pub value: Text,
}

/// An element with its attributes, children and text.
#[derive(Clone, Debug, PartialEq)]
pub struct Element {
    /// Name of the element.
    pub name: String,
    /// Offset of the name in the file, in bytes.
    pub at: usize,
    /// Attributes in the order of the file.
    pub attributes: Vec<Attribute>,
    /// Child elements in the order of the file.
    pub children: Vec<Element>,
    /// Text of the element without the text of its children.
    pub text: Text,
}

impl Element {
    /// Returns the value of an attribute; `None` if the element does not have the attribute.
    pub fn get(&self, name: &str) -> Option<&Text> {
        self.attributes
            .iter()
            .find(|a| a.name == name)
            .map(|a| &a.value)
    }

    /// Returns the child elements with a name.
    pub fn all<'e>(&'e self, name: &'e str) -> impl Iterator<Item = &'e Element> {
        self.children.iter().filter(move |child| child.name == name)
    }

    /// Returns the first child element with a name.
    pub fn one(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|child| child.name == name)
    }
}

/// The tree under construction: the elements that are not closed yet, and the root once closed.
struct Tree<'t> {
    text: &'t str,
    open: Vec<Element>,
    root: Option<Element>,
    elements: usize,
}

/// Returns the offset in `text` of its slice `piece`.
fn offset(text: &str, piece: &str) -> usize {
    (piece.as_ptr() as usize)
        .saturating_sub(text.as_ptr() as usize)
        .min(text.len())
}

fn diagnostic(at: usize, what: impl Into<String>, expected: impl Into<String>) -> Diagnostic {
    Diagnostic::new(Location::At(at), "", what, expected)
}

/// Appends the raw text at the offset `at` to `into`, with its entities resolved.
fn push_unescaped(raw: &str, at: usize, into: &mut Text) -> Result<(), Diagnostic> {
    let mut rest = raw;
    let mut place = at;
    while let Some(mark) = rest.find('&') {
        into.push(&rest[..mark], place);
        let tail = &rest[mark + 1..];
        let end = tail
            .find(';')
            .ok_or_else(|| diagnostic(place + mark, "'&' without a ';' after it", "&amp;"))?;
        push_reference(&tail[..end], place + mark, into)?;
        place += mark + end + 2;
        rest = &tail[end + 1..];
    }
    into.push(rest, place);
    Ok(())
}

/// Appends the character of a character reference or of a predefined entity.
fn push_reference(name: &str, at: usize, into: &mut Text) -> Result<(), Diagnostic> {
    let code = match name.strip_prefix('#') {
        Some(hex) if hex.starts_with('x') => u32::from_str_radix(&hex[1..], 16).ok(),
        Some(number) => number.parse().ok(),
        None => {
            let known = resolve_predefined_entity(name);
            let known = known.ok_or_else(|| {
                diagnostic(
                    at,
                    format!("unknown entity '&{name};'"),
                    "one of &amp; &lt; &gt; &quot; &apos;",
                )
            })?;
            into.push(known, at);
            return Ok(());
        }
    };
    let c = code.and_then(char::from_u32).filter(|c| *c != '\0');
    let c = c.ok_or_else(|| {
        diagnostic(
            at,
            format!("'&{name};' is not a valid character reference"),
            "such as &#10;",
        )
    })?;
    into.push(c.encode_utf8(&mut [0; 4]), at);
    Ok(())
}

impl Tree<'_> {
    fn start(&mut self, tag: &BytesStart<'_>) -> Result<Element, Diagnostic> {
        let at = offset(self.text, tag);
        self.elements += 1;
        if self.open.len() >= DEPTH_MAX || self.elements > ELEMENTS_MAX {
            return Err(diagnostic(
                at,
                "too many elements, or elements nested too deep",
                format!("at most {ELEMENTS_MAX} elements and {DEPTH_MAX} levels"),
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
                diagnostic(at, format!("attribute is not valid: {e}"), "name=\"value\"")
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

    /// Adds an event of the file to the tree. Returns false at the end of the file.
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
                return Err(diagnostic(
                    offset(text, &piece),
                    "a document type declaration",
                    "no declaration, because entities cannot be defined",
                ));
            }
            Event::Eof => return Ok(false),
            Event::Comment(_) | Event::Decl(_) | Event::PI(_) => {}
        }
        Ok(true)
    }

    /// Starts an element. A second root element is an error.
    fn start_single(&mut self, tag: &BytesStart<'_>) -> Result<Element, Diagnostic> {
        let element = self.start(tag)?;
        if self.root.is_some() && self.open.is_empty() {
            return Err(diagnostic(
                element.at,
                "a second root element",
                "one root element",
            ));
        }
        Ok(element)
    }

    fn end(&mut self, element: Element) {
        match self.open.last_mut() {
            Some(parent) => parent.children.push(element),
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
                    Err(diagnostic(at, "text outside the root element", "no text"))
                }
            }
        }
    }
}

/// Reads the text of a file and returns its root element.
///
/// # Errors
///
/// The first place at which the text is not well-formed XML or exceeds a bound of this module.
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
            diagnostic(at, format!("not well-formed XML: {e}"), "well-formed XML")
        })?;
        if !tree.event(event)? {
            break;
        }
    }
    if let Some(open) = tree.open.pop() {
        return Err(diagnostic(
            open.at,
            format!("<{}> is not closed", open.name),
            format!("</{}>", open.name),
        ));
    }
    tree.root
        .ok_or_else(|| diagnostic(0, "no root element", "<translator>"))
}
