//! All decisions of a node. The host calls one method of [`AdmissionController`] for each thing
//! that happens ([`on_arrival`](AdmissionController::on_arrival),
//! [`on_execution_ended`](AdmissionController::on_execution_ended),
//! [`on_backend_call_needed`](AdmissionController::on_backend_call_needed),
//! [`on_backend_call_ended`](AdmissionController::on_backend_call_ended),
//! [`on_client_cancelled`](AdmissionController::on_client_cancelled),
//! [`start_drain`](AdmissionController::start_drain), [`on_timer`](AdmissionController::on_timer))
//! with the time; decisions come back at once through [`Host`] (`src/lib.rs`).
//!
//! The ordinary path is Dynamic Beta RED (`docs/design.md`): each arrival moves q_avg and is
//! refused with chance I_{q_avg/B}(mu, theta); every `T_UPDATE` the virtual target and the running
//! limit are walked. What is held runs in the order of its billed value for the time that it takes.

use crate::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slab::Slab;
use statrs::function::beta::beta_reg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

#[cfg(test)]
mod tests;

/// Interval of the walk, the running loop and the gauges.
const T_UPDATE: Nanos = 500_000_000;
/// Spread of the refusal curve. The walk's Alpha and Beta are 1.
const THETA: f64 = 0.1;
/// T_target as a share of the shortest latency objective, and B as a multiple of q_target.
const TARGET_SHARE: f64 = 0.25;
const BUFFER_FACTOR: f64 = 4.0;
/// Weight of an arrival in q_avg: a thinly fed node must not judge by old news.
const W: f64 = 0.3;
/// C is the best of the last `C_SPANS` spans of `C_UPDATES` updates each: a minute.
const C_SPANS: usize = 24;
const C_UPDATES: usize = 5;
/// Cores busier than this show no room.
const FULL: f64 = 0.9;
/// Runs this many times as long as short ones of their operation are long.
const LONG: f64 = 3.0;
/// Learnt figures move by this share with each sample.
const LEARN: f64 = 0.1;
/// What ticks and late timers can take: answers go out this long before they are due.
const MOMENT: Nanos = 30_000_000;
/// Part of the memory and of the survivable crowd that is used.
const SAFE: f64 = 0.85;
/// The advert holds back traffic until this share of the billed value that is read is still turned
/// away. From there on throttled callers are asked not to try elsewhere, if other nodes are likely
/// to be full too.
const SHED_GOAL: f64 = 0.03;
const SHED_GAIN: f64 = 0.15;
/// Tries of one call, and how many times its usual time each may take.
const CALL_TRIES: u8 = 3;
const CALL_PATIENCE: f64 = 16.0;

const TICK: TimerId = TimerId(1);
const DUE: TimerId = TimerId(2);

/// An operation as agreed, and what its runs have shown.
struct Row {
    agreed: Operation,
    /// Recent run time and short run time, for each unit of size, and time of a call; 0 = not
    /// known.
    pace: f64,
    brisk: f64,
    call: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Held,
    Joining,
    Running,
    WantsCall,
    Calling,
}

/// An invocation in hand: read, and neither answered and gone nor stopped.
struct Invocation {
    id: RequestId,
    op: usize,
    tenant: Option<usize>,
    arrived: Nanos,
    objective: Nanos,
    due: Nanos,
    kb: f64,
    /// Expected work where it was told, else 1.
    size: f64,
    stage: Stage,
    /// Whether its caller has its answer or has left, while the work goes on.
    over: bool,
    failed_calls: u8,
}

/// What was seen since the last update: billed value read and turned away, arrivals.
#[derive(Default)]
struct Tally {
    read: f64,
    turned: f64,
    arrivals: f64,
}

/// State of the mechanism, in its own words; q_cur is what is held and unread, feed arrivals a
/// second.
#[derive(Default)]
struct Red {
    q_cur: f64,
    feed: f64,
    q_avg: f64,
    q_virtual: f64,
    q_target: f64,
    buffer: f64,
    /// Runs that succeeded in each span, and the update within them.
    done: [f64; C_SPANS],
    update: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Calm,
    Refusing,
    Full,
    Draining,
}

/// The decisions of one node.
pub struct AdmissionController<H: Host> {
    host: H,
    site: Deployment,
    rows: Vec<Row>,
    /// Of each tenant: arrivals since the last update, and a second.
    tenants: Vec<(f64, f64)>,
    rng: Pcg64Mcg,
    born: Nanos,
    in_hand: Slab<Invocation>,
    places: HashMap<RequestId, usize>,
    hold: Vec<usize>,
    running: usize,
    /// Runs that are at a call or wait for one, and calls in hand.
    away: usize,
    calls: usize,
    /// When what calls have used of the share below will be made good, and the share of calls that
    /// fails.
    calls_owed_until: Nanos,
    below_failed: f64,
    /// Expiry of remembered keys.
    keys: BinaryHeap<Reverse<Nanos>>,
    /// Memory in use by own count, how many times that the gauge shows, and a typical invocation's.
    ledger_kb: f64,
    memory_stretch: f64,
    typical_kb: f64,
    red: Red,
    limit: f64,
    /// Runs that ended since the limit was judged, and how many times the short run they took in
    /// all.
    stretch: (f64, f64),
    busy: f64,
    tally: Tally,
    /// Share of the traffic that the advert holds back.
    shed: f64,
    /// Whether idle connections are kept.
    keeps_idle: bool,
    /// The notice to leave, and the stop.
    stop: Option<(Nanos, Nanos)>,
    next_due: Nanos,
    mode: Mode,
}

fn seconds(span: Nanos) -> f64 {
    span as f64 / 1e9
}

/// Moves a figure by a share towards a sample; the first sample stands as it is.
fn learn(figure: &mut f64, sample: f64, share: f64) {
    *figure += if *figure > 0.0 {
        share * (sample - *figure)
    } else {
        sample
    };
}

impl<H: Host> AdmissionController<H> {
    /// Starts a node's decisions at `now`; chance comes from `seed` alone.
    pub fn new(now: Nanos, mut host: H, site: Deployment, seed: u64) -> Self {
        host.set_health(true, true);
        host.set_timer(TICK, T_UPDATE);
        let cores = site.cores as f64;
        let row = |agreed: &Operation| Row {
            agreed: agreed.clone(),
            pace: 0.0,
            brisk: 0.0,
            call: 0.0,
        };
        let mut controller = AdmissionController {
            host,
            rows: site.operations.iter().map(row).collect(),
            tenants: vec![(0.0, 0.0); site.tenants.len()],
            rng: Pcg64Mcg::seed_from_u64(seed),
            born: now,
            in_hand: Slab::with_capacity(256),
            places: HashMap::with_capacity(512),
            hold: Vec::with_capacity(256),
            running: 0,
            away: 0,
            calls: 0,
            calls_owed_until: 0,
            below_failed: 0.0,
            keys: BinaryHeap::with_capacity(64),
            ledger_kb: 0.0,
            memory_stretch: 2.0,
            typical_kb: 0.0,
            red: Red {
                q_virtual: cores,
                q_target: cores,
                ..Red::default()
            },
            limit: cores,
            stretch: (0.0, 0.0),
            busy: 0.0,
            tally: Tally::default(),
            shed: 0.0,
            keeps_idle: true,
            stop: None,
            next_due: Nanos::MAX,
            mode: Mode::Calm,
            site,
        };
        controller.measure_capacity();
        controller
    }

    /// An invocation was read.
    pub fn on_arrival(&mut self, now: Nanos, arrival: Arrival) {
        let Arrival {
            id,
            work_hint,
            repeats,
            ..
        } = arrival;
        let agreed = &self.rows[arrival.op.0].agreed;
        let arrived = now.saturating_sub(arrival.age);
        let timeout = arrival
            .time_left
            .map_or(arrived + agreed.client_timeout, |left| now + left);
        let own_work = (work_hint.unwrap_or(0.0) * agreed.objective_per_work * 1e9) as Nanos;
        let due = timeout
            .min(self.stop.map_or(Nanos::MAX, |(_, stop)| stop))
            .saturating_sub(MOMENT);
        let window = agreed.idempotency_window.max(self.site.shared_answer_ttl);
        let shares = self.site.shared_answer_ttl > 0
            && arrival.has_subject
            && agreed.effect == Idempotency::Idempotent;
        let keyed = repeats.is_none() && (shares || agreed.effect == Idempotency::Keyed);
        let place = self.in_hand.insert(Invocation {
            id,
            op: arrival.op.0,
            tenant: arrival.tenant.map(|t| t.0),
            arrived,
            objective: (arrived + agreed.latency_objective + own_work).min(timeout),
            due,
            kb: arrival.queued_kb,
            size: work_hint.unwrap_or(1.0),
            stage: if repeats.is_some() {
                Stage::Joining
            } else {
                Stage::Held
            },
            over: false,
            failed_calls: 0,
        });
        self.places.insert(id, place);
        self.ledger_kb += arrival.queued_kb;
        learn(&mut self.typical_kb, arrival.queued_kb, LEARN);
        if let Some(t) = arrival.tenant {
            self.tenants[t.0].0 += 1.0;
        }
        self.tally.read += self.merit(place);
        self.tally.arrivals += 1.0;
        self.average(arrival.age);
        let too_late = due <= now
            || self
                .stop
                .is_some_and(|(n, _)| arrived > n + self.site.drain_grace);
        if too_late
            || !self.memory_fits(if keyed {
                self.site.idempotency_key_kb
            } else {
                0.0
            })
        {
            return self.turn_away(now, place);
        }
        self.arm(now, due);
        if repeats.is_some() {
            return self.host.coalesce(id);
        }
        if keyed {
            // Before the run, so that a repeat bears the mark from here on; the window counts from
            // arrival.
            self.host.retain_idempotency_key(id, window);
            self.keys.push(Reverse(now + window));
        }
        self.hold.push(place);
        if self.hold.len() as f64 > self.red.buffer
            || (!self.rests() && self.rng.random::<f64>() < self.chance())
        {
            let victim = self.victim(now, place);
            self.turn_away(now, victim);
        }
        self.fill(now);
    }

    /// A run or a join ended; where it succeeded or errored, the caller was told.
    pub fn on_execution_ended(
        &mut self,
        now: Nanos,
        id: RequestId,
        ending: ExecutionOutcome,
        latency: Nanos,
    ) {
        let Some(&place) = self.places.get(&id) else {
            return;
        };
        let inv = &self.in_hand[place];
        if inv.stage == Stage::Calling {
            self.book_call(now, true, latency);
        } else if ending == ExecutionOutcome::Succeeded && inv.stage == Stage::Running {
            let row = &mut self.rows[inv.op];
            let pace = seconds(latency) / inv.size;
            learn(&mut row.pace, pace, LEARN);
            let down = pace < row.brisk;
            learn(
                &mut row.brisk,
                pace,
                if down { 2.0 * LEARN } else { LEARN / 10.0 },
            );
            self.stretch = (self.stretch.0 + 1.0, self.stretch.1 + pace / row.brisk);
            self.red.done[self.red.update / C_UPDATES] += 1.0;
        }
        if ending == ExecutionOutcome::Cancelled && !self.in_hand[place].over {
            // Stopped though its caller waits: what must not run twice cannot be taken up again.
            self.host.fail(id);
        }
        self.remove(place);
        self.fill(now);
        self.make_calls(now, false);
    }

    /// A running invocation has come to a call below.
    pub fn on_backend_call_needed(&mut self, now: Nanos, id: RequestId) {
        let Some(&place) = self.places.get(&id) else {
            return;
        };
        let inv = &mut self.in_hand[place];
        (inv.stage, inv.failed_calls) = (Stage::WantsCall, 0);
        self.away += 1;
        self.make_call(now, place, false);
        self.fill(now);
    }

    /// A call below ended.
    pub fn on_backend_call_ended(
        &mut self,
        now: Nanos,
        id: RequestId,
        ending: BackendCallOutcome,
        latency: Nanos,
    ) {
        let Some(&place) = self.places.get(&id) else {
            return;
        };
        let inv = &mut self.in_hand[place];
        if inv.stage != Stage::Calling {
            return;
        }
        let row = &mut self.rows[inv.op];
        let failed = ending != BackendCallOutcome::Succeeded;
        if !failed || ending == BackendCallOutcome::Abandoned {
            learn(&mut row.call, seconds(latency), LEARN);
        }
        inv.stage = if failed {
            Stage::WantsCall
        } else {
            Stage::Running
        };
        inv.failed_calls += u8::from(failed);
        // Only what is known not to have run below, or may run twice, is called again.
        let repeatable = row.agreed.effect == Idempotency::Idempotent
            || ending == BackendCallOutcome::NotExecuted;
        // And the less often the more calls fail: tries that all nodes repeat would keep below what
        // is down.
        let spent = inv.failed_calls >= CALL_TRIES || !repeatable;
        let tired = spent || self.rng.random::<f64>() < self.below_failed;
        let skippable = row.agreed.weight_fraction_without_call > 0.0;
        let retry = failed && !inv.over;
        self.below_failed += LEARN / 2.0 * (f64::from(u8::from(failed)) - self.below_failed);
        self.away -= usize::from(!failed);
        self.book_call(now, ending == BackendCallOutcome::Abandoned, latency);
        if retry {
            match self.site.below == Downstream::SharedService {
                shared if skippable && (tired || shared) => self.skip_call(place),
                _ if tired => self.give_up(place),
                true => {} // not to be hammered: the next try waits for the next update
                false => self.make_call(now, place, false),
            }
        }
        self.make_calls(now, false);
    }

    /// The caller of an invocation no longer waits.
    pub fn on_client_cancelled(&mut self, now: Nanos, id: RequestId) {
        let Some(&place) = self.places.get(&id) else {
            return;
        };
        match self.in_hand[place].stage {
            Stage::Held => {
                self.host.release_idempotency_key(id); // it never ran: its repeat is to run, not to wait for it
                self.remove(place);
            }
            Stage::Joining => self.remove(place),
            _ => self.abandon(place),
        }
        self.fill(now);
    }

    /// The node will be stopped after `left`.
    pub fn start_drain(&mut self, now: Nanos, left: Nanos) {
        self.stop = Some((now, now + left));
        let last = (now + left).saturating_sub(MOMENT);
        self.in_hand
            .iter_mut()
            .for_each(|(_, inv)| inv.due = inv.due.min(last));
        self.arm(now, last);
        self.host.set_health(false, true);
        self.advertise(now);
        self.enter(Mode::Draining);
    }

    /// A timer expired; `gauges` are the node's of this moment.
    pub fn on_timer(&mut self, now: Nanos, alarm: TimerId, gauges: Gauges) {
        if alarm == DUE {
            self.answer_due(now);
        } else {
            self.host.set_timer(TICK, T_UPDATE);
            self.watch_memory(now, &gauges);
            self.steer_running(&gauges);
            self.measure_capacity();
            self.walk();
            self.steer_traffic(now);
            let mode = match self.mode {
                Mode::Draining => Mode::Draining,
                _ if self.hold.len() as f64 >= self.red.buffer => Mode::Full,
                _ if self.tally.turned > 0.0 => Mode::Refusing,
                mode if self.shed > SHED_GOAL => mode,
                _ => Mode::Calm,
            };
            if mode != self.mode {
                self.enter(mode);
            }
            self.tally = Tally::default();
        }
        self.fill(now);
        self.make_calls(now, alarm == TICK);
    }

    // ---- Dynamic Beta RED ----

    /// q_avg with the arrival. What came after it and is unread counts as held (feed times its
    /// age), or slow reading would hide the queue.
    fn average(&mut self, age: Nanos) {
        self.red.q_cur =
            (self.hold.len() as f64 + self.red.feed * seconds(age)).min(self.red.buffer);
        self.red.q_avg += W * (self.red.q_cur - self.red.q_avg);
    }

    /// Whether the random refusal rests: cores show room, or fewer than their number are held and
    /// unread.
    fn rests(&self) -> bool {
        self.busy < FULL || self.red.q_cur < self.site.cores as f64
    }

    /// The chance that an arrival is refused.
    fn chance(&self) -> f64 {
        let mu = self.red.q_virtual / self.red.buffer;
        let spread = 1.0 / (THETA * THETA) - 1.0;
        beta_reg(
            mu * spread,
            (1.0 - mu) * spread,
            (self.red.q_avg / self.red.buffer).clamp(0.0, 1.0),
        )
    }

    /// q_target from the best completions of the last minute, and B from it and from memory.
    fn measure_capacity(&mut self) {
        let cores = self.site.cores as f64;
        let span = C_UPDATES as f64 * seconds(T_UPDATE);
        let best = self.red.done.iter().fold(0.0, |a: f64, &b| a.max(b)) / span;
        let shortest = self
            .rows
            .iter()
            .map(|r| r.agreed.latency_objective)
            .min()
            .unwrap_or(0);
        self.red.q_target = (best * TARGET_SHARE * seconds(shortest)).max(cores);
        let running_kb = self.limit * self.site.run_memory_factor * self.typical_kb;
        let free_kb =
            (self.site.memory_kb * SAFE - self.keys_kb()) / self.memory_stretch - running_kb;
        let room = free_kb / self.typical_kb.max(f64::MIN_POSITIVE);
        self.red.buffer = (BUFFER_FACTOR * self.red.q_target)
            .min(room)
            .max(cores + 2.0);
        self.red.update = (self.red.update + 1) % (C_SPANS * C_UPDATES);
        if self.red.update.is_multiple_of(C_UPDATES) {
            self.red.done[self.red.update / C_UPDATES] = 0.0;
        }
    }

    /// Moves the virtual target by the error of q_avg. While the refusal rests it goes back to
    /// q_target instead, so that a calm spell does not wind it up against the next surge.
    fn walk(&mut self) {
        let mu = self.red.q_virtual / self.red.buffer;
        let step = mu * (1.0 - mu) * (self.red.q_target - self.red.q_avg);
        let back = LEARN * (self.red.q_target - self.red.q_virtual);
        self.red.q_virtual += if self.rests() { back } else { step };
        let least = (self.site.cores as f64).max(self.red.buffer / 50.0);
        self.red.q_virtual = self.red.q_virtual.clamp(least, self.red.buffer - 1.0);
    }

    /// The running loop: grows by half the idle cores while work is held, falls while full cores
    /// run long.
    fn steer_running(&mut self, gauges: &Gauges) {
        let cores = self.site.cores as f64;
        let held = !self.hold.is_empty();
        self.busy = gauges.cpu_busy.unwrap_or(f64::from(u8::from(held)));
        self.red.feed += 2.0 * LEARN * (self.tally.arrivals / seconds(T_UPDATE) - self.red.feed);
        self.limit += if held {
            (1.0 - self.busy).max(0.0) * cores / 2.0
        } else {
            0.0
        };
        // Judged once as many runs have ended as may go at once: single runs of small nodes tell
        // nothing.
        if self.stretch.0 >= self.limit {
            let long = self.busy >= FULL && self.stretch.1 > LONG * self.stretch.0;
            self.limit -= f64::from(u8::from(long));
            self.stretch = (0.0, 0.0);
        }
        self.limit = self
            .limit
            .clamp(cores, cores * self.site.max_runnable_per_core.max(1.0));
    }

    // ---- What is held, and who bears a refusal ----

    /// Billed value that an expected second of running earns if answered in time. Traffic over a
    /// tenant's share bears no mark, so all of that tenant's counts in proportion.
    fn merit(&self, place: usize) -> f64 {
        let inv = &self.in_hand[place];
        let length = if self.site.weighted_by_work {
            1.0
        } else {
            self.length(place).max(1e-3)
        };
        let within = inv.tenant.map_or(1.0, |t| {
            let rate = self.tenants[t].1 * self.site.nodes as f64;
            (self.site.tenants[t].quota_per_s / rate).min(1.0)
        });
        self.rows[inv.op].agreed.priority_weight / length
            * (within + (1.0 - within) * self.site.over_quota_weight_fraction)
    }

    fn length(&self, place: usize) -> f64 {
        self.rows[self.in_hand[place].op].pace * self.in_hand[place].size
    }

    /// The share of its billed value that it would earn if it ran now. While cores show room, only
    /// what is late already counts: an expectation may err, and nothing else wants the core.
    fn prospect(&self, now: Nanos, place: usize) -> f64 {
        let inv = &self.in_hand[place];
        let expected = if self.busy < FULL {
            0.0
        } else {
            self.length(place)
        };
        match now + (expected * 1e9) as Nanos {
            end if end > inv.due => 0.0,
            end if end > inv.objective => self.rows[inv.op].agreed.late_weight_fraction,
            _ => 1.0,
        }
    }

    /// On whom a refusal falls: the least merit of the arrival and of those held for less than a
    /// fifth of their time, whose callers lose little by asking elsewhere.
    fn victim(&self, now: Nanos, arrival: usize) -> usize {
        let young = |inv: &Invocation| now - inv.arrived < inv.due.saturating_sub(inv.arrived) / 5;
        let others = self
            .hold
            .iter()
            .copied()
            .filter(|&p| young(&self.in_hand[p]));
        others.fold(arrival, |least, p| {
            if self.merit(p) < self.merit(least) {
                p
            } else {
                least
            }
        })
    }

    /// Starts held invocations by merit, then age, while the running limit, the crowd on the cores
    /// and memory allow. Runs that are at a call leave their place on the cores to others.
    fn fill(&mut self, now: Nanos) {
        while self.running - self.away < self.limit as usize && self.running < self.crowd_limit(now)
        {
            let mut best = None;
            for i in (0..self.hold.len()).rev() {
                let place = self.hold[i];
                let prospect = self.prospect(now, place);
                let rank = (
                    self.merit(place) * prospect,
                    Reverse(self.in_hand[place].arrived),
                );
                if prospect == 0.0 {
                    self.turn_away(now, place);
                } else if best.is_none_or(|(first, _)| rank >= first) {
                    best = Some((rank, place));
                }
            }
            let Some((_, place)) = best else { return };
            let kb = self.in_hand[place].kb * (self.site.run_memory_factor - 1.0);
            let alone =
                self.running == 0 && self.ledger_kb + kb + self.keys_kb() < self.site.memory_kb;
            if !self.memory_fits(kb) && !alone {
                return;
            }
            self.hold.retain(|&p| p != place);
            self.ledger_kb += kb;
            self.running += 1;
            self.in_hand[place].stage = Stage::Running;
            self.host.start(self.in_hand[place].id);
        }
    }

    /// The most runs that the cores survive if all that waits for disk or calls comes back at once;
    /// a cold node is taken to warm as slowly as it may.
    fn crowd_limit(&self, now: Nanos) -> usize {
        let since = (now - self.born) as f64 / self.site.warm_up_time.max(1) as f64;
        let lack = if self.site.cold {
            (1.0 - self.site.cold_speed_fraction) * (1.0 - since.min(1.0))
        } else {
            0.0
        };
        let crowd =
            self.site.cores as f64 * (1.0 + (self.site.max_runnable_per_core - 1.0) * (1.0 - lack));
        ((crowd * SAFE) as usize).max(1)
    }

    /// Turns away what never ran.
    fn turn_away(&mut self, now: Nanos, place: usize) {
        self.tally.turned += self.merit(place);
        let inv = &self.in_hand[place];
        if inv.stage == Stage::Joining {
            self.host.fail(inv.id); // what it repeats may have run
        } else {
            // Neither lateness nor an overload that the advert speaks of is cured by asking the
            // next node.
            let last = now >= inv.objective || self.shed > SHED_GOAL && self.fleet_full();
            let pause = self.site.max_retry_after as f64 * self.held_back(now);
            self.host.reject(inv.id, pause as Nanos, last);
            self.host.release_idempotency_key(inv.id);
        }
        self.remove(place);
    }

    /// Whether other nodes are likely to be full too, as far as the tenants' shares of the fleet
    /// tell.
    fn fleet_full(&self) -> bool {
        let rate: f64 = self.tenants.iter().map(|t| t.1).sum();
        let quota: f64 = self.site.tenants.iter().map(|t| t.quota_per_s).sum();
        rate * self.site.nodes as f64 >= quota
    }

    // ---- Guards ----

    /// Answers all that is due; work that goes on keeps its place until it ends.
    fn answer_due(&mut self, now: Nanos) {
        self.next_due = Nanos::MAX;
        let mut next = Nanos::MAX;
        for place in 0..self.in_hand.capacity() {
            match self.in_hand.get(place) {
                Some(inv) if inv.over => {}
                Some(inv) if inv.due > now => next = next.min(inv.due),
                Some(inv) if inv.stage == Stage::Held => self.turn_away(now, place),
                Some(_) => self.give_up(place),
                None => {}
            }
        }
        self.arm(now, next);
    }

    /// Keeps one timer for the earliest that is due.
    fn arm(&mut self, now: Nanos, due: Nanos) {
        if due < self.next_due {
            self.next_due = due;
            self.host.set_timer(DUE, due.saturating_sub(now));
        }
    }

    /// Answers with an error what has started.
    fn give_up(&mut self, place: usize) {
        self.host.fail(self.in_hand[place].id);
        match self.in_hand[place].stage {
            Stage::Joining => self.remove(place),
            _ => self.abandon(place),
        }
    }

    /// Nobody waits for it any more: stops the work where that can be done.
    fn abandon(&mut self, place: usize) {
        let inv = &mut self.in_hand[place];
        inv.over = true;
        // A repeat within the window is served from what a tokened run brings; stopped, it could
        // only err.
        let lost_for_good = self.rows[inv.op].agreed.effect == Idempotency::Keyed;
        if inv.stage == Stage::Running
            && self.site.halt != Preemption::Unsupported
            && !lost_for_good
        {
            self.host.stop(inv.id);
        }
    }

    fn remove(&mut self, place: usize) {
        let inv = self.in_hand.remove(place);
        self.places.remove(&inv.id);
        self.ledger_kb -= inv.kb;
        match inv.stage {
            Stage::Held => self.hold.retain(|&p| p != place),
            Stage::Joining => {}
            _ => {
                self.running -= 1;
                self.away -= usize::from(inv.stage != Stage::Running);
                self.ledger_kb -= inv.kb * (self.site.run_memory_factor - 1.0);
            }
        }
    }

    fn keys_kb(&self) -> f64 {
        self.keys.len() as f64 * self.site.idempotency_key_kb
    }

    fn memory_fits(&self, more_kb: f64) -> bool {
        (self.ledger_kb + more_kb) * self.memory_stretch + self.keys_kb()
            < self.site.memory_kb * SAFE
    }

    /// Own count against the gauge: what operations really take is told nowhere.
    fn watch_memory(&mut self, now: Nanos, gauges: &Gauges) {
        while self.keys.peek().is_some_and(|k| k.0 < now) {
            self.keys.pop();
        }
        let Some(used) = gauges.memory_used else {
            return;
        };
        if self.ledger_kb > 0.02 * self.site.memory_kb {
            let seen = ((used * self.site.memory_kb - self.keys_kb()) / self.ledger_kb).max(1.0);
            let learn = if seen > self.memory_stretch {
                1.0
            } else {
                LEARN
            };
            self.memory_stretch += learn * (seen - self.memory_stretch);
        }
    }

    // ---- Calls below ----

    /// Makes what calls wait for room; those that failed before only if `again`.
    fn make_calls(&mut self, now: Nanos, again: bool) {
        let places = if self.away > self.calls {
            self.in_hand.capacity()
        } else {
            0
        }; // most often none wait
        for place in 0..places {
            let Some(inv) = self.in_hand.get(place) else {
                continue;
            };
            if inv.stage == Stage::WantsCall && (again || inv.failed_calls == 0) {
                self.make_call(now, place, again);
            }
        }
    }

    /// Makes the call that a run waits for, lets it wait for room below, or skips it when it has
    /// `waited` or too many do. Calls in hand and the mean of a span keep to the share: half of it
    /// flows back.
    fn make_call(&mut self, now: Nanos, place: usize, waited: bool) {
        let Some(inv) = self.in_hand.get(place).filter(|inv| !inv.over) else {
            return;
        };
        let row = &self.rows[inv.op];
        let (skip, usual) = (
            row.agreed.weight_fraction_without_call > 0.0,
            (row.call * 1e9) as Nanos,
        );
        let mut time = if skip {
            inv.objective.saturating_sub(now) / 2
        } else {
            inv.due.saturating_sub(now)
        };
        if row.call > 0.0 && (skip || row.agreed.effect == Idempotency::Idempotent) {
            // A call that hangs must not hold its run; but giving it up before it lingers spares
            // nothing.
            time = time
                .min(self.site.abandoned_call_linger + (CALL_PATIENCE * row.call * 1e9) as Nanos);
        }
        let share = self.site.downstream_call_limit;
        if self.site.below == Downstream::SharedService {
            let owed = self.calls_owed_until.saturating_sub(now) as f64;
            let all = share / 2.0 * (self.site.downstream_call_window as f64 - owed);
            time = time.min(
                ((all / share.max(1.0)) as Nanos).saturating_sub(self.site.abandoned_call_linger),
            );
        }
        let room =
            self.site.below != Downstream::SharedService || self.calls < share.max(1.0) as usize;
        if room && time > usual {
            self.calls += 1;
            self.host.call_backend(inv.id, time);
            self.in_hand[place].stage = Stage::Calling;
        } else if skip && (waited || self.away - self.calls > self.site.cores) {
            self.skip_call(place);
        }
    }

    /// A call left what lies below, at once or after lingering there.
    fn book_call(&mut self, now: Nanos, abandoned: bool, latency: Nanos) {
        self.calls -= 1;
        let used = (latency
            + if abandoned {
                self.site.abandoned_call_linger
            } else {
                0
            }) as f64;
        let owed = used * 2.0 / self.site.downstream_call_limit.max(1e-6);
        self.calls_owed_until = self.calls_owed_until.max(now) + owed as Nanos;
    }

    fn skip_call(&mut self, place: usize) {
        self.in_hand[place].stage = Stage::Running;
        self.away -= 1;
        self.host.skip_backend_call(self.in_hand[place].id);
    }

    // ---- Signals ----

    /// Walks the share of traffic that the advert holds back: up while more than the goal is turned
    /// away, down while cores show room. LoadReport and refusal thus follow the same mechanism.
    fn steer_traffic(&mut self, now: Nanos) {
        if self.busy < FULL {
            self.shed *= 1.0 - LEARN;
        } else {
            let turned = if self.tally.read > 0.0 {
                self.tally.turned / self.tally.read
            } else {
                0.0
            };
            self.shed = (self.shed + SHED_GAIN * (turned - SHED_GOAL)).clamp(0.0, 0.95);
        }
        for (count, rate) in &mut self.tenants {
            *rate += LEARN * (*count / seconds(T_UPDATE) - *rate);
            *count = 0.0;
        }
        self.advertise(now);
        // Idle connections take places and capacity: they are kept if dispatchers mostly come back
        // to them.
        let come_back = self.red.feed * seconds(self.site.client_idle_timeout)
            / self.site.dispatchers.max(1) as f64;
        if self.keeps_idle && come_back < 0.7 || !self.keeps_idle && come_back > 1.4 {
            self.keeps_idle = !self.keeps_idle;
            self.host.close_idle_connections(if self.keeps_idle {
                self.site.client_idle_timeout
            } else {
                MOMENT
            });
        }
    }

    /// The share to hold back: all once told to leave. But where few would get its share, a node
    /// serves on for as much of the grace as they are fewer; the last update of it tells callers in
    /// time.
    fn held_back(&self, now: Nanos) -> f64 {
        let told = now + T_UPDATE * self.site.nodes.saturating_sub(1).max(1) as Nanos;
        let shuts = self
            .stop
            .is_some_and(|(notice, _)| told >= notice + self.site.drain_grace);
        if shuts { 1.0 } else { self.shed }
    }

    fn advertise(&mut self, now: Nanos) {
        let shed = self.held_back(now);
        let value = match self.site.advert {
            LoadReport::Disabled => return,
            LoadReport::SheddingLevel => shed,
            LoadReport::Weight => 1.0 - shed,
            LoadReport::Credit if shed == 1.0 => 0.0,
            LoadReport::Credit => (self.limit + self.red.q_target).powf(1.0 - shed),
        };
        self.host.report_load(value);
    }

    fn enter(&mut self, mode: Mode) {
        let Red {
            q_avg,
            q_target,
            q_virtual,
            buffer,
            ..
        } = self.red;
        let AdmissionController {
            running,
            limit,
            busy,
            shed,
            ..
        } = self;
        let (held, from, kb) = (
            self.hold.len(),
            self.mode,
            self.ledger_kb * self.memory_stretch,
        );
        self.host.log(format_args!(
            "{from:?}->{mode:?} held {held} q_avg {q_avg:.1} target {q_target:.1} virtual {q_virtual:.1} \
             B {buffer:.0} run {running}/{limit:.0} busy {busy:.2} shed {shed:.2} memory {kb:.0} kB"
        ));
        self.mode = mode;
    }
}
