//! The event queue of a simulated cluster, the handling of each event, and the windows of counts.

use super::host::ClusterView;
use super::{EPOCH_MS, SimulatedCluster, WAKE_INTERVAL};
use crate::host_error::HostError;
use crate::identifiers::{RolloutId, Version};
use crate::member::Member;
use crate::messages::{self, MAX_MESSAGE_BYTES};
use crate::persisted_state::{MAX_FILE_BYTES, PersistedState};
use crate::simulation::load::{NodeRun, WINDOW};
use crate::{MILLISECOND, Nanos, SECOND, splitmix64};
use rand::RngExt;
use std::rc::Rc;

/// Number of windows whose samples are kept.
const MAX_WINDOWS: usize = 8;

/// Delay after which the views of the other nodes show that a node became reachable or unreachable.
const DETECTION_DELAY: Nanos = 3 * SECOND;

/// An operation that a node has requested from its simulated host.
#[derive(Clone, Debug)]
pub(super) enum Task {
    Check {
        rollout: RolloutId,
        version: Version,
    },
    Persist {
        number: u64,
        persisted: Box<PersistedState>,
        content: Option<(Version, Vec<u8>)>,
    },
    Apply(Version),
}

/// An event that is delivered to a node at a set simulated time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Message { from: usize, bytes: Vec<u8> },
    Task(Task),
    Wake,
}

/// An event in the queue, ordered by simulated time and then by number.
pub(super) struct QueuedEvent {
    pub(super) at: Nanos,
    pub(super) number: u64,
    pub(super) node: usize,
    /// The process that the event is for, by its start number; `None` if the event is for any
    /// process of the node.
    pub(super) start_count: Option<u64>,
    pub(super) event: Event,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &QueuedEvent) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &QueuedEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &QueuedEvent) -> std::cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl SimulatedCluster {
    /// Runs the simulation for this long, in nanoseconds.
    pub fn run(&mut self, time: Nanos) {
        let until = self.now + time;
        self.advance(until, &|_| false);
    }

    /// Runs the simulation until the condition holds, but at most for `limit` nanoseconds; returns
    /// whether the condition holds. The condition is checked twice a second.
    pub fn run_until(
        &mut self,
        limit: Nanos,
        condition: impl Fn(&SimulatedCluster) -> bool,
    ) -> bool {
        let until = self.now + limit;
        self.advance(until, &condition)
    }

    fn advance(&mut self, until: Nanos, condition: &dyn Fn(&SimulatedCluster) -> bool) -> bool {
        loop {
            if self.now >= self.next_view_at {
                self.next_view_at = self.now + WAKE_INTERVAL;
                self.refresh_views();
                if condition(self) {
                    return true;
                }
            }
            let window_end = (self.next_window * (WINDOW / MILLISECOND)).saturating_sub(EPOCH_MS)
                * MILLISECOND
                + WINDOW;
            let next = self
                .queue
                .peek()
                .map_or(until, |queued| queued.at)
                .min(self.next_view_at)
                .min(window_end);
            if next >= until {
                self.now = until;
                return condition(self);
            }
            self.now = next;
            if self.now >= window_end {
                self.count_window();
                continue;
            }
            if self
                .queue
                .peek()
                .is_some_and(|queued| queued.at <= self.now)
                && let Some(queued) = self.queue.pop()
            {
                self.handle_event(queued);
            }
        }
    }

    pub(super) fn push(
        &mut self,
        delay: Nanos,
        node: usize,
        start_count: Option<u64>,
        event: Event,
    ) {
        self.events_queued += 1;
        self.queue.push(QueuedEvent {
            at: self.now + delay,
            number: self.events_queued,
            node,
            start_count,
            event,
        });
    }

    fn handle_event(&mut self, queued: QueuedEvent) {
        let QueuedEvent {
            node,
            start_count,
            event,
            ..
        } = queued;
        let target = &self.nodes[node];
        if target.participant.is_none()
            || start_count.is_some_and(|start_count| start_count != target.start_count)
        {
            return;
        }
        if target.paused {
            // A paused process receives its pending timers and results once it resumes. Messages
            // that arrive during the pause are dropped, as if socket buffers had overflowed.
            if !matches!(event, Event::Message { .. }) {
                self.push(SECOND, node, start_count, event);
            }
            return;
        }
        let (now, unix) = (self.now, self.unix_ms(node));
        match event {
            Event::Wake => {
                let cluster_view = self.cluster_view(self.nodes[node].side);
                if let Some(participant) = &mut self.nodes[node].participant {
                    participant.agent.host.cluster_view = cluster_view;
                    participant.wake(now, unix);
                }
                self.push(WAKE_INTERVAL, node, start_count, Event::Wake);
            }
            Event::Message { from, bytes } => {
                if self.nodes[from].side != self.nodes[node].side {
                    return;
                }
                let Some(message) = messages::decode(&bytes) else {
                    self.totals.violations.push(format!(
                        "a message of {} bytes cannot be decoded",
                        bytes.len()
                    ));
                    return;
                };
                let from = self.nodes[from].key;
                if let Some(participant) = &mut self.nodes[node].participant {
                    participant.handle_message(now, unix, from, message);
                }
            }
            Event::Task(task) => self.run_task(node, task),
        }
        self.dispatch(node);
    }

    fn run_task(&mut self, node: usize, task: Task) {
        let (now, unix) = (self.now, self.unix_ms(node));
        match task {
            Task::Check { rollout, version } => {
                let rejecting_share = self
                    .effects
                    .get(&version)
                    .map_or(0.0, |effect| effect.rejecting_share);
                let position =
                    (splitmix64(self.nodes[node].key ^ version.hash) % 10_000) as f64 / 10_000.0;
                let result = if position < rejecting_share {
                    Err(HostError::new("its limits are too small"))
                } else {
                    Ok(())
                };
                if result.is_ok() {
                    self.nodes[node].checked.insert(version);
                }
                if let Some(participant) = &mut self.nodes[node].participant {
                    participant.agent.check_finished(now, rollout, result);
                }
            }
            Task::Persist {
                number,
                persisted,
                content,
            } => {
                let target = &mut self.nodes[node];
                let result = if target.disk.full {
                    Err(HostError::new("no space left on device"))
                } else {
                    Ok(())
                };
                if result.is_ok() {
                    target.disk.persisted = persisted.encode();
                    target.disk.contents.extend(content);
                    if target.disk.persisted.len() > MAX_FILE_BYTES {
                        self.totals.violations.push(format!(
                            "the persisted state has {} bytes",
                            target.disk.persisted.len()
                        ));
                    }
                }
                if let Some(participant) = &mut target.participant {
                    participant.agent.persist_finished(now, number, result);
                }
            }
            Task::Apply(version) => {
                let target = &mut self.nodes[node];
                let known = target.disk.contents.contains_key(&version);
                let result = if known {
                    Ok(())
                } else {
                    Err(HostError::new("its content is not on disk"))
                };
                if result.is_ok() {
                    target.version_applied_at = now;
                }
                if let Some(participant) = &mut target.participant {
                    participant.agent.apply_finished(now, unix, version, result);
                }
            }
        }
    }

    /// Sends the messages and starts the operations that a node has queued, then checks the
    /// invariants.
    pub(super) fn dispatch(&mut self, node: usize) {
        let Some(participant) = &mut self.nodes[node].participant else {
            return;
        };
        let outbox = std::mem::take(&mut participant.agent.host.outbox);
        let tasks = std::mem::take(&mut participant.agent.host.tasks);
        let start_count = self.nodes[node].start_count;
        for task in tasks {
            if let Task::Apply(version) = &task {
                self.check_apply(node, *version);
            }
            let time = self.rng.random_range(MILLISECOND..20 * MILLISECOND);
            self.push(time, node, Some(start_count), Event::Task(task));
        }
        for (to, message) in outbox {
            let bytes = messages::encode(&message);
            self.totals.messages += 1;
            self.totals.bytes += bytes.len() as u64;
            if bytes.len() > MAX_MESSAGE_BYTES {
                self.totals.violations.push(format!(
                    "a message of {} bytes exceeds its bound",
                    bytes.len()
                ));
            }
            let Some(to) = self.keys.get(&to).copied() else {
                continue;
            };
            if self.nodes[to].side != self.nodes[node].side
                || self.rng.random_bool(self.config.loss)
            {
                continue;
            }
            let time = self.rng.random_range(MILLISECOND..10 * MILLISECOND);
            self.push(time, to, None, Event::Message { from: node, bytes });
        }
        self.check_invariants(node);
    }

    pub(super) fn cluster_view(&mut self, side: usize) -> Rc<ClusterView> {
        if self.cluster_views.is_empty() {
            self.refresh_views();
        }
        Rc::clone(&self.cluster_views[side])
    }

    /// Updates the nodes' view of the cluster, for either side of a split.
    pub(super) fn refresh_views(&mut self) {
        let cluster_view = |side: usize| {
            let mut cluster_view = ClusterView {
                windows: Rc::clone(&self.windows),
                ..ClusterView::default()
            };
            for (number, node) in self.nodes.iter().enumerate() {
                let is_here = node.participant.is_some() && !node.paused && node.side == side;
                let seen_at = node.reachability_changed_at + DETECTION_DELAY;
                let present = if self.now >= seen_at {
                    is_here
                } else {
                    !is_here && node.start_count > 0
                };
                if node.has_left || node.start_count == 0 {
                    continue;
                }
                cluster_view.members.push(Member {
                    node: node.key,
                    zone: self.load.zone(number),
                    present,
                });
                if is_here {
                    cluster_view.keys.insert(node.key);
                    if let Some(participant) = &node.participant {
                        cluster_view
                            .digests
                            .push((node.key, participant.agent.report().digest));
                    }
                }
            }
            Rc::new(cluster_view)
        };
        self.cluster_views = vec![cluster_view(0), cluster_view(1)];
    }

    /// Ends a window: samples the counts of all nodes, and restarts the nodes that crash by chance.
    fn count_window(&mut self) {
        let window = self.next_window;
        self.next_window += 1;
        self.load.begin_window(window);
        let mut samples = Vec::new();
        let mut crashed = Vec::new();
        for node in 0..self.nodes.len() {
            let target = &self.nodes[node];
            let (Some(participant), false) = (&target.participant, target.paused) else {
                continue;
            };
            let version = participant.agent.running();
            let run = NodeRun {
                version_hash: version.hash,
                effect: self.effects.get(&version).copied().unwrap_or_default(),
                windows_since_apply: (self.now - target.version_applied_at) / WINDOW,
                windows_since_start: (self.now - target.started_at) / WINDOW,
            };
            let (sample, cost) = self.load.sample(node, target.key, &run);
            self.totals.cost += cost;
            self.totals.asked += sample
                .operations
                .values()
                .map(|(cell, _)| cell.asked as f64 / 1000.0)
                .sum::<f64>();
            samples.push(sample);
            if self.load.crashes(&run) {
                crashed.push(node);
            }
        }
        let mut windows = self.windows.borrow_mut();
        windows.insert(window, samples);
        while windows.len() > MAX_WINDOWS {
            windows.pop_first();
        }
        drop(windows);
        for node in crashed {
            self.crash(node);
            self.start(node);
        }
    }
}
