//! Runs a fault scenario file against a simulated cluster: applies link faults, crashes, pauses and
//! restarts at their scheduled times, and checks that each expectation is met within its time.

use super::duration::{MILLISECOND, parse_duration};
use madderpoint_membership::Nanos;
use madderpoint_membership::member_table::MemberTable;
use madderpoint_membership::simulation::{SimulatedNode, Simulation, SimulationConfig};
use madderpoint_settings::scenario::{Action, LinkFault, Scenario, Step};
use std::time::Duration;

/// Simulated time between two checks of an expectation that is not yet met, in nanoseconds.
const CHECK_INTERVAL: Nanos = 20 * MILLISECOND;

/// A condition on the simulated cluster.
type Condition = Box<dyn Fn(&Simulation) -> bool>;

/// A condition that the simulated cluster must meet within a time, in nanoseconds from the start of
/// the step that states the condition.
struct Expectation {
    within: Nanos,
    condition: Condition,
}

/// A link fault that is in force.
struct ActiveFault {
    link_fault: LinkFault,
    /// Simulated time at which the fault ends; `None` if it lasts until the links are healed.
    ends: Option<Nanos>,
}

/// A scenario in progress: the simulated cluster and the link faults in force.
struct ScenarioRun {
    simulation: Simulation,
    faults: Vec<ActiveFault>,
}

/// Runs a scenario with `members` members, or with the scenario's own number if that is larger,
/// and prints each step. Returns whether all expectations were met.
pub fn play(scenario: &Scenario, members: usize, loss: f64, stalling: f64) -> bool {
    let mut run = ScenarioRun::new(scenario, members, loss, stalling);
    let start = run.simulation.now;
    let mut is_good = true;
    for step in &scenario.steps {
        run.run_to(start + nanos(step.at));
        let at_s = step.at.as_secs_f64();
        if !is_simulated(&step.action) {
            println!(
                "{at_s:>8.2} s  {:?}: skipped, not supported in simulation",
                step.action
            );
        }
        match run.expectation(&step.action) {
            Some(expectation) => is_good &= run.await_expectation(step, &expectation),
            None => {
                run.act(&step.action);
                println!("{at_s:>8.2} s  {:?}", step.action);
            }
        }
    }
    is_good
}

impl ScenarioRun {
    fn new(scenario: &Scenario, members: usize, loss: f64, stalling: f64) -> ScenarioRun {
        let members = members.max(scenario.nodes);
        let mut config = SimulationConfig {
            members,
            zones: scenario.zones,
            loss,
            stalling,
            seed: scenario.seed,
            ..SimulationConfig::default()
        };
        for (name, value) in &scenario.periods {
            let Ok(time) = parse_duration(value) else {
                continue;
            };
            match name.as_str() {
                "probe" => config.timing.probe = time,
                "answer" => config.timing.probe_timeout = time,
                "gossip" => config.timing.gossip = time,
                "regain" => config.timing.probe_dead = time,
                _ => {}
            }
        }
        let mut simulation = Simulation::new(config);
        (0..members)
            .filter(|n| !scenario.absent.contains(&format!("n{n}")))
            .for_each(|n| simulation.start(n));
        let faults = Vec::new();
        ScenarioRun { simulation, faults }
    }

    /// Runs the simulation until a simulated time, and ends each link fault at its own time on the
    /// way.
    fn run_to(&mut self, until: Nanos) {
        while let Some(ends) = self
            .faults
            .iter()
            .filter_map(|fault| fault.ends)
            .filter(|ends| *ends <= until)
            .min()
        {
            self.simulation
                .run(ends.saturating_sub(self.simulation.now));
            self.faults.retain(|fault| fault.ends != Some(ends));
            self.apply_faults();
        }
        self.simulation
            .run(until.saturating_sub(self.simulation.now));
    }

    /// Returns the expectation that an action states, or `None` for other actions.
    fn expectation(&self, action: &Action) -> Option<Expectation> {
        match action {
            Action::Settled { within, sides } => {
                let sides = *sides;
                Some(Expectation {
                    within: nanos(*within),
                    condition: Box::new(move |simulation| is_settled_in_groups(simulation, sides)),
                })
            }
            Action::Sees {
                node,
                other,
                liveness: held,
                within,
            } => {
                let (node, held) = (self.index(node), held.clone());
                let key = self.simulation.nodes[self.index(other)].key;
                let condition = move |simulation: &Simulation| {
                    let membership = simulation.nodes[node].membership.as_ref();
                    let liveness = membership.map(|membership| {
                        let entry = membership.member_table().get(key);
                        entry.map_or("unknown", |entry| entry.liveness().as_str())
                    });
                    liveness == Some(held.as_str())
                };
                Some(Expectation {
                    within: nanos(*within),
                    condition: Box::new(condition),
                })
            }
            _ => None,
        }
    }

    /// Runs the simulation until an expectation is met or its time has passed, and prints the
    /// result. Returns whether the expectation is met.
    fn await_expectation(&mut self, step: &Step, expectation: &Expectation) -> bool {
        let from = self.simulation.now;
        let until = from + expectation.within;
        while !(expectation.condition)(&self.simulation) && self.simulation.now < until {
            self.run_to((self.simulation.now + CHECK_INTERVAL).min(until));
        }
        let holds = (expectation.condition)(&self.simulation);
        println!(
            "{:>8.2} s  {:?}: {} after {:.2} s",
            step.at.as_secs_f64(),
            step.action,
            if holds { "held" } else { "DID NOT HOLD" },
            (self.simulation.now - from) as f64 / 1e9
        );
        holds
    }

    /// Applies or heals a fault. Actions that the simulation does not support have no effect.
    fn act(&mut self, action: &Action) {
        match action {
            Action::Link { faulty, time } => {
                let (faulty, now) = (faulty.clone(), self.simulation.now);
                let ends = time.map(|time| now + nanos(time));
                self.faults.push(ActiveFault {
                    link_fault: faulty,
                    ends,
                });
                self.apply_faults();
            }
            Action::Heal => {
                self.faults.clear();
                self.simulation.heal();
            }
            Action::Kill(node) => self.simulation.crash(self.index(node)),
            Action::Stop(node) => self.simulation.leave(self.index(node)),
            Action::Pause { node, time } => self.simulation.pause(self.index(node), nanos(*time)),
            Action::Start { node, .. } => self.simulation.start(self.index(node)),
            _ => {}
        }
    }

    /// Sets loss, delay and cuts of the simulated links from the link faults in force.
    fn apply_faults(&mut self) {
        let faults: Vec<LinkFault> = self.faults.iter().map(|f| f.link_fault.clone()).collect();
        let cuts: Vec<LinkFault> = faults
            .iter()
            .filter(|faulty| faulty.fault.cut || faulty.fault.hold)
            .cloned()
            .collect();
        self.simulation
            .cut(move |from, to| cuts.iter().any(|faulty| affects(faulty, from, to)));
        self.simulation.degrade_links(move |from, to| {
            let affecting = faults.iter().filter(|faulty| affects(faulty, from, to));
            affecting.fold((0.0, 0), |(loss, delay), faulty| {
                (
                    1.0 - (1.0 - loss) * (1.0 - faulty.fault.loss),
                    delay + nanos(faulty.fault.delay),
                )
            })
        });
    }

    /// Returns the index of a node by its name, which is `n` and a number.
    fn index(&self, name: &str) -> usize {
        name.trim_start_matches('n')
            .parse::<usize>()
            .unwrap_or(0)
            .min(self.simulation.nodes.len() - 1)
    }
}

fn nanos(duration: Duration) -> Nanos {
    duration.as_nanos() as Nanos
}

/// Returns whether the simulation supports an action. The other actions need real processes.
fn is_simulated(action: &Action) -> bool {
    match action {
        Action::Link { .. }
        | Action::Heal
        | Action::Kill(_)
        | Action::Stop(_)
        | Action::Pause { .. }
        | Action::Start { .. }
        | Action::Settled { .. }
        | Action::Sees { .. } => true,
        Action::Hup(_)
        | Action::UnauthenticatedDatagrams { .. }
        | Action::Load { .. }
        | Action::Service { .. }
        | Action::Holds { .. }
        | Action::Offer { .. }
        | Action::EndChange { .. }
        | Action::Disk { .. }
        | Action::Runs { .. }
        | Action::Change { .. }
        | Action::Used { .. } => false,
    }
}

/// Returns whether a fault applies to the link from one node to another.
fn affects(faulty: &LinkFault, from: &SimulatedNode, to: &SimulatedNode) -> bool {
    let (from_zone, to_zone) = (format!("z{}", from.zone), format!("z{}", to.zone));
    let forward = faulty.from.has(&from.name, &from_zone) && faulty.to.has(&to.name, &to_zone);
    let backward = faulty.from.has(&to.name, &to_zone) && faulty.to.has(&from.name, &from_zone);
    forward || faulty.both && backward
}

/// Returns whether the running members form the expected number of groups without a cut link
/// inside, and the member table of each lists exactly its group, with the same digest.
fn is_settled_in_groups(simulation: &Simulation, expected_groups: usize) -> bool {
    let mut ungrouped: Vec<usize> = (0..simulation.nodes.len())
        .filter(|&n| simulation.nodes[n].membership.is_some())
        .collect();
    let mut groups = 0;
    while let Some(first) = ungrouped.pop() {
        groups += 1;
        let group = take_group(simulation, first, &mut ungrouped);
        if !knows_exactly_itself(simulation, &group) {
            return false;
        }
    }
    groups == expected_groups
}

/// Removes from `ungrouped` the nodes that are connected to `first`, directly or through other
/// nodes, and returns them together with `first`.
fn take_group(simulation: &Simulation, first: usize, ungrouped: &mut Vec<usize>) -> Vec<usize> {
    let (mut group, mut index) = (vec![first], 0);
    while index < group.len() {
        let here = &simulation.nodes[group[index]];
        let is_connected = |n: &usize| {
            let there = &simulation.nodes[*n];
            !simulation.is_cut(here, there) && !simulation.is_cut(there, here)
        };
        let (connected, rest) = std::mem::take(ungrouped)
            .into_iter()
            .partition(is_connected);
        group.extend::<Vec<usize>>(connected);
        *ungrouped = rest;
        index += 1;
    }
    group
}

/// Returns whether the member tables of a group are equal and list exactly the group's members as
/// present.
fn knows_exactly_itself(simulation: &Simulation, group: &[usize]) -> bool {
    let tables = || {
        group
            .iter()
            .filter_map(|&n| simulation.nodes[n].membership.as_ref())
            .map(|membership| membership.member_table())
    };
    let Some(digest) = tables().next().map(|table| table.digest()) else {
        return true;
    };
    let is_whole = |table: &MemberTable| {
        let is_present = |&n: &usize| {
            table
                .get(simulation.nodes[n].key)
                .is_some_and(|entry| entry.liveness().is_present())
        };
        table.digest() == digest
            && table.counts().present() == group.len()
            && group.iter().all(is_present)
    };
    tables().all(is_whole)
}
