//! The element `<fleet>`: how a node takes part in its fleet.

use crate::xml::{Element, Text};
use crate::{Complaint, Place};
use madderpoint_membership::{Nanos, Timing};
use madderpoint_rules::time;
use madderpoint_shared_state::{Budget, BudgetKind};
use std::net::SocketAddr;

/// The most seeds that are of use.
const SEEDS_MAX: usize = 64;
/// Arbiters and budgets that make sense.
const ARBITERS_MAX: usize = 9;
const BUDGETS_MAX: usize = 8;
const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MILLISECOND;

/// What the file says of the fleet. What differs by node (zone, addresses) may be told by the
/// environment instead.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The fleet's name.
    pub name: String,
    /// The file of its keys.
    pub keys: String,
    /// The node's zone.
    pub zone: Option<String>,
    /// Where the node listens, and where others reach it.
    pub bind: Option<SocketAddr>,
    /// The same, seen from others.
    pub advertise: Option<SocketAddr>,
    /// What the program is called to others, beside its version.
    pub program: Option<String>,
    /// Where somebody may be found.
    pub seeds: Vec<SocketAddr>,
    /// How often things are done.
    pub periods: Timing,
    /// Names of those who decide who lends.
    pub arbiters: Vec<String>,
    /// Limits on the calls below of all nodes together.
    pub budgets: Vec<Budget>,
    /// What keys are numbered by, alike on all nodes.
    pub secret: u64,
    /// The service below that nodes judge together, if they do.
    pub service: Option<JudgedService>,
}

/// A service below that nodes judge together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JudgedService {
    /// Its name, the same on all nodes.
    pub name: String,
    /// A call that takes longer counts as one that failed.
    pub slow: Option<Nanos>,
}

/// Tells two texts of settings apart; part of what a node says of itself.
pub fn fingerprint(text: &str) -> u64 {
    madderpoint_membership::MemberKey::of(text).0
}

struct Reading {
    complaints: Vec<Complaint>,
}

impl Reading {
    fn wrong(&mut self, text: &Text, field: &str, what: String, expected: &str) {
        let place = Place::Span(text.place(0), text.value.len().max(1));
        let field = format!("fleet/{field}");
        self.complaints.push(Complaint {
            place,
            field,
            what,
            expected: expected.to_owned(),
        });
    }

    fn address(&mut self, text: &Text, field: &str) -> Option<SocketAddr> {
        let address: Option<SocketAddr> = text.value.parse().ok();
        let address = address.filter(|a| a.port() > 0 && !a.ip().is_multicast());
        if address.is_none() {
            self.wrong(
                text,
                field,
                format!("{:?} is no address", text.value),
                "such as 10.0.0.4:7946",
            );
        }
        address
    }

    /// A time between two bounds.
    fn time(&mut self, of: &Element, name: &str, into: &mut Nanos, least: Nanos, most: Nanos) {
        let Some(text) = of.get(name) else { return };
        let time = time::span(&text.value).and_then(|time| Nanos::try_from(time).ok());
        match time.filter(|time| (least..=most).contains(time)) {
            Some(time) => *into = time,
            None => {
                let expected = format!("{} to {} ms", least / MILLISECOND, most / MILLISECOND);
                self.wrong(
                    text,
                    &format!("{}/@{name}", of.name),
                    format!("{:?} is out of range", text.value),
                    &expected,
                );
            }
        }
    }

    /// A limit on calls below.
    fn budget(&mut self, element: &Element) -> Option<Budget> {
        let text = |name: &str| element.get(name);
        let number = |name: &str| text(name).and_then(|text| text.value.parse::<u32>().ok());
        let name = text("name")?;
        let field = format!("calls-budget '{}'", name.value);
        let (mut burst, mut longest) = (50 * MILLISECOND, 10 * SECOND);
        self.time(element, "burst", &mut burst, MILLISECOND, SECOND);
        self.time(
            element,
            "longest",
            &mut longest,
            10 * MILLISECOND,
            600 * SECOND,
        );
        let (limit, kind) = match (number("a-second"), number("in-hand")) {
            (Some(limit), None) => (limit, BudgetKind::Rate { burst }),
            (None, Some(limit)) => (
                limit,
                BudgetKind::InFlight {
                    max_call_time: longest,
                },
            ),
            _ => {
                self.wrong(
                    name,
                    &field,
                    "no limit, or two".into(),
                    "one of a-second and in-hand",
                );
                return None;
            }
        };
        let (floor, max_nodes) = (number("floor")?, number("nodes-most")?);
        let retries_only = text("of").is_some_and(|of| of.value == "repeats");
        let budget = Budget {
            name: name.value.clone(),
            limit,
            floor,
            max_nodes,
            kind,
            retries_only,
        };
        if let Err(error) = budget.check() {
            self.wrong(
                name,
                &field,
                error.to_string(),
                "floors that the limit has room for",
            );
            return None;
        }
        Some(budget)
    }

    fn factor(&mut self, of: &Element, name: &str, into: &mut f64, least: f64) {
        let Some(text) = of.get(name) else { return };
        match text
            .value
            .parse::<f64>()
            .ok()
            .filter(|factor| (least..=100.0).contains(factor))
        {
            Some(factor) => *into = factor,
            None => {
                let what = format!("{:?} is out of range", text.value);
                self.wrong(
                    text,
                    &format!("periods/@{name}"),
                    what,
                    &format!("{least} to 100"),
                );
            }
        }
    }
}

impl FleetSettings {
    /// Reads the element, which fits the schema; gives all that is wrong with what it means.
    pub fn read(element: &Element) -> Result<FleetSettings, Vec<Complaint>> {
        let mut reading = Reading {
            complaints: Vec::new(),
        };
        let text = |name: &str| element.get(name).map(|text| text.value.clone());
        let mut seeds = Vec::new();
        for seed in element.all("seed") {
            if let Some(address) = seed
                .get("address")
                .and_then(|text| reading.address(text, "seed/@address"))
            {
                seeds.push(address);
            }
        }
        if seeds.len() > SEEDS_MAX
            && let Some(text) = element
                .all("seed")
                .nth(SEEDS_MAX)
                .and_then(|seed| seed.get("address"))
        {
            reading.wrong(text, "seed", format!("{} seeds", seeds.len()), "64 at most");
        }
        let budgets: Vec<Budget> = element
            .all("calls-budget")
            .filter_map(|b| reading.budget(b))
            .collect();
        let named: Vec<&Text> = element
            .all("arbiter")
            .filter_map(|arbiter| arbiter.get("name"))
            .collect();
        let arbiters: Vec<String> = named.iter().map(|text| text.value.clone()).collect();
        let twice = named
            .iter()
            .enumerate()
            .find(|(n, text)| arbiters[..*n].contains(&text.value));
        if let Some((_, text)) = twice {
            reading.wrong(
                text,
                "arbiter/@name",
                format!("a second arbiter '{}'", text.value),
                "each name once",
            );
        }
        let (mut ids, mut twice) = (Vec::new(), None);
        for budget in &budgets {
            if ids.contains(&budget.id()) {
                twice = element
                    .all("calls-budget")
                    .filter_map(|b| b.get("name"))
                    .find(|n| n.value == budget.name);
            }
            ids.push(budget.id());
        }
        if let Some(text) = twice {
            let what = format!("a second budget '{}'", text.value);
            reading.wrong(
                text,
                "calls-budget",
                what,
                "each name once for a rate, and once for a number in hand",
            );
        }
        let first = element
            .one("calls-budget")
            .or(element.one("arbiter"))
            .and_then(|first| first.get("name"));
        if let Some(text) = first
            && (arbiters.len().is_multiple_of(2) || arbiters.len() > ARBITERS_MAX)
        {
            let what = format!("{} arbiters", arbiters.len());
            reading.wrong(
                text,
                "arbiter",
                what,
                "an odd number up to 9, three or five, where there are budgets",
            );
        }
        if let Some(text) = element
            .all("calls-budget")
            .nth(BUDGETS_MAX)
            .and_then(|budget| budget.get("name"))
        {
            reading.wrong(text, "calls-budget", "too many".into(), "8 at most");
        }
        let mut periods = Timing::default();
        if let Some(of) = element.one("periods") {
            reading.time(
                of,
                "probe",
                &mut periods.probe,
                50 * MILLISECOND,
                60 * SECOND,
            );
            reading.time(
                of,
                "answer",
                &mut periods.answer,
                10 * MILLISECOND,
                30 * SECOND,
            );
            reading.time(
                of,
                "gossip",
                &mut periods.gossip,
                20 * MILLISECOND,
                10 * SECOND,
            );
            reading.time(
                of,
                "regain",
                &mut periods.probe_dead,
                50 * MILLISECOND,
                600 * SECOND,
            );
            reading.time(
                of,
                "remember",
                &mut periods.remember,
                60 * SECOND,
                7 * 24 * 3600 * SECOND,
            );
            reading.time(of, "skew", &mut periods.skew, SECOND, 24 * 3600 * SECOND);
            reading.factor(of, "suspicion", &mut periods.suspicion, 0.5);
            reading.factor(of, "suspicion-most", &mut periods.suspicion_max_factor, 1.0);
            if let Some(text) = of.get("answer").or(of.get("probe"))
                && periods.answer >= periods.probe
            {
                let what = "an answer has as long as the period between two probes".to_owned();
                reading.wrong(
                    text,
                    "periods/@answer",
                    what,
                    "less than probe, so that others can still be asked",
                );
            }
        }
        let service = element.one("service").map(|of| {
            let name = of
                .get("name")
                .map(|name| name.value.clone())
                .unwrap_or_default();
            let mut slow = 0;
            reading.time(of, "slow", &mut slow, MILLISECOND, 600 * SECOND);
            JudgedService {
                name,
                slow: Some(slow).filter(|slow| *slow > 0),
            }
        });
        let mut place = |name: &str| {
            element
                .get(name)
                .and_then(|text| reading.address(text, &format!("@{name}")))
        };
        let (bind, advertise) = (place("bind"), place("advertise"));
        if reading.complaints.is_empty() {
            Ok(FleetSettings {
                name: text("name").unwrap_or_default(),
                keys: text("keys").unwrap_or_default(),
                zone: text("zone"),
                bind,
                advertise,
                program: text("program"),
                seeds,
                periods,
                arbiters,
                budgets,
                secret: fingerprint(&text("salt").or(text("name")).unwrap_or_default()),
                service,
            })
        } else {
            Err(reading.complaints)
        }
    }
}
