//! Reads the element `<fleet>`: the settings by which a node takes part in its cluster.

use crate::Diagnostic;
use crate::diagnostics::Collector;
use crate::xml::{Element, Text};
use madderpoint_membership::{Nanos, Timing};
use madderpoint_rules::time;
use madderpoint_shared_state::{Budget, BudgetKind};
use std::net::SocketAddr;

/// Maximum number of addresses of members through which a node joins.
const SEEDS_MAX: usize = 64;
/// Maximum number of voters.
const ARBITERS_MAX: usize = 9;
/// Maximum number of budgets.
const BUDGETS_MAX: usize = 8;
const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1000 * MILLISECOND;
const DAY: Nanos = 24 * 3600 * SECOND;

/// Settings of the cluster. Values that differ between nodes (zone, addresses) may come from the
/// environment instead.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterSettings {
    /// Name of the cluster, the same on all nodes.
    pub name: String,
    /// Path of the file with the keys of datagram authentication.
    pub keys: String,
    /// Zone of the node, if set.
    pub zone: Option<String>,
    /// Address on which the node receives datagrams, if set.
    pub bind: Option<SocketAddr>,
    /// Address at which other members reach the node, if set.
    pub advertise: Option<SocketAddr>,
    /// Name of the program, which other members see in addition to its version.
    pub program: Option<String>,
    /// Addresses of members through which the node joins, at most 64.
    pub seeds: Vec<SocketAddr>,
    /// Periods and timeouts of the membership protocol.
    pub timing: Timing,
    /// Names of the voters that elect the leader: an odd number up to 9, or none if there are no
    /// budgets.
    pub voters: Vec<String>,
    /// Limits on the backend calls of all nodes together, at most 8.
    pub budgets: Vec<Budget>,
    /// Secret of the hash of quota keys, the same on all nodes.
    pub secret: u64,
    /// Backend service whose health the nodes judge together, if set.
    pub service: Option<JudgedService>,
}

/// A backend service whose health the nodes judge together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JudgedService {
    /// Name of the service, the same on all nodes.
    pub name: String,
    /// Duration in nanoseconds after which a call counts as failed, if set.
    pub slow: Option<Nanos>,
}

/// Returns a hash that distinguishes two texts of settings. A node publishes the hash of its file.
pub fn fingerprint(text: &str) -> u64 {
    madderpoint_membership::MemberKey::of(text).0
}

/// Reads the parts of the element and collects diagnostics.
struct Reader {
    collector: Collector,
}

impl Reader {
    /// Reads an address to which datagrams can be sent: not multicast, and with a port above 0.
    fn address(&mut self, text: &Text, field: &str) -> Option<SocketAddr> {
        let address: Option<SocketAddr> = text.value.parse().ok();
        let address = address.filter(|a| a.port() > 0 && !a.ip().is_multicast());
        if address.is_none() {
            self.collector.report(
                text,
                field,
                format!("{:?} is not a unicast address with a port", text.value),
                "such as 10.0.0.4:7946",
            );
        }
        address
    }

    /// Reads a duration from `min` to `max` into `into`, in nanoseconds; `into` is unchanged if
    /// the attribute is absent.
    fn time(&mut self, element: &Element, name: &str, into: &mut Nanos, min: Nanos, max: Nanos) {
        let Some(text) = element.get(name) else {
            return;
        };
        let time = time::span(&text.value).and_then(|time| Nanos::try_from(time).ok());
        match time.filter(|time| (min..=max).contains(time)) {
            Some(time) => *into = time,
            None => {
                let expected = format!("{} to {} ms", min / MILLISECOND, max / MILLISECOND);
                self.collector.report(
                    text,
                    &format!("{}/@{name}", element.name),
                    format!("{:?} is out of range", text.value),
                    &expected,
                );
            }
        }
    }

    /// Reads a limit on backend calls; `None` if the element is not valid, which is reported.
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
                    "no limit, or two limits",
                    "either a-second or in-hand",
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
                "a limit and nodes-most above 0, and floors of all nodes within the limit",
            );
            return None;
        }
        Some(budget)
    }

    /// Reads a factor from `min` to 100 into `into`, which is unchanged if the attribute is
    /// absent.
    fn factor(&mut self, element: &Element, name: &str, into: &mut f64, min: f64) {
        let Some(text) = element.get(name) else {
            return;
        };
        match text
            .value
            .parse::<f64>()
            .ok()
            .filter(|factor| (min..=100.0).contains(factor))
        {
            Some(factor) => *into = factor,
            None => {
                let found = format!("{:?} is out of range", text.value);
                self.collector.report(
                    text,
                    &format!("periods/@{name}"),
                    found,
                    format!("{min} to 100"),
                );
            }
        }
    }

    /// Reads the addresses of members through which the node joins.
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
            self.collector
                .report(text, "seed", found, "at most 64 seeds");
        }
        seeds
    }

    /// Reads the names of the voters. A name that occurs twice is reported.
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

    /// Reports two budgets with the same id, which messages could not distinguish.
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
                "each name at most once with a-second, and at most once with in-hand",
            );
        }
    }

    /// Reports an even or too large number of voters, and too many budgets.
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
                "an odd number up to 9, such as three or five, where there are budgets",
            );
        }
        if let Some(text) = element
            .all("calls-budget")
            .nth(BUDGETS_MAX)
            .and_then(|budget| budget.get("name"))
        {
            self.collector
                .report(text, "calls-budget", "too many budgets", "at most 8");
        }
    }

    /// Reads the periods and timeouts of the membership protocol.
    fn periods(&mut self, element: &Element) -> Timing {
        let mut periods = Timing::default();
        let Some(attributes) = element.one("periods") else {
            return periods;
        };
        for (name, period, min, max) in [
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
            self.time(attributes, name, period, min, max);
        }
        self.factor(attributes, "suspicion", &mut periods.suspicion, 0.5);
        self.factor(
            attributes,
            "suspicion-most",
            &mut periods.suspicion_max_factor,
            1.0,
        );
        if let Some(text) = attributes.get("answer").or(attributes.get("probe"))
            && periods.probe_timeout >= periods.probe
        {
            self.collector.report(
                text,
                "periods/@answer",
                "the time for an answer is not shorter than the period between two probes",
                "less than probe, which leaves time for relayed probes",
            );
        }
        periods
    }

    /// Reads the backend service whose health the nodes judge together.
    fn service(&mut self, element: &Element) -> Option<JudgedService> {
        let service = element.one("service")?;
        let name = service
            .get("name")
            .map(|name| name.value.clone())
            .unwrap_or_default();
        let mut slow = 0;
        self.time(service, "slow", &mut slow, MILLISECOND, 600 * SECOND);
        Some(JudgedService {
            name,
            slow: Some(slow).filter(|slow| *slow > 0),
        })
    }
}

impl ClusterSettings {
    /// Reads an element that the schema has accepted.
    ///
    /// # Errors
    ///
    /// All diagnostics on the values of the element, in the order in which they were found.
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
