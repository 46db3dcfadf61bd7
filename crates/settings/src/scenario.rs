//! Scenarios: timetables of faults with what must hold. XML files, checked by a schema like the
//! settings; played by the fault scenario runner against processes, and by `fleet simulate` against
//! a simulated cluster.

mod parse;

pub use parse::read;

use std::time::Duration;

/// The schema, which lies beside this package's manifest.
pub(crate) const SCHEMA: &str = include_str!("../scenario.xsd");
/// The most nodes of a scenario.
pub const NODES_MAX: usize = 64;

/// A kind of links.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkKind {
    /// Between nodes.
    #[default]
    Fleet,
    /// Load balancers and a node.
    Load,
    /// A node and its executor.
    Kernel,
    /// A node and its backend.
    Backend,
    /// A node and the service registry.
    Members,
}

/// Which nodes: one end of links, or where something is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum NodeSelector {
    /// Any node.
    #[default]
    All,
    /// This node.
    Node(String),
    /// Any node in this zone.
    Zone(String),
    /// Any node that is not in this zone.
    NotZone(String),
}

impl NodeSelector {
    fn read(text: &str) -> NodeSelector {
        match text {
            "all" => NodeSelector::All,
            text => match (text.strip_prefix("zone:"), text.strip_prefix("not-zone:")) {
                (Some(zone), _) => NodeSelector::Zone(zone.to_owned()),
                (_, Some(zone)) => NodeSelector::NotZone(zone.to_owned()),
                _ => NodeSelector::Node(text.to_owned()),
            },
        }
    }

    /// Whether a node of this name and zone is selected.
    pub fn has(&self, name: &str, zone: &str) -> bool {
        match self {
            NodeSelector::All => true,
            NodeSelector::Node(node) => node == name,
            NodeSelector::Zone(of) => of == zone,
            NodeSelector::NotZone(of) => of != zone,
        }
    }
}

/// What is wrong with a link. Shares are from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fault {
    /// Nothing passes.
    pub cut: bool,
    /// Traffic waits until the fault is over.
    pub hold: bool,
    /// The share that is lost.
    pub loss: f64,
    /// The share that is duplicated.
    pub double: f64,
    /// The share with a flipped bit.
    pub damage: f64,
    /// The share that later traffic overtakes.
    pub reorder: f64,
    /// By how much all traffic is delayed.
    pub delay: Duration,
    /// The most that is added to the delay at random.
    pub jitter: Duration,
    /// The bandwidth, in bytes a second; unlimited if `None`.
    pub bytes_a_second: Option<u64>,
}

/// A link with a fault.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkFault {
    /// The kind of links.
    pub on: LinkKind,
    /// From where.
    pub from: NodeSelector,
    /// To where.
    pub to: NodeSelector,
    /// Whether the other direction too.
    pub both: bool,
    /// What is wrong.
    pub fault: Fault,
}

/// What is done at a step, or must hold then; `docs/operators/rig.md` has a table of them. Nodes
/// are
/// given by their names.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Puts a fault on links.
    Link {
        /// Which links, and what is wrong with them.
        faulty: LinkFault,
        /// For how long; until the links are healed if `None`.
        time: Option<Duration>,
    },
    /// Takes all faults off the links.
    Heal,
    /// Kills a node (SIGKILL).
    Kill(String),
    /// Stops a node (SIGTERM); it must end well.
    Stop(String),
    /// Stops a node's process and continues it (SIGSTOP, SIGCONT).
    Pause {
        /// The node.
        node: String,
        /// For how long.
        time: Duration,
    },
    /// Has a node read its settings again (SIGHUP).
    Hup(String),
    /// Starts a node, under another's name, or as another version of the program.
    Start {
        /// The node.
        node: String,
        /// The name that it takes, if not its own.
        name: Option<String>,
        /// The version of the program, if not the usual one.
        program: Option<String>,
    },
    /// Sends datagrams that no member sent.
    UnauthenticatedDatagrams {
        /// To these nodes.
        to: NodeSelector,
        /// How many in a second.
        a_second: u64,
        /// For how long.
        time: Duration,
    },
    /// The nodes agree on who is a member.
    Settled {
        /// At the latest after this.
        within: Duration,
        /// In how many groups that do not reach each other.
        sides: usize,
    },
    /// A node sees another with this liveness.
    Sees {
        /// The node.
        node: String,
        /// The other node.
        other: String,
        /// The liveness, as status commands print it.
        liveness: String,
        /// At the latest after this.
        within: Duration,
    },
    /// Sends requests to nodes.
    Load {
        /// To these nodes.
        to: NodeSelector,
        /// How many in a second.
        a_second: u64,
        /// The first and the last of the keys that they carry, if only some do.
        keys: Option<(u64, u64)>,
    },
    /// The backend service dies or has a fault, for all nodes or for a zone.
    Service {
        /// For how long.
        time: Duration,
        /// Whether it dies.
        dies: bool,
        /// The zone; all if `None`.
        zone: Option<String>,
        /// By how much its answers are later.
        slower: Duration,
        /// The share of calls that fail.
        fails: f64,
    },
    /// A node shows this of the shared state.
    Holds {
        /// The node.
        node: String,
        /// What it shows.
        what: String,
        /// At the latest after this.
        within: Duration,
    },
    /// Settings of this number are offered to a node, which takes or rejects them.
    Offer {
        /// The node.
        node: String,
        /// The number of the settings.
        number: u64,
        /// What the settings change.
        change: String,
        /// Whether the node rejects them.
        turned_down: bool,
    },
    /// The rollout in progress is halted or rolled back by a command to a node.
    EndChange {
        /// The node.
        node: String,
        /// Whether it is rolled back.
        back: bool,
    },
    /// A node can't write its persisted state any more, or can again.
    Disk {
        /// The node.
        node: String,
        /// Whether its disk is full.
        full: bool,
    },
    /// All of these nodes that are up run settings of this number.
    Runs {
        /// The nodes.
        to: NodeSelector,
        /// The number of the settings.
        number: u64,
        /// At the latest after this.
        within: Duration,
    },
    /// All of these nodes that are up know that the rollout of this number has this outcome, or has
    /// reached this stage.
    Change {
        /// The nodes.
        to: NodeSelector,
        /// The number of the rollout's settings.
        number: u64,
        /// The outcome, as status commands print it.
        fate: String,
        /// The stage.
        stage: u32,
        /// At the latest after this.
        within: Duration,
    },
    /// At least this share of the limit on calls is used.
    Used {
        /// Measured over this time.
        over: Duration,
        /// The share, from 0 to 1.
        least: f64,
        /// At the latest after this.
        within: Duration,
    },
}

/// The backend service of a scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendModel {
    /// How long it works on a call.
    pub work: Duration,
    /// The most calls in flight that it survives; any number if 0.
    pub survives: usize,
    /// How long it is down when it has died.
    pub down: Duration,
    /// How long it then warms up.
    pub warm: Duration,
    /// Whether nodes judge its health together.
    pub judged: bool,
    /// The most attempts of all nodes while it was down.
    pub tries_most: Option<usize>,
    /// Whether the calls of all nodes together must ramp up when it is back.
    pub slow_start: bool,
}

/// A keyed quota of the whole cluster in a scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KeyedLimit {
    /// How many keys there are.
    pub count: u64,
    /// Requests of each key in a second; no such limit if 0.
    pub a_second: u32,
    /// The most of them at once.
    pub burst: u32,
    /// Requests of each key in flight; no such limit if 0.
    pub max_in_flight: u32,
    /// The units of these that are each node's guaranteed floor.
    pub floor: u32,
}

/// A step of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When, since the start.
    pub at: Duration,
    /// What is done or must hold.
    pub action: Action,
}

/// A scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scenario {
    /// What it shows.
    pub name: String,
    /// The seed of the random draws on the links.
    pub seed: u64,
    /// How many nodes.
    pub nodes: usize,
    /// How many zones.
    pub zones: usize,
    /// Nodes that are not started with the others.
    pub absent: Vec<String>,
    /// Requests a second to each node.
    pub load: u64,
    /// Connections over which each node gets its requests.
    pub callers: u64,
    /// A budget of backend calls a second for all nodes together; none if 0.
    pub calls_a_second: u32,
    /// A budget of backend calls in flight; none if 0.
    pub max_calls_in_flight: u32,
    /// A budget of retries a second; none if 0.
    pub retries_a_second: u32,
    /// The units of the budgets that are each node's guaranteed floor.
    pub floor: u32,
    /// The backend service.
    pub backend: BackendModel,
    /// A keyed quota; none if there are no keys.
    pub keys: KeyedLimit,
    /// Nodes with little memory, which take only small settings files.
    pub small: Vec<String>,
    /// The element `<rollout>` of the nodes' settings, if rollouts go in stages.
    pub rollout: Option<String>,
    /// How long it takes.
    pub time: Duration,
    /// Attributes of `<periods>` in the nodes' settings: names and values.
    pub periods: Vec<(String, String)>,
    /// The steps, by their times.
    pub steps: Vec<Step>,
}

#[cfg(test)]
mod tests;
