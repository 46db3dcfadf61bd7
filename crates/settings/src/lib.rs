//! Our own settings: one XML file, checked by the schema that the program holds, then by what it
//! means. All that is wrong is told at once, each with its line, column and field. No I/O: the text
//! is handed in.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod asked;
pub mod cases;
pub mod fleet;
pub mod rollout;
pub mod rulebook;
pub mod schema;
pub mod script;
pub mod xml;

pub use fleet::FleetSettings;
pub use rollout::RolloutSettings;
pub use rulebook::{Known, Rulebook};

use schema::Schema;
use std::fmt;

/// The schema, as it lies beside the settings in `deploy/`.
pub const SCHEMA: &str = include_str!("../../../deploy/translator.xsd");
/// The version of the settings that is understood.
pub const VERSION: &str = "1";
/// Complaints that are shown; a file that is wrong everywhere need not be told so without end.
const SHOWN: usize = 50;

/// Where something is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// At this byte of the file.
    At(usize),
    /// In so many bytes from there.
    Span(usize, usize),
    /// In the file as a whole.
    Whole,
}

/// Something wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Complaint {
    /// Where.
    pub place: Place,
    /// The field, as a path of elements and attributes.
    pub field: String,
    /// What was found.
    pub what: String,
    /// What was expected.
    pub expected: String,
}

/// Complaints about one file, to be shown.
#[derive(Clone, Debug)]
pub struct Complaints {
    file: String,
    text: String,
    /// All of them, in the order of the file.
    pub all: Vec<Complaint>,
}

impl Complaints {
    /// Complaints about a file of this name and text.
    pub fn new(file: &str, text: &str, mut all: Vec<Complaint>) -> Complaints {
        all.sort_by_key(|c| match c.place {
            Place::At(at) | Place::Span(at, _) => at + 1,
            Place::Whole => 0,
        });
        Complaints {
            file: file.to_owned(),
            text: text.to_owned(),
            all,
        }
    }

    /// Line and column of a byte, both from 1; columns count characters.
    fn position(&self, at: usize) -> (usize, usize, &str) {
        let mut at = at.min(self.text.len());
        while !self.text.is_char_boundary(at) {
            at -= 1;
        }
        let before = &self.text[..at];
        let start = before.rfind('\n').map_or(0, |n| n + 1);
        let line = self.text[start..].lines().next().unwrap_or("");
        (
            before.matches('\n').count() + 1,
            before[start..].chars().count() + 1,
            line,
        )
    }

    /// The first one on one line, for the log, and how many more there are.
    pub fn first(&self) -> String {
        let Some(first) = self.all.first() else {
            return self.file.clone();
        };
        let more = self.all.len() - 1;
        let head = self.head(first);
        if more > 0 {
            format!("{head} (and {more} more)")
        } else {
            head
        }
    }

    fn head(&self, complaint: &Complaint) -> String {
        let place = match complaint.place {
            Place::At(at) | Place::Span(at, _) => {
                let (line, column, _) = self.position(at);
                format!("{}:{line}:{column}", self.file)
            }
            Place::Whole => self.file.clone(),
        };
        let field = if complaint.field.is_empty() {
            String::new()
        } else {
            format!(" {}:", complaint.field)
        };
        format!(
            "{place}:{field} {}; expected {}",
            complaint.what, complaint.expected
        )
    }
}

impl fmt::Display for Complaints {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for complaint in self.all.iter().take(SHOWN) {
            writeln!(f, "{}", self.head(complaint))?;
            let (at, len) = match complaint.place {
                Place::At(at) => (at, 1),
                Place::Span(at, len) => (at, len),
                Place::Whole => continue,
            };
            let (_, column, line) = self.position(at);
            let under = line
                .chars()
                .count()
                .saturating_sub(column - 1)
                .min(len)
                .max(1);
            let blank: String = line
                .chars()
                .take(column - 1)
                .map(|c| if c == '\t' { '\t' } else { ' ' })
                .collect();
            writeln!(f, "  {line}\n  {blank}^{}", "~".repeat(under - 1))?;
        }
        match self.all.len().saturating_sub(SHOWN) {
            0 => Ok(()),
            more => writeln!(f, "{}: and {more} more", self.file),
        }
    }
}

/// All that a file sets.
#[derive(Debug)]
pub struct Translator {
    /// The rules, if it has any.
    pub rules: Option<Rulebook>,
    /// The fleet, if nodes keep a view of it.
    pub fleet: Option<FleetSettings>,
    /// How changes go out, if they go out in stages.
    pub rollout: Option<RolloutSettings>,
    /// The number that the file was given, and a hash of its text.
    pub number: (u64, u64),
}

/// Reads and checks a file's text.
pub fn read(file: &str, text: &str, known: &Known) -> Result<Translator, Complaints> {
    let complaints = |all| Complaints::new(file, text, all);
    if text.len() > known.file_bytes {
        let what = format!("the file has {} KiB", text.len() >> 10);
        let expected = format!(
            "at most {} KiB, which follows from the memory limit",
            known.file_bytes >> 10
        );
        return Err(complaints(vec![Complaint {
            place: Place::Whole,
            field: String::new(),
            what,
            expected,
        }]));
    }
    let root = xml::read(text).map_err(|e| complaints(vec![e]))?;
    let schema = Schema::read(SCHEMA).map_err(|e| {
        let field = "translator.xsd".to_owned();
        complaints(vec![Complaint {
            place: Place::Whole,
            field,
            what: e,
            expected: "a schema".into(),
        }])
    })?;
    let wrong = schema.check(&root);
    if !wrong.is_empty() {
        return Err(complaints(wrong));
    }
    if let Some(version) = root.get("version").filter(|v| v.value != VERSION) {
        let place = Place::At(version.place(0));
        let what = format!("version {}", version.value);
        let field = "translator/@version".to_owned();
        return Err(complaints(vec![Complaint {
            place,
            field,
            what,
            expected: VERSION.into(),
        }]));
    }
    let rules = match root.one("rules") {
        Some(element) => Some(Rulebook::read(element, known).map_err(complaints)?),
        None => None,
    };
    let fleet = match root.one("fleet") {
        Some(element) => Some(FleetSettings::read(element).map_err(complaints)?),
        None => None,
    };
    // A limit of the whole fleet needs one, and somebody who lends.
    let lends = fleet
        .as_ref()
        .is_some_and(|fleet| !fleet.arbiters.is_empty());
    if let Some((_, budget)) = rules.iter().flat_map(|rules| &rules.fleet).next()
        && !lends
    {
        let place = root
            .one("rules")
            .map_or(Place::Whole, |rules| Place::At(rules.at));
        let field = format!("bucket '{}'", budget.name);
        let what = "a limit of the whole fleet, and no fleet with arbiters".to_owned();
        let expected = "<fleet> with an odd number of <arbiter>, or scope=\"node\"".to_owned();
        return Err(complaints(vec![Complaint {
            place,
            field,
            what,
            expected,
        }]));
    }
    let number = root
        .get("number")
        .and_then(|number| number.value.parse().ok())
        .unwrap_or(0);
    let rollout = match root.one("rollout") {
        Some(element) => Some(RolloutSettings::read(element).map_err(complaints)?),
        None => None,
    };
    // Who agrees on stages are the arbiters, and what goes out is told apart by its number.
    if let Some(element) = root.one("rollout")
        && (!lends || number == 0)
    {
        let (what, expected) = match lends {
            false => (
                "changes in stages, and no fleet with arbiters",
                "<fleet> with an odd number of <arbiter>",
            ),
            true => (
                "changes in stages of a file without a number",
                "translator/@number, higher with each change",
            ),
        };
        let (place, field) = (Place::At(element.at), "rollout".to_owned());
        return Err(complaints(vec![Complaint {
            place,
            field,
            what: what.into(),
            expected: expected.into(),
        }]));
    }
    Ok(Translator {
        rules,
        fleet,
        rollout,
        number: (number, fleet::fingerprint(text)),
    })
}
