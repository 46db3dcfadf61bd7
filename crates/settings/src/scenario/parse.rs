//! Reads scenarios from XML.

use super::{
    Action, BackendModel, Fault, KeyedLimit, LinkFault, LinkKind, NODES_MAX, NodeSelector, SCHEMA,
    Scenario, Step,
};
use crate::schema::Schema;
use crate::xml::{self, Element};
use crate::{Diagnostic, Diagnostics, Location};
use madderpoint_rules::time;
use std::time::Duration;

/// Reads the text of a scenario. `file` is the name that diagnostics show.
///
/// # Errors
///
/// All diagnostics of the first stage that has any: XML, schema, values.
pub fn read(file: &str, source: &str) -> Result<Scenario, Diagnostics> {
    parse(source).map_err(|all| Diagnostics::new(file, source, all))
}

fn diagnostic(
    location: Location,
    found: impl Into<String>,
    expected: impl Into<String>,
) -> Diagnostic {
    Diagnostic::new(location, "script", found, expected)
}

fn parse(source: &str) -> Result<Scenario, Vec<Diagnostic>> {
    let root = xml::read(source).map_err(|diagnostic| vec![diagnostic])?;
    let schema = Schema::read(SCHEMA)
        .map_err(|e| vec![diagnostic(Location::Whole, e.to_string(), "a valid schema")])?;
    let mut found = schema.check(&root);
    if !found.is_empty() {
        return Err(found);
    }
    let mut scenario = attributes(&root);
    if scenario.nodes > NODES_MAX {
        found.push(diagnostic(
            Location::At(root.at),
            format!("{} nodes", scenario.nodes),
            "at most 64 nodes",
        ));
    }
    if let Some(periods) = root.one("periods") {
        scenario.periods = periods
            .attributes
            .iter()
            .map(|a| (a.name.clone(), a.value.value.clone()))
            .collect();
    }
    if let Some(element) = root.one("below") {
        scenario.backend = backend(element);
    }
    if let Some(element) = root.one("keys") {
        scenario.keys = keyed_limit(element);
    }
    for element in root.all("step").filter_map(|step| step.children.first()) {
        scenario
            .steps
            .extend(step(element, scenario.nodes, &mut found));
    }
    scenario.steps.sort_by_key(|step| step.at);
    if found.is_empty() {
        Ok(scenario)
    } else {
        Err(found)
    }
}

/// Reads the attributes of the root element.
fn attributes(root: &Element) -> Scenario {
    let words = |name| {
        text(root, name).map_or(Vec::new(), |t| {
            t.split_whitespace().map(str::to_owned).collect()
        })
    };
    Scenario {
        name: text(root, "name").unwrap_or_default().to_owned(),
        seed: number(root, "seed").unwrap_or(1),
        nodes: number(root, "nodes").unwrap_or(1) as usize,
        zones: number(root, "zones").unwrap_or(1) as usize,
        absent: words("absent"),
        load: number(root, "load").unwrap_or(0),
        callers: number(root, "callers").unwrap_or(1),
        calls_a_second: number(root, "calls-a-second").unwrap_or(0) as u32,
        max_calls_in_flight: number(root, "calls-in-hand").unwrap_or(0) as u32,
        retries_a_second: number(root, "repeats-a-second").unwrap_or(0) as u32,
        backend: BackendModel::default(),
        keys: KeyedLimit::default(),
        floor: number(root, "floor").unwrap_or(1) as u32,
        small: words("small"),
        rollout: root.one("rollout").map(to_xml),
        time: duration(root, "time").unwrap_or_default(),
        periods: Vec::new(),
        steps: Vec::new(),
    }
}

fn backend(element: &Element) -> BackendModel {
    BackendModel {
        work: duration(element, "work").unwrap_or_default(),
        survives: number(element, "survives").unwrap_or(0) as usize,
        down: duration(element, "down").unwrap_or(Duration::from_secs(2)),
        warm: duration(element, "warm").unwrap_or(Duration::from_secs(3)),
        judged: is_set(element, "judged"),
        tries_most: number(element, "tries-most").map(|n| n as usize),
        slow_start: is_set(element, "slow-start"),
    }
}

fn keyed_limit(element: &Element) -> KeyedLimit {
    let number = |name: &str| number(element, name).unwrap_or(0) as u32;
    KeyedLimit {
        count: u64::from(number("count")),
        a_second: number("a-second"),
        burst: number("burst").max(1),
        max_in_flight: number("in-hand"),
        floor: number("floor"),
    }
}

/// Reads a step; `None` if the step is not valid, which is reported. The nodes that the step names
/// must be among the first `nodes`.
fn step(element: &Element, nodes: usize, found: &mut Vec<Diagnostic>) -> Option<Step> {
    let location = Location::At(element.at);
    let (Some(at), Some(action)) = (duration(element, "at"), action(element)) else {
        found.push(diagnostic(
            location,
            format!("an attribute of <{}> is missing or not valid", element.name),
            "the attributes that the schema defines",
        ));
        return None;
    };
    let is_known = |name: &str| {
        name.strip_prefix('n')
            .and_then(|index| index.parse::<usize>().ok())
            .is_some_and(|index| index < nodes)
    };
    let unknown = ["node", "other"]
        .into_iter()
        .filter_map(|name| text(element, name))
        .find(|name| !is_known(name));
    if let Some(name) = unknown {
        found.push(diagnostic(
            location,
            format!("unknown node {name}"),
            format!("n0 to n{}", nodes - 1),
        ));
    }
    Some(Step { at, action })
}

/// Reads the action of a step; `None` if an attribute is missing or not valid.
fn action(element: &Element) -> Option<Action> {
    let node = || text(element, "node").unwrap_or_default().to_owned();
    let time = || duration(element, "for");
    Some(match element.name.as_str() {
        "link" => {
            let faulty = link_fault(element);
            Action::Link {
                faulty,
                time: time(),
            }
        }
        "heal" => Action::Heal,
        "kill" => Action::Kill(node()),
        "stop" => Action::Stop(node()),
        "pause" => Action::Pause {
            node: node(),
            time: time().unwrap_or(Duration::from_secs(1)),
        },
        "hup" => Action::Hup(node()),
        "start" => Action::Start {
            node: node(),
            name: text(element, "as").map(str::to_owned),
            program: text(element, "program").map(str::to_owned),
        },
        "stranger" => Action::UnauthenticatedDatagrams {
            to: selector(element, "to"),
            a_second: number(element, "a-second")?,
            time: time()?,
        },
        "load" => Action::Load {
            to: selector(element, "to"),
            a_second: number(element, "a-second")?,
            keys: text(element, "keys").and_then(|text| {
                let (first, last) = text.split_once('-')?;
                Some((first.parse().ok()?, last.parse().ok()?))
            }),
        },
        "service" => Action::Service {
            time: time()?,
            dies: is_set(element, "dies"),
            zone: text(element, "zone").map(str::to_owned),
            slower: duration(element, "slower").unwrap_or_default(),
            fails: share(element, "fails"),
        },
        _ => return rollout_action(element).or_else(|| expectation(element)),
    })
}

/// Reads an action on a rollout or on the persisted state of a node; `None` if an attribute is
/// missing or not valid, or if the element is another action.
fn rollout_action(element: &Element) -> Option<Action> {
    let node = || text(element, "node").unwrap_or_default().to_owned();
    Some(match element.name.as_str() {
        "offer" => Action::Offer {
            node: node(),
            number: number(element, "number")?,
            change: text(element, "change")?.to_owned(),
            turned_down: is_set(element, "turned-down"),
        },
        "halt" => Action::EndChange {
            node: node(),
            back: false,
        },
        "back" => Action::EndChange {
            node: node(),
            back: true,
        },
        "disk" => Action::Disk {
            node: node(),
            full: is_set(element, "full"),
        },
        _ => return None,
    })
}

/// Reads an expectation of a step; `None` if an attribute is missing or not valid.
fn expectation(element: &Element) -> Option<Action> {
    let node = || text(element, "node").unwrap_or_default().to_owned();
    Some(match element.name.as_str() {
        "settled" => Action::Settled {
            within: duration(element, "within")?,
            sides: number(element, "sides").map_or(1, |n| n as usize),
        },
        "sees" => Action::Sees {
            node: node(),
            other: text(element, "other")?.to_owned(),
            liveness: text(element, "held")?.to_owned(),
            within: duration(element, "within")?,
        },
        "holds" => Action::Holds {
            node: node(),
            what: text(element, "what")?.to_owned(),
            within: duration(element, "within")?,
        },
        "runs" => Action::Runs {
            to: selector(element, "to"),
            number: number(element, "number")?,
            within: duration(element, "within")?,
        },
        "change" => Action::Change {
            to: selector(element, "to"),
            number: number(element, "number")?,
            fate: text(element, "fate").unwrap_or_default().to_owned(),
            stage: number(element, "stage").unwrap_or(0) as u32,
            within: duration(element, "within")?,
        },
        "used" => Action::Used {
            over: duration(element, "over")?,
            least: share(element, "least"),
            within: duration(element, "within")?,
        },
        _ => return None,
    })
}

fn selector(element: &Element, name: &str) -> NodeSelector {
    text(element, name).map_or(NodeSelector::All, NodeSelector::read)
}

fn link_fault(element: &Element) -> LinkFault {
    let fault = Fault {
        cut: is_set(element, "cut"),
        hold: is_set(element, "hold"),
        loss: share(element, "loss"),
        double: share(element, "double"),
        damage: share(element, "damage"),
        reorder: share(element, "reorder"),
        delay: duration(element, "delay").unwrap_or_default(),
        jitter: duration(element, "jitter").unwrap_or_default(),
        bytes_a_second: number(element, "bytes-a-second"),
    };
    let on = match text(element, "on") {
        Some("load") => LinkKind::Load,
        Some("kernel") => LinkKind::Kernel,
        Some("backend") => LinkKind::Backend,
        Some("members") => LinkKind::Members,
        _ => LinkKind::Fleet,
    };
    LinkFault {
        on,
        from: selector(element, "from"),
        to: selector(element, "to"),
        both: is_set(element, "both"),
        fault,
    }
}

/// Returns the XML text of an element whose content is validated against another schema later.
fn to_xml(element: &Element) -> String {
    let attributes: String = element
        .attributes
        .iter()
        .map(|a| format!(" {}=\"{}\"", a.name, a.value.value))
        .collect();
    let children: String = element.children.iter().map(to_xml).collect();
    format!(
        "<{}{attributes}>{children}</{}>",
        element.name, element.name
    )
}

fn text<'e>(element: &'e Element, name: &str) -> Option<&'e str> {
    element.get(name).map(|text| text.value.as_str())
}

/// Returns the value of an attribute that is a duration.
fn duration(element: &Element, name: &str) -> Option<Duration> {
    let nanos = time::span(text(element, name)?)?;
    u64::try_from(nanos).ok().map(Duration::from_nanos)
}

/// Returns the value of an attribute that is a share; 0 if absent.
fn share(element: &Element, name: &str) -> f64 {
    text(element, name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0.0)
}

/// Returns the value of an attribute that is a whole number.
fn number(element: &Element, name: &str) -> Option<u64> {
    text(element, name)?.parse().ok()
}

/// Returns whether the value of an attribute is `yes`.
fn is_set(element: &Element, name: &str) -> bool {
    text(element, name) == Some("yes")
}
