//! Fault scenarios: faults, load and expectations, each at a time since the start. A scenario is an
//! XML file that is validated against a schema, like the settings. The fault scenario runner
//! executes scenarios on processes, and `fleet simulate` on a simulated cluster.

mod parse;

pub use parse::read;

use std::time::Duration;

/// Schema of scenario files, in the directory of this package.
pub(crate) const SCHEMA: &str = include_str!("../scenario.xsd");
/// Maximum number of nodes of a scenario.
pub const NODES_MAX: usize = 64;

/// The kind of links that a fault applies to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkKind {
    /// Links between nodes.
    #[default]
    Fleet,
    /// Links between load balancers and a node.
    Load,
    /// The link between a node and its executor.
    Kernel,
    /// Links between a node and its backend.
    Backend,
    /// The link between a node and the service registry.
    Members,
}

/// A selection of nodes: one end of links, or the target of an action or expectation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum NodeSelector {
    /// All nodes.
    #[default]
    All,
    /// The node with this name.
    Node(String),
    /// All nodes in this zone.
    Zone(String),
    /// All nodes outside this zone.
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

    /// Returns whether a node with this name in this zone is selected.
    pub fn has(&self, name: &str, zone: &str) -> bool {
        match self {
            NodeSelector::All => true,
            NodeSelector::Node(node) => node == name,
            NodeSelector::Zone(selected) => selected == zone,
            NodeSelector::NotZone(excluded) => excluded != zone,
        }
    }
}

/// The faults of a link. Shares of the traffic are from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fault {
    /// True if the links drop all traffic.
    pub cut: bool,
    /// True if the links hold back all traffic until the fault ends.
    pub hold: bool,
    /// Share of the traffic that is lost.
    pub loss: f64,
    /// Share of the traffic that is duplicated.
    pub double: f64,
    /// Share of the traffic in which a bit is flipped.
    pub damage: f64,
    /// Share of the traffic that later traffic overtakes.
    pub reorder: f64,
    /// Delay of all traffic.
    pub delay: Duration,
    /// Maximum of the random addition to the delay.
    pub jitter: Duration,
    /// Bandwidth, in bytes per second; unlimited if `None`.
    pub bytes_a_second: Option<u64>,
}

/// A fault with the links that it applies to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LinkFault {
    /// Kind of the links to which the fault applies.
    pub on: LinkKind,
    /// Sender of the affected traffic.
    pub from: NodeSelector,
    /// Receiver of the affected traffic.
    pub to: NodeSelector,
    /// True if the traffic from `to` to `from` is affected as well.
    pub both: bool,
    /// Loss, delay and other faults of the affected traffic.
    pub fault: Fault,
}

/// An action or an expectation of a step. `docs/operators/rig.md` has a table of them. Nodes are
/// given by their names.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Applies a fault to links.
    Link {
        /// Links and their fault.
        faulty: LinkFault,
        /// Duration of the fault; until the next [`Action::Heal`] if `None`.
        time: Option<Duration>,
    },
    /// Removes all faults from the links.
    Heal,
    /// Kills a node (SIGKILL).
    Kill(String),
    /// Stops a node (SIGTERM), whose process must exit with success.
    Stop(String),
    /// Suspends the process of a node and resumes it (SIGSTOP, SIGCONT).
    Pause {
        /// Name of the node whose process is suspended.
        node: String,
        /// Time from the suspension of the process until it is resumed.
        time: Duration,
    },
    /// Makes a node reload its settings (SIGHUP).
    Hup(String),
    /// Starts a node, optionally under another name or with another version of the program.
    Start {
        /// Name of the node that is started.
        node: String,
        /// Name that the node takes, if not its own.
        name: Option<String>,
        /// Version of the program, if not the default one.
        program: Option<String>,
    },
    /// Sends datagrams that do not come from a member.
    UnauthenticatedDatagrams {
        /// Nodes that receive the datagrams.
        to: NodeSelector,
        /// Number of datagrams per second to each node.
        a_second: u64,
        /// Time for which the datagrams are sent.
        time: Duration,
    },
    /// Expects that the nodes that reach each other agree on the members.
    Settled {
        /// Maximum time until the expectation is met.
        within: Duration,
        /// Number of groups of nodes that do not reach each other.
        sides: usize,
    },
    /// Expects that a node considers another node to have a given liveness.
    Sees {
        /// Name of the node whose view of the members is checked.
        node: String,
        /// Name of the node whose liveness is checked.
        other: String,
        /// Liveness, as status commands print it.
        liveness: String,
        /// Maximum time until the expectation is met.
        within: Duration,
    },
    /// Changes the rate and the keys of the requests to nodes.
    Load {
        /// Nodes that receive the requests.
        to: NodeSelector,
        /// Number of requests per second to each node.
        a_second: u64,
        /// First and last of the keys that the requests carry; unchanged if `None`.
        keys: Option<(u64, u64)>,
    },
    /// Kills the backend service, or makes it slow or failing, for all nodes or for one zone.
    Service {
        /// Time for which the service is down, slow or failing.
        time: Duration,
        /// True if the service is down for `time`, instead of being slow or failing. `zone`,
        /// `slower` and `fails` then have no effect.
        dies: bool,
        /// Zone whose nodes find the service slow or failing; all zones if `None`.
        zone: Option<String>,
        /// Additional delay of the service's answers.
        slower: Duration,
        /// Share of calls that fail, from 0 to 1.
        fails: f64,
    },
    /// Expects a condition of the shared state that a node shows.
    Holds {
        /// Name of the node whose status is checked.
        node: String,
        /// Condition, by its name in the schema (type `held`).
        what: String,
        /// Maximum time until the expectation is met.
        within: Duration,
    },
    /// Offers settings to a node, which accepts or rejects them.
    Offer {
        /// Name of the node that receives the settings.
        node: String,
        /// Version number of the offered settings.
        number: u64,
        /// Change that the settings make, by its name in the schema (type `offered`).
        change: String,
        /// True if the node must reject the settings; false if it must accept them.
        turned_down: bool,
    },
    /// Halts or rolls back the rollout in progress by a command to a node.
    EndChange {
        /// Name of the node that receives the command.
        node: String,
        /// True if the command rolls the rollout back; false if it halts the rollout.
        back: bool,
    },
    /// Makes writes of a node's persisted state fail, or succeed again.
    Disk {
        /// Name of the node whose writes are affected.
        node: String,
        /// True if writes fail from now on, as on a full disk; false if they succeed again.
        full: bool,
    },
    /// Expects that all selected nodes that are up run the settings with a number.
    Runs {
        /// Nodes that must run the settings.
        to: NodeSelector,
        /// Version number of the settings that must run.
        number: u64,
        /// Maximum time until the expectation is met.
        within: Duration,
    },
    /// Expects that all selected nodes that are up know that a rollout has an outcome, or has
    /// reached a stage.
    Change {
        /// Nodes that must know the outcome or the stage.
        to: NodeSelector,
        /// Version number of the settings that are rolled out.
        number: u64,
        /// Required outcome, as status commands print it; any outcome if empty.
        fate: String,
        /// Number of the stage that the rollout must at least have reached; 0 if any.
        stage: u32,
        /// Maximum time until the expectation is met.
        within: Duration,
    },
    /// Expects that at least a share of the limit on backend calls is used.
    Used {
        /// Time over which the use is measured.
        over: Duration,
        /// Minimum share of the limit that must be used, from 0 to 1.
        least: f64,
        /// Maximum time until the expectation is met.
        within: Duration,
    },
}

/// The backend service of a scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendModel {
    /// Time that the service takes for a call.
    pub work: Duration,
    /// Maximum number of calls in flight that the service survives when warm; unlimited if 0.
    pub survives: usize,
    /// Time for which the service is down after it has died.
    pub down: Duration,
    /// Time after a restart during which the service warms up and survives fewer calls in flight.
    pub warm: Duration,
    /// True if the nodes judge the health of the service together, by the calls of all nodes.
    pub judged: bool,
    /// Maximum number of calls that all nodes may attempt while the service is down; not checked if
    /// `None`.
    pub tries_most: Option<usize>,
    /// True if the scenario requires that the calls of all nodes together ramp up after the service
    /// has recovered.
    pub slow_start: bool,
}

/// A keyed quota of the whole cluster in a scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KeyedLimit {
    /// Number of keys; no quota if 0.
    pub count: u64,
    /// Limit on requests of each key per second; none if 0.
    pub a_second: u32,
    /// Maximum number of requests of a key that are admitted at once after a pause, at least 1.
    pub burst: u32,
    /// Limit on requests of each key in flight; none if 0.
    pub max_in_flight: u32,
    /// Units of each limit that are the guaranteed floor of each node.
    pub floor: u32,
}

/// An action or expectation with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time since the start of the scenario.
    pub at: Duration,
    /// Action to perform, or expectation to check, at that time.
    pub action: Action,
}

/// A fault scenario, as read from its file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: String,
    /// Seed of the random faults of the links.
    pub seed: u64,
    /// Number of nodes, at most [`NODES_MAX`].
    pub nodes: usize,
    /// Number of zones over which the nodes are spread.
    pub zones: usize,
    /// Names of the nodes that are not started at the beginning.
    pub absent: Vec<String>,
    /// Mean number of requests per second to each node.
    pub load: u64,
    /// Number of connections over which each node receives its requests.
    pub callers: u64,
    /// Budget of backend calls per second for all nodes together; none if 0.
    pub calls_a_second: u32,
    /// Budget of backend calls in flight for all nodes together; none if 0.
    pub max_calls_in_flight: u32,
    /// Budget of retries per second for all nodes together; none if 0.
    pub retries_a_second: u32,
    /// Units of each budget that are the guaranteed floor of each node.
    pub floor: u32,
    /// Behaviour of the backend service.
    pub backend: BackendModel,
    /// Keyed quota of the cluster; none if its number of keys is 0.
    pub keys: KeyedLimit,
    /// Names of the nodes with little memory, which accept only small settings files.
    pub small: Vec<String>,
    /// XML text of the element `<rollout>` in the settings of the nodes, if rollouts go in stages.
    pub rollout: Option<String>,
    /// Duration of the scenario.
    pub time: Duration,
    /// Names and values of the attributes of `<periods>` in the settings of the nodes.
    pub periods: Vec<(String, String)>,
    /// Steps in the order of their times.
    pub steps: Vec<Step>,
}

#[cfg(test)]
mod tests;
