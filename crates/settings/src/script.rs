//! Timetables: which fault is put where and when, and what must hold then. Files in XML, checked by
//! a schema as our settings are; played by the rig against processes, and by `fleet simulate`
//! against a simulated fleet.

use crate::schema::Schema;
use crate::xml::Element;
use crate::{Complaint, Complaints, Place, xml};
use madderpoint_rules::time;
use std::time::Duration;

/// The schema, as it lies beside this package.
pub(crate) const SCHEMA: &str = include_str!("../script.xsd");
/// Nodes of one rig, at most.
pub const NODES_MAX: usize = 64;

/// Which links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Links {
    /// Between nodes.
    #[default]
    Fleet,
    /// Dispatchers and a node.
    Load,
    /// A node and its kernel.
    Kernel,
    /// A node and its back end.
    Backend,
    /// A node and the membership service.
    Members,
}

/// One end of links.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Ends {
    /// Any node.
    #[default]
    All,
    /// This node.
    Node(String),
    /// Any in this zone.
    Zone(String),
    /// Any that is not in this zone.
    NotZone(String),
}

impl Ends {
    fn read(text: &str) -> Ends {
        match text {
            "all" => Ends::All,
            text => match (text.strip_prefix("zone:"), text.strip_prefix("not-zone:")) {
                (Some(zone), _) => Ends::Zone(zone.to_owned()),
                (_, Some(zone)) => Ends::NotZone(zone.to_owned()),
                _ => Ends::Node(text.to_owned()),
            },
        }
    }

    /// Whether a node of this name and zone is meant.
    pub fn has(&self, name: &str, zone: &str) -> bool {
        match self {
            Ends::All => true,
            Ends::Node(node) => node == name,
            Ends::Zone(of) => of == zone,
            Ends::NotZone(of) => of != zone,
        }
    }
}

/// What is wrong with a link.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fault {
    /// Nothing passes.
    pub cut: bool,
    /// What comes waits until the fault is over.
    pub hold: bool,
    /// The share that is lost.
    pub loss: f64,
    /// The share that comes twice.
    pub double: f64,
    /// The share with a bit that is wrong.
    pub damage: f64,
    /// The share that is overtaken by what comes later.
    pub reorder: f64,
    /// How much later all of it comes.
    pub delay: Duration,
    /// How much later than that, by chance.
    pub jitter: Duration,
    /// What passes in a second.
    pub bytes_a_second: Option<u64>,
}

/// Links with a fault.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faulty {
    /// Which kind.
    pub on: Links,
    /// From where.
    pub from: Ends,
    /// To where.
    pub to: Ends,
    /// The other way too.
    pub both: bool,
    /// What is wrong.
    pub fault: Fault,
}

/// What is done, or must hold; `docs/operators/rig.md` has a table of them.
#[allow(missing_docs)]
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Link {
        faulty: Faulty,
        time: Option<Duration>,
    },
    Heal,
    Kill(String),
    /// SIGTERM; it must end well.
    Stop(String),
    Pause {
        node: String,
        time: Duration,
    },
    Hup(String),
    /// Starts a node, under another's name, or as another version of the program.
    Start {
        node: String,
        name: Option<String>,
        program: Option<String>,
    },
    Stranger {
        to: Ends,
        a_second: u64,
        time: Duration,
    },
    Settled {
        within: Duration,
        sides: usize,
    },
    Sees {
        node: String,
        other: String,
        held: String,
        within: Duration,
    },
    /// Nodes are asked so often, with keys of this range where it is told.
    Load {
        to: Ends,
        a_second: u64,
        keys: Option<(u64, u64)>,
    },
    /// The service below dies, or has a trouble, for all or for a zone.
    Service {
        time: Duration,
        dies: bool,
        zone: Option<String>,
        slower: Duration,
        fails: f64,
    },
    /// A node holds this of what is shared.
    Holds {
        node: String,
        what: String,
        within: Duration,
    },
    /// Settings of this number are offered by way of a node, which takes them or turns them down.
    Offer {
        node: String,
        number: u64,
        change: String,
        turned_down: bool,
    },
    /// The change that is under way is halted, or taken back, by way of a node.
    EndChange {
        node: String,
        back: bool,
    },
    /// A node can write down nothing of its versions any more, or can again.
    Disk {
        node: String,
        full: bool,
    },
    /// All of these nodes that are up run settings of this number.
    Runs {
        to: Ends,
        number: u64,
        within: Duration,
    },
    /// All of these nodes that are up know that the change to this number has come to this, or as
    /// far as this stage.
    Change {
        to: Ends,
        number: u64,
        fate: String,
        stage: u32,
        within: Duration,
    },
    /// So much of the limit on calls is used.
    Used {
        over: Duration,
        least: f64,
        within: Duration,
    },
}

/// The service below, in a timetable.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Below {
    /// How long it works on a call.
    pub work: Duration,
    /// Calls in hand that it survives; any number if it is 0.
    pub survives: usize,
    /// How long it is down when it died, and how long it then takes to be warm.
    pub down: Duration,
    /// The same.
    pub warm: Duration,
    /// Whether nodes judge it together.
    pub judged: bool,
    /// Tries while it was down, over all nodes, at most.
    pub tries_most: Option<usize>,
    /// Whether calls, of all nodes together, must rise with it when it is back.
    pub slow_start: bool,
}

/// A limit by key of the whole fleet, in a timetable.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Keys {
    /// How many keys there are.
    pub count: u64,
    /// Of each key, a second, and so many saved.
    pub a_second: u32,
    /// The same.
    pub burst: u32,
    /// Of each key in hand.
    pub in_hand: u32,
    /// Of these, what is each node's own.
    pub floor: u32,
}

/// A step of a timetable.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When, from the start.
    pub at: Duration,
    /// What.
    pub action: Action,
}

/// A timetable.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    /// What it shows.
    pub name: String,
    /// Chance on the links.
    pub seed: u64,
    /// How many nodes.
    pub nodes: usize,
    /// How many zones.
    pub zones: usize,
    /// Nodes that are not started with the others.
    pub absent: Vec<String>,
    /// Requests a second to each node.
    pub load: u64,
    /// Connections by which a node is asked.
    pub callers: u64,
    /// A budget of calls below for all nodes together; none if it is 0.
    pub calls_a_second: u32,
    /// One of calls in hand, and one of calls that repeat another.
    pub calls_in_hand: u32,
    /// The same.
    pub repeats_a_second: u32,
    /// What of the budgets is each node's own.
    pub floor: u32,
    /// The service below.
    pub below: Below,
    /// A limit by key; none if there are no keys.
    pub keys: Keys,
    /// Nodes with little memory, which take only small files of settings.
    pub small: Vec<String>,
    /// How changes go out, as the settings have it, if they go out in stages.
    pub rollout: Option<String>,
    /// How long it takes.
    pub time: Duration,
    /// Periods of the fleet, as its settings have them.
    pub periods: Vec<(String, String)>,
    /// The steps, in the order of their times.
    pub steps: Vec<Step>,
}

/// An element as text again: what is in it is for another schema.
fn again(element: &Element) -> String {
    let attributes: String = element
        .attributes
        .iter()
        .map(|a| format!(" {}=\"{}\"", a.name, a.value.value))
        .collect();
    let children: String = element.children.iter().map(again).collect();
    format!(
        "<{}{attributes}>{children}</{}>",
        element.name, element.name
    )
}

fn text<'e>(element: &'e Element, name: &str) -> Option<&'e str> {
    element.get(name).map(|text| text.value.as_str())
}

fn span(element: &Element, name: &str) -> Option<Duration> {
    let nanos = time::span(text(element, name)?)?;
    u64::try_from(nanos).ok().map(Duration::from_nanos)
}

fn share(element: &Element, name: &str) -> f64 {
    text(element, name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0.0)
}

fn number(element: &Element, name: &str) -> Option<u64> {
    text(element, name)?.parse().ok()
}

fn is(element: &Element, name: &str) -> bool {
    text(element, name) == Some("yes")
}

fn action(element: &Element) -> Option<Action> {
    let node = || text(element, "node").unwrap_or_default().to_owned();
    let time = || span(element, "for");
    let ends = |name| text(element, name).map_or(Ends::All, Ends::read);
    Some(match element.name.as_str() {
        "link" => {
            let fault = Fault {
                cut: is(element, "cut"),
                hold: is(element, "hold"),
                loss: share(element, "loss"),
                double: share(element, "double"),
                damage: share(element, "damage"),
                reorder: share(element, "reorder"),
                delay: span(element, "delay").unwrap_or_default(),
                jitter: span(element, "jitter").unwrap_or_default(),
                bytes_a_second: number(element, "bytes-a-second"),
            };
            let on = match text(element, "on") {
                Some("load") => Links::Load,
                Some("kernel") => Links::Kernel,
                Some("backend") => Links::Backend,
                Some("members") => Links::Members,
                _ => Links::Fleet,
            };
            let faulty = Faulty {
                on,
                from: ends("from"),
                to: ends("to"),
                both: is(element, "both"),
                fault,
            };
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
        "stranger" => Action::Stranger {
            to: ends("to"),
            a_second: number(element, "a-second")?,
            time: time()?,
        },
        "settled" => Action::Settled {
            within: span(element, "within")?,
            sides: number(element, "sides").map_or(1, |n| n as usize),
        },
        "load" => Action::Load {
            to: ends("to"),
            a_second: number(element, "a-second")?,
            keys: text(element, "keys").and_then(|text| {
                let (first, last) = text.split_once('-')?;
                Some((first.parse().ok()?, last.parse().ok()?))
            }),
        },
        "service" => Action::Service {
            time: time()?,
            dies: is(element, "dies"),
            zone: text(element, "zone").map(str::to_owned),
            slower: span(element, "slower").unwrap_or_default(),
            fails: share(element, "fails"),
        },
        "holds" => Action::Holds {
            node: node(),
            what: text(element, "what")?.to_owned(),
            within: span(element, "within")?,
        },
        "offer" => Action::Offer {
            node: node(),
            number: number(element, "number")?,
            change: text(element, "change")?.to_owned(),
            turned_down: is(element, "turned-down"),
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
            full: is(element, "full"),
        },
        "runs" => Action::Runs {
            to: ends("to"),
            number: number(element, "number")?,
            within: span(element, "within")?,
        },
        "change" => Action::Change {
            to: ends("to"),
            number: number(element, "number")?,
            fate: text(element, "fate").unwrap_or_default().to_owned(),
            stage: number(element, "stage").unwrap_or(0) as u32,
            within: span(element, "within")?,
        },
        "used" => Action::Used {
            over: span(element, "over")?,
            least: share(element, "least"),
            within: span(element, "within")?,
        },
        "sees" => Action::Sees {
            node: node(),
            other: text(element, "other")?.to_owned(),
            held: text(element, "held")?.to_owned(),
            within: span(element, "within")?,
        },
        _ => return None,
    })
}

/// Reads a timetable's text; tells all that is wrong with its lines.
pub fn read(file: &str, whole: &str) -> Result<Script, Complaints> {
    let complaints = |all| Complaints::new(file, whole, all);
    let root = xml::read(whole).map_err(|e| complaints(vec![e]))?;
    let at = |place, what: String, expected: &str| Complaint {
        place,
        field: "script".into(),
        what,
        expected: expected.into(),
    };
    let schema =
        Schema::read(SCHEMA).map_err(|e| complaints(vec![at(Place::Whole, e, "a schema")]))?;
    let mut wrong = schema.check(&root);
    if !wrong.is_empty() {
        return Err(complaints(wrong));
    }
    let words = |name| {
        text(&root, name).map_or(Vec::new(), |t| {
            t.split_whitespace().map(str::to_owned).collect()
        })
    };
    let mut script = Script {
        name: text(&root, "name").unwrap_or_default().to_owned(),
        seed: number(&root, "seed").unwrap_or(1),
        nodes: number(&root, "nodes").unwrap_or(1) as usize,
        zones: number(&root, "zones").unwrap_or(1) as usize,
        absent: words("absent"),
        load: number(&root, "load").unwrap_or(0),
        callers: number(&root, "callers").unwrap_or(1),
        calls_a_second: number(&root, "calls-a-second").unwrap_or(0) as u32,
        calls_in_hand: number(&root, "calls-in-hand").unwrap_or(0) as u32,
        repeats_a_second: number(&root, "repeats-a-second").unwrap_or(0) as u32,
        below: Below::default(),
        keys: Keys::default(),
        floor: number(&root, "floor").unwrap_or(1) as u32,
        small: words("small"),
        rollout: root.one("rollout").map(again),
        time: span(&root, "time").unwrap_or_default(),
        periods: Vec::new(),
        steps: Vec::new(),
    };
    if script.nodes > NODES_MAX {
        wrong.push(at(
            Place::At(root.at),
            format!("{} nodes", script.nodes),
            "64 at most",
        ));
    }
    if let Some(periods) = root.one("periods") {
        script.periods = periods
            .attributes
            .iter()
            .map(|a| (a.name.clone(), a.value.value.clone()))
            .collect();
    }
    if let Some(below) = root.one("below") {
        script.below = Below {
            work: span(below, "work").unwrap_or_default(),
            survives: number(below, "survives").unwrap_or(0) as usize,
            down: span(below, "down").unwrap_or(Duration::from_secs(2)),
            warm: span(below, "warm").unwrap_or(Duration::from_secs(3)),
            judged: is(below, "judged"),
            tries_most: number(below, "tries-most").map(|n| n as usize),
            slow_start: is(below, "slow-start"),
        };
    }
    if let Some(keys) = root.one("keys") {
        let number = |name: &str| number(keys, name).unwrap_or(0) as u32;
        script.keys = Keys {
            count: u64::from(number("count")),
            a_second: number("a-second"),
            burst: number("burst").max(1),
            in_hand: number("in-hand"),
            floor: number("floor"),
        };
    }
    let known = |name: &str| {
        name.strip_prefix('n')
            .and_then(|n| n.parse::<usize>().ok())
            .is_some_and(|n| n < script.nodes)
    };
    for step in root.all("step").filter_map(|step| step.children.first()) {
        let (time, action) = (span(step, "at"), action(step));
        let (Some(time), Some(action)) = (time, action) else {
            wrong.push(at(
                Place::At(step.at),
                format!("<{}> can't be read", step.name),
                "what the schema shows",
            ));
            continue;
        };
        let named = ["node", "other"]
            .into_iter()
            .filter_map(|name| text(step, name));
        if let Some(stranger) = named.into_iter().find(|name| !known(name)) {
            let most = format!("n0 to n{}", script.nodes - 1);
            wrong.push(at(
                Place::At(step.at),
                format!("there is no node {stranger}"),
                &most,
            ));
        }
        script.steps.push(Step { at: time, action });
    }
    script.steps.sort_by_key(|step| step.at);
    if wrong.is_empty() {
        Ok(script)
    } else {
        Err(complaints(wrong))
    }
}

#[cfg(test)]
mod tests;
