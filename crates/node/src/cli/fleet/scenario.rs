//! Plays a fault scenario file against a simulated cluster: link faults, crashes, pauses and
//! restarts at their times, and expectations that must come to hold within theirs.

use super::duration::{MILLISECOND, parse_duration};
use madderpoint_membership::Nanos;
use madderpoint_membership::member_table::MemberTable;
use madderpoint_membership::simulation::{SimulatedNode, Simulation, SimulationConfig};
use madderpoint_settings::scenario::{Action, LinkFault, Scenario, Step};
use std::time::Duration;

/// Simulated time between two checks of an expectation, in nanoseconds.
const CHECK_INTERVAL: Nanos = 20 * MILLISECOND;

/// A condition on the simulated cluster.
type Condition = Box<dyn Fn(&Simulation) -> bool>;

/// A condition that must come to hold in time.
struct Expectation {
    within: Nanos,
    condition: Condition,
}

/// A link fault in force, and when it ends; never if none.
struct ActiveFault {
    link_fault: LinkFault,
    ends: Option<Nanos>,
}

/// A simulated cluster with the link faults that are in force.
struct ScenarioRun {
    simulation: Simulation,
    faults: Vec<ActiveFault>,
}

/// Plays a scenario with at least `members` members, and prints each step; true if all its
/// expectations held.
pub fn play(scenario: &Scenario, members: usize, loss: f64, stalling: f64) -> bool {
    let mut run = ScenarioRun::new(scenario, members, loss, stalling);
    let begun = run.simulation.now;
    let mut is_good = true;
    for step in &scenario.steps {
        run.run_to(begun + nanos(step.at));
        let at_s = step.at.as_secs_f64();
        if !is_simulated(&step.action) {
            println!("{at_s:>8.2} s  {:?}: only the rig plays that", step.action);
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

    /// Runs until a time. Faults end at theirs, whatever is waited for meanwhile.
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

    /// What an action expects; none if it is no expectation.
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

    /// Runs until an expectation holds or its time is over, and prints which; true if it holds.
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

    /// Makes or heals a fault; other actions do nothing.
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

    /// Sets loss, delay and cuts of the simulated links by the faults in force.
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

    /// The index of a node by its name, `n` and a number.
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

/// Whether a simulated cluster can play an action. Others need processes.
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

/// Whether a fault is on the link from one node to another.
fn affects(faulty: &LinkFault, from: &SimulatedNode, to: &SimulatedNode) -> bool {
    let (from_zone, to_zone) = (format!("z{}", from.zone), format!("z{}", to.zone));
    let forward = faulty.from.has(&from.name, &from_zone) && faulty.to.has(&to.name, &to_zone);
    let backward = faulty.from.has(&to.name, &to_zone) && faulty.to.has(&from.name, &from_zone);
    forward || faulty.both && backward
}

/// Whether the members that are up are in this many groups without a cut inside, and each member
/// knows exactly its group, with one digest.
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

/// Takes the nodes that are connected to the first one, directly or through others.
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

/// Whether the member tables of a group are equal and have just the group present.
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
