//! The element `<rules>`: words, buckets, rules and cases, compiled.

use crate::asked::Asked;
use crate::cases::Case;
use crate::xml::{Element, Text};
use crate::{Complaint, Place};
use madderpoint::{Idempotency, Nanos};
use madderpoint_rate_limits::{BUCKETS_MAX, Bucket, Rate};
use madderpoint_rules::{
    AddressSet, Bounds, Error, Field, Problem, RuleSet, Verdict, Vocabulary, Written, address,
    cost, time,
};
use madderpoint_shared_state::keyed_quota::{KeyedQuota, QuotaKind};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// One is in hand so long at most, where the file does not say.
const LONGEST: Nanos = 10_000_000_000;

/// What the rules are checked against.
#[derive(Clone, Debug)]
pub struct Known {
    /// Operations of the settings, in their order, each with whether it may run again; none if any
    /// name goes.
    pub operations: Option<Vec<(String, Idempotency)>>,
    /// Tenants of the settings; none if any name goes.
    pub tenants: Option<Vec<String>>,
    /// Bytes that all rules may take.
    pub bytes: usize,
    /// Bytes that the file may have.
    pub file_bytes: usize,
}

impl Known {
    /// Any operation and tenant, and room as on a large machine: for a check without a
    /// configuration.
    pub fn anything() -> Known {
        Known {
            operations: None,
            tenants: None,
            bytes: 64 << 20,
            file_bytes: 16 << 20,
        }
    }
}

/// Rules that were read and compiled, with what belongs to them.
#[derive(Debug)]
pub struct Rulebook {
    /// The rules.
    pub rules: RuleSet,
    /// The buckets, in the order in which the rules count them.
    pub buckets: Vec<Bucket>,
    /// Those of them that are limits of the whole fleet, each with its place.
    pub fleet: Vec<(usize, KeyedQuota)>,
    /// Names of operations, in the order in which the rules count them.
    pub operations: Vec<String>,
    /// Cases that show what the rules are to do.
    pub cases: Vec<Case>,
}

/// Where the texts of a rule stand.
struct Places<'e> {
    name: String,
    element: &'e Element,
}

impl<'e> Places<'e> {
    fn of(&self, field: Field) -> (Option<&'e Text>, String, usize) {
        let give = self.element.one("give");
        let inner = |name: &'static str, nth: usize| {
            let child = give.and_then(|give| give.all(name).nth(nth));
            (
                child.map(|c| &c.text),
                format!("give/{name}"),
                child.map_or(self.element.at, |c| c.at),
            )
        };
        let whole = (None, String::new(), self.element.at);
        match field {
            Field::When => (
                self.element.one("when").map(|w| &w.text),
                "when".into(),
                self.element.at,
            ),
            Field::Operation => (
                give.and_then(|g| g.get("operation")),
                "give/@operation".into(),
                self.element.at,
            ),
            Field::Class => (
                give.and_then(|g| g.get("class")),
                "give/@class".into(),
                self.element.at,
            ),
            Field::Key => inner("key", 0),
            Field::Rank => inner("rank", 0),
            Field::Fact(nth) => inner("fact", nth),
            Field::Bucket(nth) => inner("limit", nth),
            Field::Name => whole,
        }
    }

    fn complaint(&self, problem: &Problem) -> Complaint {
        let (text, field, at) = self.of(problem.field);
        let Error {
            at: range,
            what,
            expected,
        } = problem.error.clone();
        let place = match text {
            Some(text) if range.start <= text.value.len() => {
                let (start, end) = (
                    text.place(range.start),
                    text.place(range.end.max(range.start + 1) - 1) + 1,
                );
                Place::Span(start, end.saturating_sub(start).max(1))
            }
            _ => Place::At(at),
        };
        Complaint {
            place,
            field: format!("rule '{}' {field}", self.name),
            what,
            expected,
        }
    }
}

struct Reading {
    complaints: Vec<Complaint>,
}

impl Reading {
    fn wrong(
        &mut self,
        text: &Text,
        field: &str,
        what: impl Into<String>,
        expected: impl Into<String>,
    ) {
        let place = Place::Span(text.place(0), text.value.len().max(1));
        let (what, expected) = (what.into(), expected.into());
        self.complaints.push(Complaint {
            place,
            field: field.to_owned(),
            what,
            expected,
        });
    }

    fn twice(&mut self, elements: &[&Element], kind: &str) {
        let mut seen = BTreeSet::new();
        for name in elements.iter().filter_map(|e| e.get("name")) {
            if !seen.insert(name.value.as_str()) {
                self.wrong(
                    name,
                    kind,
                    format!("a second {kind} '{}'", name.value),
                    "each name once",
                );
            }
        }
    }
}

/// A text that is there by the schema.
fn text<'e>(element: &'e Element, name: &str) -> &'e str {
    element.get(name).map_or("", |t| t.value.as_str())
}

/// Bytes with their unit.
fn size(text: &str) -> Option<usize> {
    let units = [("KiB", 1 << 10), ("MiB", 1 << 20), ("B", 1)];
    units.iter().find_map(|(unit, factor)| {
        text.strip_suffix(unit)?
            .parse::<usize>()
            .ok()?
            .checked_mul(*factor)
    })
}

fn span(text: &str) -> Option<Nanos> {
    Nanos::try_from(time::span(text)?).ok()
}

/// So many in a time.
fn rate(text: &str, burst: u32) -> Option<Rate> {
    let (count, period) = text.split_once('/')?;
    let period = if period.starts_with(|c: char| c.is_ascii_digit()) {
        period.to_owned()
    } else {
        format!("1{period}")
    };
    Rate::new(count.parse().ok()?, span(&period)?, burst)
}

fn bucket(element: &Element, reading: &mut Reading) -> Option<Bucket> {
    let name = text(element, "name");
    let number = |name: &str| element.get(name).and_then(|t| t.value.parse::<u32>().ok());
    let field = format!("bucket '{name}'");
    let burst = number("burst");
    let mut bucket = Bucket {
        max_in_flight: number("in-hand"),
        max_total_in_flight: number("total"),
        ..Bucket::named(name)
    };
    if let Some(written) = element.get("rate") {
        bucket.rate = rate(&written.value, burst.unwrap_or(1));
        if bucket.rate.is_none() {
            reading.wrong(
                written,
                &field,
                "this rate can't be kept",
                "intervals from 1 ns, and a day at most with its burst",
            );
        }
    } else if let Some(burst) = element.get("burst") {
        reading.wrong(burst, &field, "a burst without a rate", "a rate");
    }
    if bucket == Bucket::named(name) && element.get("rate").is_none() {
        let name = element.get("name")?;
        reading.wrong(
            name,
            &field,
            "nothing is limited",
            "a rate, in-hand or total",
        );
    }
    Some(bucket)
}

/// So many in a time, as two numbers.
fn count_in(text: &str) -> Option<(u32, Nanos)> {
    let (count, period) = text.split_once('/')?;
    let one = period.starts_with(|c: char| c.is_ascii_digit());
    let period = if one {
        span(period)
    } else {
        span(&format!("1{period}"))
    };
    Some((count.parse().ok()?, period?))
}

/// A bucket that is a limit of the whole fleet: at most one for its rate and one for its number in
/// hand.
fn fleet_bucket(element: &Element, reading: &mut Reading) -> Vec<KeyedQuota> {
    let name = text(element, "name");
    let field = format!("bucket '{name}'");
    let number = |name: &str| element.get(name).and_then(|t| t.value.parse::<u32>().ok());
    let is_fleet = text(element, "scope") == "fleet";
    if !is_fleet {
        for only in ["floor", "nodes-most", "longest"] {
            if let Some(written) = element.get(only) {
                reading.wrong(
                    written,
                    &field,
                    format!("'{only}' of a limit that each node has"),
                    "scope=\"fleet\"",
                );
            }
        }
        return Vec::new();
    }
    if let Some(total) = element.get("total") {
        reading.wrong(
            total,
            &field,
            "'total' of a limit of the whole fleet",
            "rate or in-hand",
        );
    }
    let Some(nodes_most) = number("nodes-most") else {
        if let Some(scope) = element.get("scope") {
            reading.wrong(
                scope,
                &field,
                "'nodes-most' is missing",
                "how many processes run at once at most",
            );
        }
        return Vec::new();
    };
    let longest = element
        .get("longest")
        .map_or(Some(LONGEST), |text| span(&text.value));
    let burst = number("burst").unwrap_or(1);
    let rate = element.get("rate").and_then(|text| count_in(&text.value));
    let kinds = [
        rate.map(|(count, period)| QuotaKind::Rate {
            count,
            period,
            burst,
        }),
        number("in-hand")
            .zip(longest)
            .map(|(limit, max_hold)| QuotaKind::InFlight { limit, max_hold }),
    ];
    let floor = number("floor").unwrap_or(0);
    let budget = |kind| KeyedQuota {
        name: name.to_owned(),
        kind,
        floor,
        max_nodes: nodes_most,
    };
    let budgets: Vec<KeyedQuota> = kinds.into_iter().flatten().map(budget).collect();
    for budget in &budgets {
        if let (Err(error), Some(written)) = (budget.check(), element.get("name")) {
            reading.wrong(
                written,
                &field,
                error.to_string(),
                "more of it, fewer nodes or a lower floor",
            );
        }
    }
    budgets
}

fn written(element: &Element, reading: &mut Reading) -> Written {
    let expression = |of: &Element, name: &str| of.one(name).map(|e| e.text.value.clone());
    let mut rule = Written {
        name: text(element, "name").to_owned(),
        when: expression(element, "when").unwrap_or_default(),
        ..Written::default()
    };
    if let Some(give) = element.one("give") {
        rule.operation = give.get("operation").map(|t| t.value.clone());
        rule.class = give.get("class").map(|t| t.value.clone());
        (rule.key, rule.rank) = (expression(give, "key"), expression(give, "rank"));
        rule.facts = give
            .all("fact")
            .map(|f| (text(f, "name").to_owned(), f.text.value.clone()))
            .collect();
        rule.buckets = give
            .all("limit")
            .map(|l| (text(l, "bucket").to_owned(), l.text.value.clone()))
            .collect();
    }
    if let Some(throttle) = element.one("throttle") {
        let pause = throttle.get("pause").map(|t| (span(&t.value), t));
        if let Some((None, written)) = pause {
            reading.wrong(written, "throttle/@pause", "no time", "such as 250ms");
        }
        let pause = pause.and_then(|(pause, _)| pause).unwrap_or(0);
        rule.verdict = Some(Verdict::Throttle {
            pause,
            reason: text(throttle, "reason").to_owned(),
        });
    }
    if let Some(error) = element.one("error") {
        let status = text(error, "status").parse().unwrap_or(500);
        rule.verdict = Some(Verdict::Error {
            status,
            reason: text(error, "reason").to_owned(),
        });
    }
    rule
}

impl Rulebook {
    /// Reads the element, which fits the schema; gives all that is wrong with what it means.
    pub fn read(element: &Element, known: &Known) -> Result<Rulebook, Vec<Complaint>> {
        let mut reading = Reading {
            complaints: Vec::new(),
        };
        let rules: Vec<&Element> = element.all("rule").collect();
        let cases: Vec<&Element> = element.all("case").collect();
        let buckets: Vec<&Element> = element.all("bucket").collect();
        reading.twice(&rules, "rule");
        reading.twice(&cases, "case");
        reading.twice(&buckets, "bucket");
        let words: Vec<&Element> = element
            .all("addresses")
            .chain(element.all("strings"))
            .collect();
        reading.twice(&words, "name");
        let mut vocabulary = Self::words(element, known, &mut reading);
        let mut all_written: Vec<Written> = rules
            .iter()
            .map(|rule| written(rule, &mut reading))
            .collect();
        if known.operations.is_none() {
            // Without a configuration the names that rules give are taken as they come.
            vocabulary.open = true;
            let named: BTreeSet<&String> = all_written
                .iter()
                .filter_map(|r| r.operation.as_ref())
                .collect();
            vocabulary.operations = named.into_iter().cloned().collect();
        }
        if buckets.len() > BUCKETS_MAX {
            let name = buckets[BUCKETS_MAX]
                .get("name")
                .cloned()
                .unwrap_or_default();
            reading.wrong(
                &name,
                "bucket",
                format!("{} buckets", buckets.len()),
                format!("at most {BUCKETS_MAX}"),
            );
        }
        let mut fleet: Vec<(usize, KeyedQuota)> = Vec::new();
        for (place, element) in buckets.iter().enumerate() {
            for budget in fleet_bucket(element, &mut reading) {
                if let Some((_, other)) = fleet.iter().find(|(_, other)| other.id() == budget.id())
                    && let Some(written) = element.get("name")
                {
                    let what = format!("shares its number with '{}'", other.name);
                    reading.wrong(
                        written,
                        &format!("bucket '{}'", budget.name),
                        what,
                        "another name",
                    );
                }
                fleet.push((place, budget));
            }
        }
        let mut buckets: Vec<Bucket> = buckets
            .iter()
            .filter_map(|b| bucket(b, &mut reading))
            .collect();
        let names: Vec<String> = buckets.iter().map(|b| b.name.clone()).collect();
        // What the fleet limits is none of the node's own limits.
        fleet
            .iter()
            .filter_map(|(place, _)| buckets.get(*place).map(|b| (*place, b.name.clone())))
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|(place, name)| buckets[place] = Bucket::named(&name));
        Self::keys(&all_written, &rules, known, &mut reading);
        let mut bounds = Bounds {
            bytes: known.bytes,
            ..Bounds::default()
        };
        if let Some(written) = element.get("cost") {
            bounds.cost = written.value.parse().unwrap_or(0);
            if bounds.cost > cost::LIMIT_MAX {
                reading.wrong(
                    written,
                    "rules/@cost",
                    "the limit is too high",
                    format!("at most {}", cost::LIMIT_MAX),
                );
                bounds.cost = cost::LIMIT_MAX;
            }
        }
        let loaded = RuleSet::load(&all_written, &vocabulary, &names, bounds);
        all_written.clear();
        let loaded = loaded.map_err(|problems| {
            for problem in &problems {
                let complaint = match problem.rule {
                    Some(rule) => {
                        let places = Places {
                            name: text(rules[rule], "name").to_owned(),
                            element: rules[rule],
                        };
                        places.complaint(problem)
                    }
                    None => {
                        let Error { what, expected, .. } = problem.error.clone();
                        Complaint {
                            place: Place::At(element.at),
                            field: "rules".into(),
                            what,
                            expected,
                        }
                    }
                };
                reading.complaints.push(complaint);
            }
        });
        let rule_names: Vec<&str> = rules.iter().map(|rule| text(rule, "name")).collect();
        let mut read_cases = Vec::new();
        for case in cases {
            match Self::case(case, &rule_names) {
                Ok(case) => read_cases.push(case),
                Err((text, field, what, expected)) => reading.wrong(&text, &field, what, expected),
            }
        }
        match loaded {
            Ok(rules) if reading.complaints.is_empty() => Ok(Rulebook {
                rules,
                buckets,
                fleet,
                operations: vocabulary.operations,
                cases: read_cases,
            }),
            _ => Err(reading.complaints),
        }
    }

    fn words(element: &Element, known: &Known, reading: &mut Reading) -> Vocabulary {
        let mut vocabulary = Vocabulary {
            operations: known
                .operations
                .iter()
                .flatten()
                .map(|(name, _)| name.clone())
                .collect(),
            tenants: known.tenants.clone().unwrap_or_default(),
            ..Vocabulary::default()
        };
        for parameter in element.all("parameter") {
            let Some(written) = parameter.get("most") else {
                continue;
            };
            match size(&written.value).filter(|most| *most <= madderpoint_rules::facts::PARAM_MAX) {
                Some(most) => drop(
                    vocabulary
                        .params
                        .insert(text(parameter, "name").to_owned(), most),
                ),
                None => reading.wrong(
                    written,
                    "parameter/@most",
                    "more than any parameter has",
                    "at most 4KiB",
                ),
            }
        }
        for addresses in element.all("addresses") {
            let name = text(addresses, "name").to_owned();
            let mut networks = Vec::new();
            let (whole, mut bad) = (&addresses.text, 0);
            for word in whole.value.split_whitespace() {
                match address::network(word) {
                    Some(net) => networks.push(net),
                    None if bad < 10 => {
                        bad += 1;
                        let at = word.as_ptr() as usize - whole.value.as_ptr() as usize;
                        reading.complaints.push(Complaint {
                            place: Place::Span(whole.place(at), word.len()),
                            field: format!("addresses '{name}'"),
                            what: format!("no network: {word}"),
                            expected: "such as 10.0.0.0/8 or 2001:db8::1".into(),
                        });
                    }
                    None => {}
                }
            }
            vocabulary
                .sets
                .insert(name, Arc::new(AddressSet::new(networks)));
        }
        for strings in element.all("strings") {
            let items = strings
                .all("item")
                .map(|item| item.text.value.clone())
                .collect();
            vocabulary
                .lists
                .insert(text(strings, "name").to_owned(), items);
        }
        vocabulary
    }

    /// A key has a meaning only where an operation may be known again by it.
    fn keys(written: &[Written], rules: &[&Element], known: &Known, reading: &mut Reading) {
        let effects: HashMap<&str, Idempotency> = known
            .operations
            .iter()
            .flatten()
            .map(|(name, effect)| (name.as_str(), *effect))
            .collect();
        for (rule, element) in written.iter().zip(rules) {
            let effect = rule
                .operation
                .as_ref()
                .and_then(|name| effects.get(name.as_str()));
            if rule.key.is_some()
                && effect == Some(&Idempotency::NonIdempotent)
                && let Some(key) = element.one("give").and_then(|give| give.one("key"))
            {
                let field = format!("rule '{}' give/key", rule.name);
                let what = "a key for an operation that is neither idempotent nor tokened";
                reading.wrong(&key.text, &field, what, "no key, or another operation");
            }
        }
    }

    fn case(element: &Element, rules: &[&str]) -> Result<Case, (Text, String, String, String)> {
        let name = text(element, "name").to_owned();
        let field = format!("case '{name}'");
        let (Some(request), Some(expect)) = (element.one("request"), element.one("expect")) else {
            return Ok(Case::default());
        };
        let mut asked = Asked::default();
        for attribute in &request.attributes {
            if let Err(expected) = asked.set(&attribute.name, &attribute.value.value) {
                let what = format!("{} can't be {:?}", attribute.name, attribute.value.value);
                return Err((
                    attribute.value.clone(),
                    format!("{field} request"),
                    what,
                    expected.to_owned(),
                ));
            }
        }
        asked.params = request
            .all("param")
            .map(|p| (text(p, "name").to_owned(), p.text.value.clone()))
            .collect();
        asked.body = request
            .one("body")
            .map(|b| b.text.value.clone().into_bytes())
            .unwrap_or_default();
        let word = |name: &str| expect.get(name).map(|t| t.value.clone());
        let rule = word("rule").filter(|rule| rule != "none");
        if let (Some(name), Some(written)) = (&rule, expect.get("rule"))
            && !rules.contains(&name.as_str())
        {
            let what = format!("there is no rule '{name}'");
            return Err((
                written.clone(),
                format!("{field} expect"),
                what,
                "a rule of this file, or none".into(),
            ));
        }
        Ok(Case {
            name,
            asked,
            rule,
            operation: word("operation"),
            class: word("class"),
            key: word("key"),
            rank: word("rank"),
            verdict: word("verdict"),
        })
    }
}
