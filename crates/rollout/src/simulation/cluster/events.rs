//! The queue of events and what each of them does; windows of counts.

use super::host::Board;
use super::{EPOCH_MS, SimulatedCluster, WAKE};
use crate::host_error::HostError;
use crate::identifiers::{RolloutId, Version};
use crate::member::Member;
use crate::messages::{self, MAX_MESSAGE_BYTES};
use crate::persisted_state::{MAX_FILE_BYTES, PersistedState};
use crate::simulation::load::{Runs, WINDOW};
use crate::{MILLISECOND, Nanos, SECOND, splitmix64};
use rand::RngExt;
use std::rc::Rc;

/// Windows that are remembered.
const WINDOWS: usize = 8;

/// A node that is gone, or has come, is seen to be so after this.
const SEEN: Nanos = 3 * SECOND;

/// What a node asked its disk or its process to do.
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

/// What happens to a node.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Message { from: usize, bytes: Vec<u8> },
    Task(Task),
    Wake,
}

/// An event and when it happens.
pub(super) struct Queued {
    pub(super) at: Nanos,
    pub(super) number: u64,
    pub(super) node: usize,
    /// Of the process that it is for, if it is for one.
    pub(super) life: Option<u64>,
    pub(super) event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Queued) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Queued) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Queued) -> std::cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl SimulatedCluster {
    /// Goes on for this long.
    pub fn run(&mut self, time: Nanos) {
        let until = self.now + time;
        self.go(until, &|_| false);
    }

    /// Goes on until the condition holds, or for `most`; whether it came to hold.
    pub fn until(&mut self, most: Nanos, is: impl Fn(&SimulatedCluster) -> bool) -> bool {
        let until = self.now + most;
        self.go(until, &is)
    }

    fn go(&mut self, until: Nanos, is: &dyn Fn(&SimulatedCluster) -> bool) -> bool {
        loop {
            if self.now >= self.next_board {
                self.next_board = self.now + WAKE;
                self.refresh();
                if is(self) {
                    return true;
                }
            }
            let window_at = (self.next_window * (WINDOW / MILLISECOND)).saturating_sub(EPOCH_MS)
                * MILLISECOND
                + WINDOW;
            let next = self
                .queue
                .peek()
                .map_or(until, |queued| queued.at)
                .min(self.next_board)
                .min(window_at);
            if next >= until {
                self.now = until;
                return is(self);
            }
            self.now = next;
            if self.now >= window_at {
                self.count_window();
                continue;
            }
            if self
                .queue
                .peek()
                .is_some_and(|queued| queued.at <= self.now)
                && let Some(queued) = self.queue.pop()
            {
                self.happens(queued);
            }
        }
    }

    pub(super) fn push(&mut self, after: Nanos, node: usize, life: Option<u64>, event: Event) {
        self.queued += 1;
        self.queue.push(Queued {
            at: self.now + after,
            number: self.queued,
            node,
            life,
            event,
        });
    }

    fn happens(&mut self, queued: Queued) {
        let Queued {
            node, life, event, ..
        } = queued;
        let of = &self.nodes[node];
        if of.participant.is_none() || life.is_some_and(|life| life != of.life) {
            return;
        }
        if of.paused {
            // What is on its way to a process that stands still is there when it goes on, as far as
            // buffers go.
            if !matches!(event, Event::Message { .. }) {
                self.push(SECOND, node, life, event);
            }
            return;
        }
        let (now, unix) = (self.now, self.unix_ms(node));
        match event {
            Event::Wake => {
                let board = self.board(self.nodes[node].side);
                if let Some(participant) = &mut self.nodes[node].participant {
                    participant.agent.host.board = board;
                    participant.wake(now, unix);
                }
                self.push(WAKE, node, life, Event::Wake);
            }
            Event::Message { from, bytes } => {
                if self.nodes[from].side != self.nodes[node].side {
                    return;
                }
                let Some(message) = messages::decode(&bytes) else {
                    self.totals
                        .broken
                        .push(format!("a parcel of {} bytes can't be read", bytes.len()));
                    return;
                };
                let from = self.nodes[from].key;
                if let Some(participant) = &mut self.nodes[node].participant {
                    participant.handle_message(now, unix, from, message);
                }
            }
            Event::Task(task) => self.task(node, task),
        }
        self.after(node);
    }

    fn task(&mut self, node: usize, task: Task) {
        let (now, unix) = (self.now, self.unix_ms(node));
        match task {
            Task::Check { rollout, version } => {
                let unfit = self
                    .effects
                    .get(&version)
                    .map_or(0.0, |effect| effect.unfit);
                let place =
                    (splitmix64(self.nodes[node].key ^ version.hash) % 10_000) as f64 / 10_000.0;
                let result = if place < unfit {
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
                let of = &mut self.nodes[node];
                let result = if of.disk.full {
                    Err(HostError::new("no space left on device"))
                } else {
                    Ok(())
                };
                if result.is_ok() {
                    of.disk.persisted = persisted.encode();
                    of.disk.contents.extend(content);
                    if of.disk.persisted.len() > MAX_FILE_BYTES {
                        self.totals
                            .broken
                            .push(format!("{} bytes are kept", of.disk.persisted.len()));
                    }
                }
                if let Some(participant) = &mut of.participant {
                    participant.agent.persist_finished(now, number, result);
                }
            }
            Task::Apply(version) => {
                let of = &mut self.nodes[node];
                let known = of.disk.contents.contains_key(&version);
                let result = if known {
                    Ok(())
                } else {
                    Err(HostError::new("its content is not there"))
                };
                if result.is_ok() {
                    of.ran_since = now;
                }
                if let Some(participant) = &mut of.participant {
                    participant.agent.apply_finished(now, unix, version, result);
                }
            }
        }
    }

    /// Sends on what a node has put out, and looks whether what it does is allowed.
    pub(super) fn after(&mut self, node: usize) {
        let Some(participant) = &mut self.nodes[node].participant else {
            return;
        };
        let out = std::mem::take(&mut participant.agent.host.out);
        let tasks = std::mem::take(&mut participant.agent.host.tasks);
        let life = self.nodes[node].life;
        for task in tasks {
            if let Task::Apply(version) = &task {
                self.may_begin(node, *version);
            }
            let time = self.rng.random_range(MILLISECOND..20 * MILLISECOND);
            self.push(time, node, Some(life), Event::Task(task));
        }
        for (to, message) in out {
            let bytes = messages::encode(&message);
            self.totals.messages += 1;
            self.totals.bytes += bytes.len() as u64;
            if bytes.len() > MAX_MESSAGE_BYTES {
                self.totals
                    .broken
                    .push(format!("a parcel of {} bytes", bytes.len()));
            }
            let Some(to) = self.keys.get(&to).copied() else {
                continue;
            };
            if self.nodes[to].side != self.nodes[node].side || self.rng.random_bool(self.shape.loss)
            {
                continue;
            }
            let time = self.rng.random_range(MILLISECOND..10 * MILLISECOND);
            self.push(time, to, None, Event::Message { from: node, bytes });
        }
        self.allowed(node);
    }

    pub(super) fn board(&mut self, side: usize) -> Rc<Board> {
        if self.boards.is_empty() {
            self.refresh();
        }
        Rc::clone(&self.boards[side])
    }

    /// Renews what nodes see of each other, for either side of a split.
    pub(super) fn refresh(&mut self) {
        let board = |side: usize| {
            let mut board = Board {
                windows: Rc::clone(&self.windows),
                ..Board::default()
            };
            for (number, node) in self.nodes.iter().enumerate() {
                let is_here = node.participant.is_some() && !node.paused && node.side == side;
                let seen_at = node.since + SEEN;
                let present = if self.now >= seen_at {
                    is_here
                } else {
                    !is_here && node.life > 0
                };
                if node.left || node.life == 0 {
                    continue;
                }
                board.members.push(Member {
                    node: node.key,
                    zone: self.load.zone(number),
                    present,
                });
                if is_here {
                    board.keys.insert(node.key);
                    if let Some(participant) = &node.participant {
                        board
                            .digests
                            .push((node.key, participant.agent.report().digest));
                    }
                }
            }
            Rc::new(board)
        };
        self.boards = vec![board(0), board(1)];
    }

    /// A window is over: all count, and some die.
    fn count_window(&mut self) {
        let window = self.next_window;
        self.next_window += 1;
        self.load.window(window);
        let mut samples = Vec::new();
        let mut dead = Vec::new();
        for node in 0..self.nodes.len() {
            let of = &self.nodes[node];
            let (Some(participant), false) = (&of.participant, of.paused) else {
                continue;
            };
            let version = participant.agent.running();
            let runs = Runs {
                version_hash: version.hash,
                effect: self.effects.get(&version).copied().unwrap_or_default(),
                since: (self.now - of.ran_since) / WINDOW,
                age: (self.now - of.started) / WINDOW,
            };
            let (sample, cost) = self.load.sample(node, of.key, &runs);
            self.totals.cost += cost;
            self.totals.asked += sample
                .operations
                .values()
                .map(|(cell, _)| cell.asked as f64 / 1000.0)
                .sum::<f64>();
            samples.push(sample);
            if self.load.dies(&runs) {
                dead.push(node);
            }
        }
        let mut windows = self.windows.borrow_mut();
        windows.insert(window, samples);
        while windows.len() > WINDOWS {
            windows.pop_first();
        }
        drop(windows);
        for node in dead {
            self.crash(node);
            self.start(node);
        }
    }
}
