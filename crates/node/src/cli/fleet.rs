//! `madderpoint fleet`: what a running node holds of its fleet, and fleets that are simulated.

use super::{Ended, Format};
use crate::serve;
use clap::Subcommand;
use madderpoint_membership::messages::DATAGRAM_MAX;
use madderpoint_membership::observer::{MemberSnapshot, NodeSnapshot, Observer};
use madderpoint_membership::simulation::{self, Simulation, SimulationConfig};
use madderpoint_membership::{Liveness, Nanos};
use madderpoint_rules::time;
use madderpoint_settings::ValidationContext;
use madderpoint_settings::scenario::{self, Action, LinkFault, Scenario};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const MS: Nanos = 1_000_000;
const S: Nanos = 1000 * MS;
/// How long an answer is waited for, and how often a question is asked.
const ANSWER: Duration = Duration::from_millis(500);
const TRIES: u32 = 6;
const ORDERS: u32 = 10;
/// What another package holds is asked for again after this: the first question has it made ready.
const SOON: Duration = Duration::from_millis(60);
/// Changes that `watch` shows at its start.
const SHOWN_BEFORE: usize = 5;

#[derive(Subcommand)]
pub enum Command {
    /// Show what a running node holds of its fleet.
    #[command(
        after_help = "Example: madderpoint fleet show --settings translator.xml --at 10.0.0.4:7946"
    )]
    Show {
        /// The settings with the fleet's name and keys.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        /// Where the node's part in the fleet listens.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// How it is shown.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Show what changes at a running node, and its digest, until it ends.
    #[command(
        after_help = "Example: madderpoint fleet watch --settings translator.xml --at 10.0.0.4:7946 --times 60"
    )]
    Watch {
        /// The settings with the fleet's name and keys.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        /// Where the node's part in the fleet listens.
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// Between two looks.
        #[arg(long, default_value = "1s")]
        every: String,
        /// How many looks; without end if it is not told.
        #[arg(long)]
        times: Option<u64>,
    },
    /// Play a fleet of any size over simulated time, and measure it.
    #[command(
        after_help = "Example: madderpoint fleet simulate --members 300 --loss 0.05 --seeds 3 --time 10m"
    )]
    Simulate {
        /// How many members; 300 if neither this nor a timetable tells.
        #[arg(long)]
        members: Option<usize>,
        /// Share of datagrams that are lost.
        #[arg(long, default_value_t = 0.0)]
        loss: f64,
        /// Share of members that stand still now and then, for up to 1.5 s.
        #[arg(long, default_value_t = 0.0)]
        slow: f64,
        /// How many zones.
        #[arg(long, default_value_t = 3)]
        zones: usize,
        /// How long nothing happens, to count what it costs and who is falsely held dead.
        #[arg(long, default_value = "60s")]
        time: String,
        /// How many members crash, one after the other, to measure how soon that is found.
        #[arg(long, default_value_t = 5)]
        crashes: usize,
        /// How long a zone is cut off.
        #[arg(long, default_value = "30s")]
        cut: String,
        /// The first seed, and how many are played.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// What is left out, to measure what it is worth: health, confirm, reconcile, regain.
        #[arg(long, value_delimiter = ',')]
        without: Vec<String>,
        /// In place of all that: a timetable, as the rig plays them against processes, in simulated
        /// time. `--members` takes the place of its number of nodes if it is larger.
        #[arg(long, value_name = "FILE")]
        script: Option<PathBuf>,
        /// The plainest way instead, to compare with: heartbeats from all to all, and so many
        /// missed for a death.
        #[arg(long, value_name = "MISSED")]
        heartbeats: Option<u32>,
        /// Shown as a line of text for each seed, or as a line of JSON.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
}

impl Command {
    /// Carries the call out.
    pub fn run(self) -> Ended {
        match self {
            Command::Show {
                settings,
                at,
                format,
            } => show(&settings, at, format),
            Command::Watch {
                settings,
                at,
                every,
                times,
            } => watch(&settings, at, &every, times),
            Command::Simulate {
                members,
                loss,
                slow,
                zones,
                time,
                crashes,
                cut,
                seed,
                seeds,
                without,
                script,
                heartbeats,
                format,
            } => {
                let told = members;
                let members = told.unwrap_or(300);
                if !(1..=20_000).contains(&members)
                    || !(0.0..1.0).contains(&loss)
                    || !(0.0..=1.0).contains(&slow)
                {
                    return Err("members: 1 to 20000, loss: 0 to under 1, slow: 0 to 1".into());
                }
                let mut plan = SimulationConfig {
                    members,
                    loss,
                    stalling: slow,
                    zones,
                    ..SimulationConfig::default()
                };
                for part in &without {
                    match part.as_str() {
                        "health" => plan.features.health = false,
                        "confirm" => plan.features.confirm = false,
                        "reconcile" => plan.features.reconcile = false,
                        "regain" => plan.features.probe_dead = false,
                        other => {
                            return Err(format!(
                                "--without {other}: expected health, confirm, reconcile or regain"
                            ));
                        }
                    }
                }
                if let Some(file) = &script {
                    let text = std::fs::read_to_string(file)
                        .map_err(|e| format!("{}: {e}", file.display()))?;
                    return match scenario::read(&file.display().to_string(), &text) {
                        Ok(script) => Ok(play(&script, told.unwrap_or(0), loss, slow)),
                        Err(complaints) => {
                            eprint!("{complaints}");
                            Ok(false)
                        }
                    };
                }
                let (time, cut) = (span(&time)?, span(&cut)?);
                if let Some(missed) = heartbeats {
                    for seed in seed..seed.saturating_add(seeds) {
                        let h = simulation::heartbeats(
                            members.max(2),
                            loss,
                            S,
                            missed.max(1),
                            time,
                            seed,
                        );
                        println!(
                            "heartbeats, members {members} loss {loss} seed {seed}: {:.0} B/s and {:.0} datagrams/s each, {} \
                             times one that is there held for dead in {} s; crash found in {:.1} s, by all in {:.1} s",
                            h.bytes,
                            h.datagrams,
                            h.false_deaths,
                            time / S,
                            h.found,
                            h.agreed
                        );
                    }
                    return Ok(true);
                }
                for seed in seed..seed.saturating_add(seeds) {
                    let measured = simulate(
                        SimulationConfig {
                            seed,
                            ..plan.clone()
                        },
                        time,
                        crashes,
                        cut,
                    );
                    match format {
                        Format::Json => println!("{measured}"),
                        Format::Text => print_measured(&measured),
                    }
                }
                Ok(true)
            }
        }
    }
}

fn span(text: &str) -> Result<Nanos, String> {
    time::span(text)
        .and_then(|t| Nanos::try_from(t).ok())
        .ok_or_else(|| format!("{text}: no time, such as 30s"))
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis() as u64)
}

/// Asks a node, as often as that takes.
pub struct Asker {
    socket: UdpSocket,
    at: SocketAddr,
    observer: Observer,
    begun: Instant,
}

impl Asker {
    fn new(settings: &Path, at: SocketAddr) -> Result<Asker, String> {
        let read = serve::read(settings, &ValidationContext::permissive())
            .map_err(|complaints| complaints.to_string())?;
        let fleet = read
            .fleet
            .ok_or_else(|| format!("{}: no <fleet>", settings.display()))?;
        let keys = serve::read_keys(settings, &fleet).map_err(|e| e.to_string())?;
        let any: SocketAddr = if at.is_ipv4() {
            ([0, 0, 0, 0], 0).into()
        } else {
            ([0u16; 8], 0).into()
        };
        let socket = UdpSocket::bind(any)
            .and_then(|socket| socket.set_read_timeout(Some(ANSWER)).map(|()| socket));
        let socket = socket.map_err(|e| format!("no socket: {e}"))?;
        let seed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(1, |t| t.as_nanos() as u64);
        let observer = Observer::new(
            &fleet.name,
            keys,
            seed ^ u64::from(std::process::id()) << 40,
            fleet.periods.skew,
        );
        Ok(Asker {
            socket,
            at,
            observer,
            begun: Instant::now(),
        })
    }

    /// Asks for what another package holds.
    pub fn about(settings: &Path, at: SocketAddr, topic: u32) -> Result<Asker, String> {
        let mut asker = Asker::new(settings, at)?;
        asker.observer = asker.observer.for_topic(topic);
        let soon = asker.socket.set_read_timeout(Some(SOON));
        soon.map_err(|e| format!("no socket: {e}"))?;
        Ok(asker)
    }

    /// All pages of that; none if nothing comes.
    pub fn ask_pages(&mut self, tries: u32) -> Result<Option<Vec<u8>>, String> {
        let wrong = |e: std::io::Error| format!("{}: {e}", self.at);
        let (mut buffer, mut left) = ([0; DATAGRAM_MAX + 1], tries);
        while left > 0 {
            left -= 1;
            let question = self.observer.request(unix_ms());
            self.socket.send_to(&question, self.at).map_err(wrong)?;
            let until = Instant::now() + SOON;
            while Instant::now() < until {
                let Ok((n, _)) = self.socket.recv_from(&mut buffer) else {
                    break;
                };
                let now = self.begun.elapsed().as_nanos() as Nanos;
                match self.observer.on_status_page(now, unix_ms(), &buffer[..n]) {
                    Ok((_, Some(bytes))) => return Ok(Some(bytes)),
                    Ok((true, None)) => {
                        left = tries; // the next page
                        break;
                    }
                    _ => {}
                }
            }
        }
        Ok(None)
    }

    /// Orders something of another package, as often as that takes; gives what became of it.
    pub fn order(&mut self, topic: u32, order: &[u8]) -> Result<Vec<u8>, String> {
        let wrong = |e: std::io::Error| format!("{}: {e}", self.at);
        let mut buffer = [0; DATAGRAM_MAX + 1];
        for _ in 0..ORDERS {
            let frame = self.observer.command(unix_ms(), topic, order);
            self.socket.send_to(&frame, self.at).map_err(wrong)?;
            let until = Instant::now() + ANSWER;
            while Instant::now() < until {
                let Ok((n, _)) = self.socket.recv_from(&mut buffer) else {
                    continue;
                };
                let now = self.begun.elapsed().as_nanos() as Nanos;
                if let Ok(Some(answer)) = self.observer.command_reply(now, unix_ms(), &buffer[..n])
                {
                    return Ok(answer);
                }
            }
        }
        Err(format!(
            "{}: no answer: nobody is there, it takes no orders, or the keys are others",
            self.at
        ))
    }

    fn ask(&mut self) -> Result<NodeSnapshot, String> {
        let wrong = |e: std::io::Error| format!("{}: {e}", self.at);
        let (mut buffer, mut tries) = ([0; DATAGRAM_MAX + 1], 0);
        loop {
            let question = self.observer.request(unix_ms());
            self.socket.send_to(&question, self.at).map_err(wrong)?;
            let until = Instant::now() + ANSWER;
            loop {
                let read = match self.socket.recv_from(&mut buffer) {
                    Ok((n, _)) => {
                        let now = self.begun.elapsed().as_nanos() as Nanos;
                        self.observer.on_datagram(now, unix_ms(), &buffer[..n]).ok()
                    }
                    Err(_) => None,
                };
                match read {
                    Some((_, Some(holding))) => return Ok(holding),
                    Some((true, None)) => {
                        tries = 0; // the next page
                        break;
                    }
                    _ if Instant::now() < until => {}
                    _ => break,
                }
            }
            tries += 1;
            if tries > TRIES {
                return Err(format!(
                    "{}: no answer: nobody is there, or the fleet's name or keys are others",
                    self.at
                ));
            }
        }
    }
}

fn row(shown: &MemberSnapshot) -> Value {
    json!({"name": shown.name, "status": shown.liveness.as_str(), "zone": shown.zone, "phase": shown.phase.as_str(),
        "address": shown.address.to_string(), "program": shown.program, "settings": shown.settings.0,
        "settings_hash": format!("{:016x}", shown.settings.1), "birth_ms": shown.started_unix_ms, "bump": shown.refutation,
        "life": format!("{:016x}", shown.incarnation), "revision": shown.revision,
        "room": shown.load_hint.map(|p| p.0), "load": shown.load_hint.map(|p| p.1)})
}

fn show(settings: &Path, at: SocketAddr, format: Format) -> Ended {
    let holding = Asker::new(settings, at)?.ask()?;
    let mut members: Vec<&MemberSnapshot> = holding.members.values().collect();
    members.sort_by(|a, b| (&a.zone, &a.name).cmp(&(&b.zone, &b.name)));
    let report = &holding.report;
    let shared = super::shared::ask(settings, at, 4)?;
    if format == Format::Json {
        let counts: BTreeMap<_, _> = report
            .counters
            .iter()
            .map(|c| (c.what.clone(), c.times))
            .collect();
        let changes: Vec<_> = report
            .changes
            .iter()
            .map(|c| json!({"unix_ms": c.unix_ms, "line": c.line}))
            .collect();
        let whole = json!({"node": report.name, "digest": format!("{:016x}", holding.digest), "size": report.size,
            "low": report.low, "high": report.high, "unsure_ms": report.unsure_ms, "doubt": report.doubt,
            "suspects": report.suspects, "dead": report.dead, "mute": report.mute, "counts": counts,
            "changes": changes, "members": members.into_iter().map(row).collect::<Vec<_>>(),
            "shared": shared.as_ref().map(super::shared::as_json)});
        println!("{whole:#}");
        return Ok(true);
    }
    println!("{}", summary(&holding));
    println!(
        "{:<16} {:<8} {:<8} {:<9} {:<22} {:<12} {:>8} {:>5} {:>5} {:>5}",
        "name", "zone", "status", "phase", "address", "program", "settings", "bump", "room", "load"
    );
    for m in members {
        let (room, load) = m
            .load_hint
            .map_or(("-".into(), "-".into()), |(room, load)| {
                (room.to_string(), load.to_string())
            });
        println!(
            "{:<16} {:<8} {:<8} {:<9} {:<22} {:<12} {:>8} {:>5} {room:>5} {load:>5}",
            m.name,
            m.zone,
            m.liveness.as_str(),
            m.phase.as_str(),
            m.address,
            m.program,
            m.settings.0,
            m.refutation
        );
    }
    for count in &report.counters {
        println!("{:>8}  {}", count.times, count.what);
    }
    shared.iter().for_each(super::shared::print);
    Ok(true)
}

fn summary(holding: &NodeSnapshot) -> String {
    let r = &holding.report;
    let unsure = match r.unsure_ms {
        0 => String::new(),
        ms => format!(", UNSURE for {:.1} s", ms as f64 / 1e3),
    };
    let mute = if r.mute {
        ", MUTE: another process has its name"
    } else {
        ""
    };
    format!(
        "{}: digest {:016x}, {} members (for sure {}, at most {}), {} suspect, {} dead, doubt of itself {}{unsure}{mute}",
        r.name, holding.digest, r.size, r.low, r.high, r.suspects, r.dead, r.doubt
    )
}

fn watch(settings: &Path, at: SocketAddr, every: &str, times: Option<u64>) -> Ended {
    let every = Duration::from_nanos(span(every)?);
    let mut asker = Asker::new(settings, at)?;
    let (mut last, mut told) = (None, String::new());
    let mut looks = 0;
    while times.is_none_or(|times| looks < times) {
        if looks > 0 {
            thread::sleep(every);
        }
        looks += 1;
        let holding = match asker.ask() {
            Ok(holding) => holding,
            Err(what) if looks == 1 => return Err(what),
            Err(what) => {
                println!("{what}");
                continue;
            }
        };
        let changes = &holding.report.changes; // the latest first
        let is_new = |c: &&madderpoint_membership::messages::ChangeEvent| last.as_ref() != Some(*c);
        let most = if last.is_none() {
            SHOWN_BEFORE
        } else {
            usize::MAX
        };
        let new: Vec<_> = changes.iter().take_while(is_new).take(most).collect();
        for change in new.iter().rev() {
            println!(
                "{} {}",
                time::print_time((change.unix_ms as i64).saturating_mul(1_000_000)),
                change.line
            );
        }
        last = changes.first().cloned().or(last);
        let line = summary(&holding);
        if line != told {
            println!("{line}");
            told = line;
        }
    }
    Ok(true)
}

fn quantile(sorted: &[Nanos], q: f64) -> Option<f64> {
    let at = ((sorted.len() as f64 * q).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(at).map(|nanos| *nanos as f64 / 1e9)
}

/// Plays one seed: quiet time, crashes, a zone that is cut off and comes back.
fn simulate(plan: SimulationConfig, time: Nanos, crashes: usize, cut: Nanos) -> Value {
    let began = Instant::now();
    let members = plan.members;
    let described = json!({"members": members, "loss": plan.loss, "slow": plan.stalling, "zones": plan.zones, "seed": plan.seed});
    let mut sim = Simulation::started(plan);
    sim.run(10 * S);
    sim.take_traffic();
    let quiet_false = sim.false_deaths.len();
    sim.run(time);
    let seconds = time as f64 / 1e9;
    let (bytes, datagrams) = sim.take_traffic();
    let false_deaths = sim.false_deaths.len() - quiet_false;
    // Crashes: when the first one finds it, and when all agree.
    let mut agreed = Vec::new();
    let crashes = crashes.min(members.saturating_sub(2));
    for n in 0..crashes {
        let node = n * members / crashes.max(1);
        sim.crash(node);
        agreed.extend(sim.run_until(120 * S, 50 * MS, |sim| sim.is_settled()));
        sim.start(node);
        sim.run(2 * S);
    }
    let mut found: Vec<Nanos> = sim.detected.values().copied().collect();
    found.sort_unstable();
    agreed.sort_unstable();
    let _ = sim.run_until(60 * S, 50 * MS, |sim| sim.is_settled());
    sim.take_traffic();
    let mut healed = Value::Null;
    if cut > 0 && sim.config.zones > 1 {
        sim.cut(|from, to| (from.zone == 0) != (to.zone == 0));
        sim.run(cut);
        sim.heal();
        sim.take_traffic();
        let took = sim.run_until(60 * S, 50 * MS, |sim| sim.is_settled());
        let (bytes, _) = sim.take_traffic();
        healed = json!({"cut_s": cut as f64 / 1e9, "settled_s": took.map(|t| t as f64 / 1e9), "bytes_each": bytes.round()});
    }
    let settled = sim.up().all(|(_, fleet)| {
        fleet
            .member_table()
            .get(sim.nodes[0].key)
            .is_some_and(|e| e.liveness() != Liveness::Dead)
    });
    let view_bytes = sim
        .up()
        .next()
        .map_or(0, |(_, fleet)| fleet.member_table().bytes());
    json!({
        "plan": described,
        "quiet": {"seconds": seconds, "bytes_s_each": (bytes / seconds).round(), "datagrams_s_each": (datagrams / seconds * 10.0).round() / 10.0,
            "false_deaths": false_deaths, "false_deaths_hour": false_deaths as f64 / seconds * 3600.0},
        "crash": {"times": found.len(), "found_s_p50": quantile(&found, 0.5), "found_s_p99": quantile(&found, 0.99),
            "agreed_s_p50": quantile(&agreed, 0.5), "agreed_s_p99": quantile(&agreed, 0.99)},
        "heal": healed, "node_0_there": settled, "view_bytes": view_bytes,
        "events": sim.processed, "real_s": (began.elapsed().as_secs_f64() * 10.0).round() / 10.0,
        "cpu_us_event": (began.elapsed().as_secs_f64() * 1e7 / sim.processed.max(1) as f64).round() / 10.0,
    })
}

fn print_measured(m: &Value) {
    let text = |v: &Value| {
        if v.is_null() {
            "-".to_owned()
        } else {
            v.to_string()
        }
    };
    println!(
        "members {} loss {} slow {} seed {}: {} B/s and {} datagrams/s each, {} false deaths in {} s; crash found in {} s \
         (p99 {}), agreed on in {} s (p99 {}); settled {} s after a cut of {} s; view {} KiB; {} events in {} s",
        text(&m["plan"]["members"]),
        text(&m["plan"]["loss"]),
        text(&m["plan"]["slow"]),
        text(&m["plan"]["seed"]),
        text(&m["quiet"]["bytes_s_each"]),
        text(&m["quiet"]["datagrams_s_each"]),
        text(&m["quiet"]["false_deaths"]),
        text(&m["quiet"]["seconds"]),
        text(&m["crash"]["found_s_p50"]),
        text(&m["crash"]["found_s_p99"]),
        text(&m["crash"]["agreed_s_p50"]),
        text(&m["crash"]["agreed_s_p99"]),
        text(&m["heal"]["settled_s"]),
        text(&m["heal"]["cut_s"]),
        m["view_bytes"].as_u64().unwrap_or(0) >> 10,
        text(&m["events"]),
        text(&m["real_s"])
    );
}

/// The faults that hold at a moment, by when they end.
type InForce = Vec<(LinkFault, Option<Nanos>)>;

/// Has the simulated links follow the faults in force.
fn relink(sim: &mut Simulation, faults: &InForce) {
    let meant = |faulty: &LinkFault,
                 from: &simulation::SimulatedNode,
                 to: &simulation::SimulatedNode| {
        let (from_zone, to_zone) = (format!("z{}", from.zone), format!("z{}", to.zone));
        let one_way = faulty.from.has(&from.name, &from_zone) && faulty.to.has(&to.name, &to_zone);
        let back = faulty.from.has(&to.name, &to_zone) && faulty.to.has(&from.name, &from_zone);
        one_way || faulty.both && back
    };
    let cuts: Vec<LinkFault> = faults
        .iter()
        .map(|f| f.0.clone())
        .filter(|f| f.fault.cut || f.fault.hold)
        .collect();
    let rough: Vec<LinkFault> = faults.iter().map(|f| f.0.clone()).collect();
    sim.cut(move |from, to| cuts.iter().any(|faulty| meant(faulty, from, to)));
    sim.degrade_links(move |from, to| {
        let here = rough.iter().filter(|faulty| meant(faulty, from, to));
        here.fold((0.0, 0), |(loss, late), faulty| {
            (
                1.0 - (1.0 - loss) * (1.0 - faulty.fault.loss),
                late + faulty.fault.delay.as_nanos() as Nanos,
            )
        })
    });
}

/// Whether so many groups that hear each other each hold one digest and just each other.
fn in_groups(sim: &Simulation, sides: usize) -> bool {
    let mut left: Vec<usize> = (0..sim.nodes.len())
        .filter(|&n| sim.nodes[n].membership.is_some())
        .collect();
    let mut groups = 0;
    while let Some(first) = left.pop() {
        groups += 1;
        let (mut group, mut at) = (vec![first], 0);
        while at < group.len() {
            let here = &sim.nodes[group[at]];
            let (found, rest): (Vec<usize>, Vec<usize>) = left.into_iter().partition(|&n| {
                !sim.is_cut(here, &sim.nodes[n]) && !sim.is_cut(&sim.nodes[n], here)
            });
            group.extend(found);
            left = rest;
            at += 1;
        }
        let views = || {
            group
                .iter()
                .filter_map(|&n| sim.nodes[n].membership.as_ref())
                .map(|fleet| fleet.member_table())
        };
        let Some(digest) = views().next().map(|view| view.digest()) else {
            continue;
        };
        let whole = |view: &madderpoint_membership::member_table::MemberTable| {
            let holds = |&n: &usize| {
                view.get(sim.nodes[n].key)
                    .is_some_and(|e| e.liveness().is_present())
            };
            view.digest() == digest
                && view.counts().present() == group.len()
                && group.iter().all(holds)
        };
        if !views().all(whole) {
            return false;
        }
    }
    groups == sides
}

/// What must come to hold.
type Holds = Box<dyn Fn(&Simulation) -> bool>;

/// Plays a timetable against a simulated fleet; says what held.
fn play(script: &Scenario, members: usize, loss: f64, slow: f64) -> bool {
    let members = members.max(script.nodes);
    let mut plan = SimulationConfig {
        members,
        zones: script.zones,
        loss,
        stalling: slow,
        seed: script.seed,
        ..SimulationConfig::default()
    };
    for (name, value) in &script.periods {
        let Ok(time) = span(value) else { continue };
        match name.as_str() {
            "probe" => plan.timing.probe = time,
            "answer" => plan.timing.answer = time,
            "gossip" => plan.timing.gossip = time,
            "regain" => plan.timing.probe_dead = time,
            _ => {}
        }
    }
    let mut sim = Simulation::new(plan);
    (0..members)
        .filter(|n| !script.absent.contains(&format!("n{n}")))
        .for_each(|n| sim.start(n));
    let (begun, mut faults, mut good) = (sim.now, InForce::new(), true);
    let number = |name: &str| {
        name.trim_start_matches('n')
            .parse::<usize>()
            .unwrap_or(0)
            .min(members - 1)
    };
    // Faults end at their times, whatever is waited for meanwhile.
    let run_to = |sim: &mut Simulation, faults: &mut InForce, until: Nanos| {
        while let Some(ends) = faults
            .iter()
            .filter_map(|f| f.1)
            .filter(|ends| *ends <= until)
            .min()
        {
            sim.run(ends.saturating_sub(sim.now));
            faults.retain(|f| f.1 != Some(ends));
            relink(sim, faults);
        }
        sim.run(until.saturating_sub(sim.now));
    };
    for step in &script.steps {
        let due = begun + step.at.as_nanos() as Nanos;
        run_to(&mut sim, &mut faults, due);
        let wanted: Option<(Nanos, Holds)> = match &step.action {
            Action::Link { faulty, time } => {
                let ends = time.map(|time| sim.now + time.as_nanos() as Nanos);
                faults.push((faulty.clone(), ends));
                relink(&mut sim, &faults);
                None
            }
            Action::Heal => {
                faults.clear();
                sim.heal();
                None
            }
            Action::Kill(node) => {
                sim.crash(number(node));
                None
            }
            Action::Stop(node) => {
                sim.leave(number(node));
                None
            }
            Action::Pause { node, time } => {
                sim.pause(number(node), time.as_nanos() as Nanos);
                None
            }
            Action::Start { node, .. } => {
                sim.start(number(node));
                None
            }
            Action::Settled { within, sides } => {
                let sides = *sides;
                Some((
                    within.as_nanos() as Nanos,
                    Box::new(move |sim| in_groups(sim, sides)),
                ))
            }
            Action::Sees {
                node,
                other,
                held,
                within,
            } => {
                let (n, key, held) = (number(node), sim.nodes[number(other)].key, held.clone());
                let sees = move |sim: &Simulation| {
                    let view = sim.nodes[n]
                        .membership
                        .as_ref()
                        .map(|fleet| fleet.member_table());
                    let found = view.map(|view| {
                        view.get(key)
                            .map_or("unknown", |entry| entry.liveness().as_str())
                    });
                    found == Some(held.as_str())
                };
                Some((within.as_nanos() as Nanos, Box::new(sees)))
            }
            Action::Hup(_)
            | Action::Stranger { .. }
            | Action::Load { .. }
            | Action::Service { .. }
            | Action::Holds { .. }
            | Action::Offer { .. }
            | Action::EndChange { .. }
            | Action::Disk { .. }
            | Action::Runs { .. }
            | Action::Change { .. }
            | Action::Used { .. } => {
                println!(
                    "{:>8.2} s  {:?}: only the rig plays that",
                    step.at.as_secs_f64(),
                    step.action
                );
                None
            }
        };
        let Some((within, holds)) = wanted else {
            println!("{:>8.2} s  {:?}", step.at.as_secs_f64(), step.action);
            continue;
        };
        let (from, until) = (sim.now, sim.now + within);
        while !holds(&sim) && sim.now < until {
            let next = (sim.now + 20 * MS).min(until);
            run_to(&mut sim, &mut faults, next);
        }
        let held = holds(&sim);
        good &= held;
        let word = if held { "held" } else { "DID NOT HOLD" };
        println!(
            "{:>8.2} s  {:?}: {word} after {:.2} s",
            step.at.as_secs_f64(),
            step.action,
            (sim.now - from) as f64 / 1e9
        );
    }
    good
}
