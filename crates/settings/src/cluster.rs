//! The element `<fleet>`: how a node takes part in its cluster.

use crate::Diagnostic;
use crate::diagnostics::Collector;
use crate::xml::{Element, Text};
use madderpoint_membership::{Nanos, Timing};
use madderpoint_rules::time;
use madderpoint_shared_state::{Budget, BudgetKind};
use std::net::SocketAddr;

/// The most seeds.
const SEEDS_MAX: usize = 64;
/// The most voters.
const ARBITERS_MAX: usize = 9;
/// The most budgets.
const BUDGETS_MAX: usize = 8;
const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MILLISECOND;
const DAY: Nanos = 24 * 3600 * SECOND;

/// The settings of the cluster. What differs by node (zone, addresses) may come from the
/// environment instead.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterSettings {
    /// The cluster's name.
    pub name: String,
    /// The file with the keys of datagram authentication.
    pub keys: String,
    /// The node's zone.
    pub zone: Option<String>,
    /// Where the node listens.
    pub bind: Option<SocketAddr>,
    /// Where others reach it.
    pub advertise: Option<SocketAddr>,
    /// The program's name, which others see beside its version.
    pub program: Option<String>,
    /// Addresses of members by which a node joins.
    pub seeds: Vec<SocketAddr>,
    /// Periods and timeouts of the membership protocol.
    pub timing: Timing,
    /// Names of the voters, who decide on the leader.
    pub voters: Vec<String>,
    /// Limits on the backend calls of all nodes together.
    pub budgets: Vec<Budget>,
    /// The secret from which keys are numbered, the same on all nodes.
    pub secret: u64,
    /// The backend service whose health nodes judge together, if they do.
    pub service: Option<JudgedService>,
}

/// A backend service whose health nodes judge together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JudgedService {
    /// Its name, the same on all nodes.
    pub name: String,
    /// A call that takes longer counts as failed; in nanoseconds.
    pub slow: Option<Nanos>,
}

/// A hash by which two texts of settings are distinguished; a node publishes it.
pub fn fingerprint(text: &str) -> u64 {
    madderpoint_membership::MemberKey::of(text).0
}

/// Reads the parts of the element, and collects what is wrong with them.
struct Reader {
    collector: Collector,
}

impl Reader {
    /// An address to which datagrams can be sent.
    fn address(&mut self, text: &Text, field: &str) -> Option<SocketAddr> {
        let address: Option<SocketAddr> = text.value.parse().ok();
        let address = address.filter(|a| a.port() > 0 && !a.ip().is_multicast());
        if address.is_none() {
            self.collector.report(
                text,
                field,
                format!("{:?} is no address", text.value),
                "such as 10.0.0.4:7946",
            );
        }
        address
    }

    /// A duration between two bounds, in nanoseconds; `into` stays as it is if none is given.
    fn time(&mut self, of: &Element, name: &str, into: &mut Nanos, least: Nanos, most: Nanos) {
        let Some(text) = of.get(name) else { return };
        let time = time::span(&text.value).and_then(|time| Nanos::try_from(time).ok());
        match time.filter(|time| (least..=most).contains(time)) {
            Some(time) => *into = time,
            None => {
                let expected = format!("{} to {} ms", least / MILLISECOND, most / MILLISECOND);
                self.collector.report(
                    text,
                    &format!("{}/@{name}", of.name),
                    format!("{:?} is out of range", text.value),
                    &expected,
                );
            }
        }
    }

    /// A limit on backend calls.
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
                self.collector.report(
                    name,
                    &field,
                    "no limit, or two",
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
            self.collector.report(
                name,
                &field,
                error.to_string(),
                "floors that the limit has room for",
            );
            return None;
        }
        Some(budget)
    }

    /// A factor from `least` to 100; `into` stays as it is if none is given.
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
                self.collector.report(
                    text,
                    &format!("periods/@{name}"),
                    what,
                    format!("{least} to 100"),
                );
            }
        }
    }

    /// Addresses of members by which a node joins.
    fn seeds(&mut self, element: &Element) -> Vec<SocketAddr> {
        let seeds: Vec<SocketAddr> = element
            .all("seed")
            .filter_map(|seed| {
                seed.get("address")
                    .and_then(|text| self.address(text, "seed/@address"))
            })
            .collect();
        let excess = element
            .all("seed")
            .nth(SEEDS_MAX)
            .and_then(|seed| seed.get("address"));
        if let (true, Some(text)) = (seeds.len() > SEEDS_MAX, excess) {
            let found = format!("{} seeds", seeds.len());
            self.collector.report(text, "seed", found, "64 at most");
        }
        seeds
    }

    /// Names of the voters, each once.
    fn arbiters(&mut self, element: &Element) -> Vec<String> {
        let names: Vec<&Text> = element
            .all("arbiter")
            .filter_map(|arbiter| arbiter.get("name"))
            .collect();
        let arbiters: Vec<String> = names.iter().map(|text| text.value.clone()).collect();
        let duplicate = names
            .iter()
            .enumerate()
            .find(|(index, text)| arbiters[..*index].contains(&text.value));
        if let Some((_, text)) = duplicate {
            let found = format!("a second arbiter '{}'", text.value);
            self.collector
                .report(text, "arbiter/@name", found, "each name once");
        }
        arbiters
    }

    /// Each budget has a number of its own.
    fn check_duplicate_budgets(&mut self, element: &Element, budgets: &[Budget]) {
        let (mut ids, mut duplicate) = (Vec::new(), None);
        for budget in budgets {
            if ids.contains(&budget.id()) {
                duplicate = element
                    .all("calls-budget")
                    .filter_map(|element| element.get("name"))
                    .find(|name| name.value == budget.name);
            }
            ids.push(budget.id());
        }
        if let Some(text) = duplicate {
            let found = format!("a second budget '{}'", text.value);
            self.collector.report(
                text,
                "calls-budget",
                found,
                "each name once for a rate, and once for a number in hand",
            );
        }
    }

    /// Budgets need an odd number of voters, and are bounded in number.
    fn check_counts(&mut self, element: &Element, arbiters: usize) {
        let first = element
            .one("calls-budget")
            .or(element.one("arbiter"))
            .and_then(|first| first.get("name"));
        if let Some(text) = first
            && (arbiters.is_multiple_of(2) || arbiters > ARBITERS_MAX)
        {
            self.collector.report(
                text,
                "arbiter",
                format!("{arbiters} arbiters"),
                "an odd number up to 9, three or five, where there are budgets",
            );
        }
        if let Some(text) = element
            .all("calls-budget")
            .nth(BUDGETS_MAX)
            .and_then(|budget| budget.get("name"))
        {
            self.collector
                .report(text, "calls-budget", "too many", "8 at most");
        }
    }

    /// Periods of the membership protocol.
    fn periods(&mut self, element: &Element) -> Timing {
        let mut periods = Timing::default();
        let Some(of) = element.one("periods") else {
            return periods;
        };
        for (name, period, least, most) in [
            ("probe", &mut periods.probe, 50 * MILLISECOND, 60 * SECOND),
            (
                "answer",
                &mut periods.probe_timeout,
                10 * MILLISECOND,
                30 * SECOND,
            ),
            ("gossip", &mut periods.gossip, 20 * MILLISECOND, 10 * SECOND),
            (
                "regain",
                &mut periods.probe_dead,
                50 * MILLISECOND,
                600 * SECOND,
            ),
            ("remember", &mut periods.forget_after, 60 * SECOND, 7 * DAY),
            ("skew", &mut periods.skew, SECOND, DAY),
        ] {
            self.time(of, name, period, least, most);
        }
        self.factor(of, "suspicion", &mut periods.suspicion, 0.5);
        self.factor(of, "suspicion-most", &mut periods.suspicion_max_factor, 1.0);
        if let Some(text) = of.get("answer").or(of.get("probe"))
            && periods.probe_timeout >= periods.probe
        {
            self.collector.report(
                text,
                "periods/@answer",
                "an answer has as long as the period between two probes",
                "less than probe, so that others can still be asked",
            );
        }
        periods
    }

    /// The downstream service whose health nodes judge together.
    fn service(&mut self, element: &Element) -> Option<JudgedService> {
        let of = element.one("service")?;
        let name = of
            .get("name")
            .map(|name| name.value.clone())
            .unwrap_or_default();
        let mut slow = 0;
        self.time(of, "slow", &mut slow, MILLISECOND, 600 * SECOND);
        Some(JudgedService {
            name,
            slow: Some(slow).filter(|slow| *slow > 0),
        })
    }
}

impl ClusterSettings {
    /// Reads the element, which fits the schema.
    ///
    /// # Errors
    ///
    /// All that is wrong with what it means, in the order in which it was found.
    pub fn read(element: &Element) -> Result<ClusterSettings, Vec<Diagnostic>> {
        let mut reader = Reader {
            collector: Collector::new("fleet/"),
        };
        let text = |name: &str| element.get(name).map(|text| text.value.clone());
        let seeds = reader.seeds(element);
        let budgets: Vec<Budget> = element
            .all("calls-budget")
            .filter_map(|budget| reader.budget(budget))
            .collect();
        let voters = reader.arbiters(element);
        reader.check_duplicate_budgets(element, &budgets);
        reader.check_counts(element, voters.len());
        let timing = reader.periods(element);
        let service = reader.service(element);
        let mut address = |name: &str| {
            element
                .get(name)
                .and_then(|text| reader.address(text, &format!("@{name}")))
        };
        let (bind, advertise) = (address("bind"), address("advertise"));
        if !reader.collector.diagnostics.is_empty() {
            return Err(reader.collector.diagnostics);
        }
        Ok(ClusterSettings {
            name: text("name").unwrap_or_default(),
            keys: text("keys").unwrap_or_default(),
            zone: text("zone"),
            bind,
            advertise,
            program: text("program"),
            seeds,
            timing,
            voters,
            budgets,
            secret: fingerprint(&text("salt").or(text("name")).unwrap_or_default()),
            service,
        })
    }
}
