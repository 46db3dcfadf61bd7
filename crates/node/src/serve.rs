//! Starts a node from the file that `PROXY_CONFIG` names, and hands it the notice to leave, new
//! configurations and new settings.

use madderpoint_deployment_config::DeploymentConfig;
use madderpoint_membership::datagram_auth::AuthKeys;
use madderpoint_membership::swim::FeatureToggles;
use madderpoint_node::capacity::OptionalSubsystems;
use madderpoint_node::config::{self, Identity};
use madderpoint_node::io::{self, Changing, Notice, Ours, Part, Reset, Versions};
use madderpoint_node::log;
use madderpoint_node::node::SharedService;
use madderpoint_node::request_rules::CompiledRuleSet;
use madderpoint_node::supervisor_client::{self, ProgramVersions};
use madderpoint_node::version_store::Directory;
use madderpoint_rollout::{Kind as ChangeKind, PersistedState, Version};
use madderpoint_settings::{
    self as settings, Diagnostics, FleetSettings, Location, Settings, ValidationContext,
};
use madderpoint_shared_state::keyed_quota::KeyedQuota;
use madderpoint_shared_state::{Budget, Kind};
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::iterator::Signals;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

/// Stack of the thread that waits for signals; where it reads settings too, their expressions nest
/// in each other.
const STACK: usize = 128 * 1024;
const STACK_TO_READ: usize = 1024 * 1024;
/// The port of the fleet where none is set.
const FLEET_PORT: u16 = 7946;
/// What a file of keys may have.
const KEY_FILE_MOST: u64 = 4096;

/// How the node's log is written.
#[derive(Clone, Copy, Debug, Default)]
pub struct Logging {
    /// As JSON lines.
    pub json: bool,
    /// With the steps of each invocation.
    pub follow: bool,
}

/// The names and effects that a configuration's settings have.
pub fn known(start: &DeploymentConfig) -> ValidationContext {
    let effects = start.deployment.operations.iter().map(|o| o.effect);
    ValidationContext {
        operations: Some(start.operations.iter().cloned().zip(effects).collect()),
        tenants: Some(start.tenants.clone()),
        ..ValidationContext::permissive()
    }
}

/// Reads a file of our settings.
pub fn read(path: &Path, known: &ValidationContext) -> Result<Settings, Diagnostics> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        let unreadable =
            settings::Diagnostic::new(Location::Whole, "", e.to_string(), "a file of settings");
        Diagnostics::new(&name, "", vec![unreadable])
    })?;
    settings::read(&name, &text, known)
}

/// The keys of a fleet. A name that is no whole path is looked for beside the settings.
pub fn keys(settings: &Path, fleet: &FleetSettings) -> Result<AuthKeys, String> {
    let path = settings.parent().unwrap_or(Path::new("")).join(&fleet.keys);
    let wrong = |what: String| format!("fleet/@keys: {}: {what}", path.display());
    let size = std::fs::metadata(&path)
        .map_err(|e| wrong(e.to_string()))?
        .len();
    if size > KEY_FILE_MOST {
        return Err(wrong(format!(
            "{size} bytes; expected {KEY_FILE_MOST} at most"
        )));
    }
    let text = std::fs::read_to_string(&path).map_err(|e| wrong(e.to_string()))?;
    AuthKeys::read(&text).map_err(wrong)
}

/// How the node takes part in its fleet. What differs by node may be told by the environment.
fn part(
    file: &Path,
    read: &Settings,
    who: &Identity,
    told: impl Fn(&str) -> Option<String>,
) -> Result<Option<Box<Part>>, String> {
    let Some(fleet) = &read.fleet else {
        return Ok(None);
    };
    let address = |name: &str, set: Option<SocketAddr>| match told(name) {
        Some(text) => text
            .parse()
            .map(Some)
            .map_err(|_| format!("{name}: {text:?} is no address")),
        None => Ok(set),
    };
    let usual = SocketAddr::new(who.listen.ip(), FLEET_PORT);
    let bind = address("MADDERPOINT_FLEET_BIND", fleet.bind)?.unwrap_or(usual);
    let advertise = address("MADDERPOINT_FLEET_ADVERTISE", fleet.advertise)?.unwrap_or(bind);
    if advertise.ip().is_unspecified() || advertise.port() == 0 {
        return Err(format!(
            "fleet/@advertise: nobody can reach {advertise}; expected an address of this node"
        ));
    }
    let zone = told("MADDERPOINT_ZONE")
        .or_else(|| fleet.zone.clone())
        .unwrap_or_default();
    let settings = madderpoint_membership::Config {
        fleet: fleet.name.clone(),
        name: who.name.clone(),
        zone,
        address: advertise,
        seeds: fleet.seeds.clone(),
        keys: keys(file, fleet)?,
        periods: fleet.periods,
        program: fleet
            .program
            .clone()
            .unwrap_or_else(|| env!("CARGO_PKG_VERSION").to_owned()),
        settings: read.number,
        bytes: 0,
        extensions: FeatureToggles::default(),
    };
    let arbiters = fleet
        .arbiters
        .iter()
        .map(|name| madderpoint_membership::MemberKey::of(name).0)
        .collect();
    let (budgets, keys) = (fleet.budgets.clone(), key_budgets(read));
    let service = fleet.service.as_ref().map(|service| SharedService {
        name: service.name.clone(),
        slow_call_threshold: service.slow,
        zone: io::zone_number(&settings.zone),
    });
    let operations = who.start.operations.clone();
    let objectives = who
        .start
        .deployment
        .operations
        .iter()
        .map(|of| of.latency_objective)
        .collect();
    let (key_bytes, count_bytes, change_bytes) = (0, 0, 0); // as there is room for
    Ok(Some(Box::new(Part {
        bind,
        settings,
        arbiters,
        budgets,
        keys,
        key_bytes,
        service,
        operations,
        objectives,
        count_bytes,
        waits: false,
        changes: Vec::new(),
        change_bytes,
    })))
}

/// Limits by key of the whole fleet, as the rules' buckets have them.
fn key_budgets(read: &Settings) -> Vec<KeyedQuota> {
    read.rules
        .iter()
        .flat_map(|rules| &rules.fleet)
        .map(|(_, budget)| budget.clone())
        .collect()
}

/// The rules of a file; one without rules has an empty set, so that those before it end.
fn sheet(read: &mut Settings) -> Box<CompiledRuleSet> {
    let secret = read.fleet.as_ref().map_or(0, |fleet| fleet.secret);
    match read.rules.take() {
        Some(mut book) => {
            book.rules
                .share(book.fleet.iter().map(|(place, _)| *place), secret);
            Box::new(CompiledRuleSet {
                rules: book.rules,
                buckets: book.buckets,
                quotas: book.fleet,
            })
        }
        None => Box::new(CompiledRuleSet::default()),
    }
}

fn with_room(who: &Identity) -> ValidationContext {
    let room = io::room(
        who,
        OptionalSubsystems {
            settings: true,
            cluster: true,
            shared_state: true,
            rollouts: true,
        },
    );
    ValidationContext {
        rule_bytes_max: room.rule_bytes,
        file_bytes_max: room.settings_file_bytes,
        ..known(&who.start)
    }
}

/// Whether two lists hold the same budgets, but for their figures.
fn same_kinds(a: &[Budget], b: &[Budget]) -> bool {
    let kind = |budget: &Budget| {
        (
            budget.name.clone(),
            matches!(budget.kind, Kind::Rate { .. }),
        )
    };
    a.iter().map(kind).eq(b.iter().map(kind))
}

/// The fields of `<fleet>` that differ and hold until a restart.
fn until_a_restart(new: &FleetSettings, now: &FleetSettings) -> Vec<&'static str> {
    let kept = [
        ("name", new.name == now.name),
        ("zone", new.zone == now.zone),
        ("bind", new.bind == now.bind),
        ("advertise", new.advertise == now.advertise),
        ("program", new.program == now.program),
        ("arbiter", new.arbiters == now.arbiters),
        ("calls-budget", same_kinds(&new.budgets, &now.budgets)),
        ("service", new.service == now.service),
    ];
    kept.iter()
        .filter(|(_, same)| !same)
        .map(|(field, _)| *field)
        .collect()
}

/// What the fleet's part is told of settings that take force now.
fn reset(read: &Settings, new: &FleetSettings, now: &FleetSettings, keys: AuthKeys) -> Box<Reset> {
    // Limits may change; budgets that come or go, or are of another kind, wait for a restart.
    let same = same_kinds(&new.budgets, &now.budgets);
    let budgets = if same { &new.budgets } else { &now.budgets }.clone();
    Box::new(Reset {
        keys,
        seeds: new.seeds.clone(),
        periods: new.periods,
        number: read.number,
        budgets,
        key_budgets: key_budgets(read),
        plan: read.rollout.as_ref().map(|rollout| rollout.plan.clone()),
    })
}

/// A new file of settings: all of it is taken or none.
fn reread(file: &Path, who: &Identity, now: Option<&FleetSettings>, tell: impl Fn(Notice)) {
    let read = read(file, &with_room(who)).map_err(|what| what.summary());
    let read = read.and_then(|read| match &read.fleet {
        Some(fleet) => keys(file, fleet).map(|keys| (Some(keys), read)),
        None => Ok((None, read)),
    });
    let (keys, mut read) = match read {
        Ok(read) => read,
        Err(what) => return log!("new settings not taken, those before stay: {what}"),
    };
    match (keys, &read.fleet, now) {
        (Some(keys), Some(new), Some(now)) => {
            let kept = until_a_restart(new, now);
            if !kept.is_empty() {
                log!("new settings: until a restart the old {kept:?} of <fleet> hold");
            }
            tell(Notice::Fleet(reset(&read, new, now, keys)));
        }
        (None, None, None) => {}
        _ => log!("new settings: <fleet> comes and goes with a restart only"),
    }
    tell(Notice::Ruled(sheet(&mut read)));
}

/// Where versions are kept, if they are: told by the environment, or by the settings, beside whose
/// file it then is.
fn versions_dir(
    file: &Path,
    read: Option<&Settings>,
    told: impl Fn(&str) -> Option<String>,
) -> Option<PathBuf> {
    let set = || {
        read.and_then(|read| read.rollout.as_ref())
            .map(|rollout| rollout.dir.clone())
    };
    let dir = told("MADDERPOINT_ROLLOUT_DIR").or_else(set)?;
    Some(file.parent().unwrap_or(Path::new("")).join(dir))
}

/// What is in force, for the threads that may change it.
#[derive(Debug)]
struct InForce {
    version: Version,
    fleet: FleetSettings,
    budgets: Vec<KeyedQuota>,
}

/// Versions of our settings.
struct SettingsVersions {
    directory: Directory,
    file: PathBuf,
    who: Arc<Identity>,
    in_force: Arc<Mutex<InForce>>,
    notices: crossbeam_channel::Sender<Notice>,
}

/// A version's text, read and checked by this node's own limits and names.
fn read_version(
    file: &Path,
    content: &[u8],
    who: &Identity,
) -> Result<(Settings, AuthKeys), String> {
    let text = std::str::from_utf8(content).map_err(|_| "it is no text".to_owned())?;
    let read = settings::read("settings", text, &with_room(who)).map_err(|what| what.summary())?;
    let (Some(fleet), Some(_)) = (&read.fleet, &read.rollout) else {
        return Err(
            "it has no <fleet> or no <rollout>: these come and go with a restart only".into(),
        );
    };
    let keys = keys(file, fleet)?;
    Ok((read, keys))
}

impl SettingsVersions {
    fn in_force(&self) -> std::sync::MutexGuard<'_, InForce> {
        self.in_force.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Versions for SettingsVersions {
    fn check(&mut self, _: Option<Version>, content: Option<&[u8]>) -> Result<Version, String> {
        let (read, new_keys) = read_version(&self.file, content.unwrap_or_default(), &self.who)?;
        let now = self.in_force();
        if let Some(fleet) = &read.fleet {
            let kept = until_a_restart(fleet, &now.fleet);
            if !kept.is_empty() {
                return Err(format!(
                    "{kept:?} of <fleet> can change with a restart only"
                ));
            }
            if !keys(&self.file, &now.fleet)?.meet(&new_keys) {
                let what = "old and new nodes would not understand each other: add the new key first, after the old one";
                return Err(format!("fleet/@keys: {what}"));
            }
        }
        let (number, hash) = read.number;
        Ok(Version { number, hash })
    }

    fn keep(
        &mut self,
        kept: &PersistedState,
        content: Option<(Version, &[u8])>,
    ) -> Result<(), String> {
        self.directory.keep(kept, content)
    }

    fn apply(&mut self, version: Version) -> Result<(), String> {
        let content = self.directory.content(version)?;
        let (mut read, keys) = read_version(&self.file, &content, &self.who)?;
        let Some(new) = read.fleet.clone() else {
            return Err("it has no <fleet>".into());
        };
        let told = {
            let mut now = self.in_force();
            let told = reset(&read, &new, &now.fleet, keys);
            *now = InForce {
                version,
                fleet: new,
                budgets: told.key_budgets.clone(),
            };
            told
        };
        let tell = |notice| {
            self.notices
                .send(notice)
                .map_err(|_| "the node ends".to_owned())
        };
        tell(Notice::Fleet(told))?;
        tell(Notice::Ruled(sheet(&mut read)))
    }
}

/// With changes in stages a file by hand is not taken in mid-run: only the fleet's keys are read
/// anew.
fn rekey(file: &Path, who: &Identity, in_force: &Mutex<InForce>, tell: impl Fn(Notice)) {
    let reset = {
        let now = in_force.lock().unwrap_or_else(PoisonError::into_inner);
        let keys = match keys(file, &now.fleet) {
            Ok(keys) => keys,
            Err(what) => return log!("new keys not taken, those before stay: {what}"),
        };
        match read(file, &with_room(who)) {
            Ok(read) if read.number != (now.version.number, now.version.hash) => log!(
                "new settings: the file has version {}, {} is in force; a change goes out by 'rollout start'",
                read.number.0,
                now.version
            ),
            Ok(_) => {}
            Err(what) => log!(
                "new settings not taken, those before stay: {}",
                what.summary()
            ),
        }
        let fleet = &now.fleet;
        Box::new(Reset {
            keys,
            seeds: fleet.seeds.clone(),
            periods: fleet.periods,
            number: (now.version.number, now.version.hash),
            budgets: fleet.budgets.clone(),
            key_budgets: now.budgets.clone(),
            plan: None,
        })
    };
    tell(Notice::Fleet(reset));
}

/// What a node with settings of ours starts with.
struct Started {
    read: Settings,
    /// Versions are kept: what is in force, and the node's part in changes.
    changing: Option<(Arc<Mutex<InForce>>, Changing)>,
}

/// Reads the settings; where versions are kept, those that the node is to start on.
fn start(
    file: &Path,
    who: &Arc<Identity>,
    notices: &crossbeam_channel::Sender<Notice>,
    beside: bool,
    told: impl Fn(&str) -> Option<String>,
) -> Result<Started, String> {
    let given = read(file, &with_room(who));
    let Some(dir) = versions_dir(file, given.as_ref().ok(), &told) else {
        return given
            .map(|read| Started {
                read,
                changing: None,
            })
            .map_err(|e| format!("settings not taken:\n{e}"));
    };
    let open = if beside {
        Directory::beside
    } else {
        Directory::open
    };
    let mut directory =
        open(&dir, &who.name, ChangeKind::Settings).map_err(|e| format!("rollout/@dir: {e}"))?;
    // What is given may be broken or gone: what was in force is on the disk.
    let content = match &given {
        Ok(read) => {
            let bytes = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
            Some((
                Version {
                    number: read.number.0,
                    hash: read.number.1,
                },
                bytes,
            ))
        }
        Err(what) => {
            log!("{}; the node starts on what was in force", what.summary());
            None
        }
    };
    let begun = directory.begin(content, |version, content| {
        let (read, _) = read_version(file, content, who)?;
        match read.number == (version.number, version.hash) {
            true => Ok(read),
            false => Err("its content is not what its name says".into()),
        }
    });
    let begun = begun.map_err(|what| match &given {
        Err(complaints) => format!("settings not taken:\n{complaints}"),
        Ok(_) => format!("settings not taken: {what}"),
    })?;
    let (read, version) = (begun.runs, begun.start.running);
    let Some(fleet) = read.fleet.clone() else {
        return Err("settings not taken: no <fleet>".into());
    };
    let in_force = Arc::new(Mutex::new(InForce {
        version,
        fleet,
        budgets: key_budgets(&read),
    }));
    let versions = SettingsVersions {
        directory,
        file: file.to_owned(),
        who: Arc::clone(who),
        in_force: Arc::clone(&in_force),
        notices: notices.clone(),
    };
    let plan = read
        .rollout
        .as_ref()
        .map(|rollout| rollout.plan.clone())
        .unwrap_or_default();
    let changing = Changing {
        start: begun.start,
        plan,
        versions: Box::new(versions),
    };
    Ok(Started {
        read,
        changing: Some((in_force, changing)),
    })
}

/// Has the log written so.
pub fn logs(node: &str, logging: Logging) {
    if logging.json {
        log::as_json(node);
    }
    if logging.follow {
        log::follow_invocations();
    }
}

/// Serves until the notice to leave has been carried out.
pub fn serve(settings: Option<PathBuf>, logging: Logging) -> Result<(), String> {
    // First of all, so that neither signal ever ends the process by its default.
    let mut signals = Signals::new([SIGTERM, SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    let path = PathBuf::from(std::env::var_os("PROXY_CONFIG").ok_or("PROXY_CONFIG is not set")?);
    let told = |name: &str| std::env::var(name).ok();
    let who = Arc::new(config::read(&path, told)?);
    logs(&who.name, logging);
    let (notices, inbox) = crossbeam_channel::bounded(1);
    let adopted = match told(supervisor_client::UNDER) {
        Some(_) => Some(supervisor_client::adopt()?),
        None => None,
    };
    let beside = adopted.as_ref().is_some_and(|adopted| adopted.begin.beside);
    let (mut ours, mut fleet, mut in_force) = (Ours::default(), None, None);
    if let Some(file) = &settings {
        let Started { mut read, changing } = start(file, &who, &notices, beside, told)?;
        ours.fleet =
            part(file, &read, &who, told).map_err(|e| format!("settings not taken: {e}"))?;
        if let (Some(part), Some((now, changing))) = (&mut ours.fleet, changing) {
            part.changes.push(changing);
            in_force = Some(now);
        }
        if let (Some(part), Some(adopted)) = (&mut ours.fleet, &adopted) {
            part.waits = true;
            if part.shares() {
                let plan = read
                    .rollout
                    .as_ref()
                    .map(|rollout| rollout.plan.clone())
                    .unwrap_or_default();
                let versions = Box::new(ProgramVersions(Arc::clone(&adopted.link)));
                part.changes.push(Changing {
                    start: supervisor_client::start(&adopted.begin),
                    plan,
                    versions,
                });
            }
        }
        ours.rules = Some(sheet(&mut read));
        fleet = read.fleet;
    }
    if let Some(mut adopted) = adopted {
        let link = Arc::clone(&adopted.link);
        ours.listener = adopted.listener.take();
        ours.serves = Some(Box::new(move || link.ready()));
        adopted
            .listen(notices.clone())
            .map_err(|e| format!("parent: {e}"))?;
    }
    let first = Arc::clone(&who);
    let stack = if settings.is_some() {
        STACK_TO_READ
    } else {
        STACK
    };
    let listening = thread::Builder::new()
        .name("signals".into())
        .stack_size(stack)
        .spawn(move || {
            let tell = |notice| drop(notices.send(notice));
            for signal in signals.forever() {
                if signal == SIGTERM {
                    tell(Notice::Leave);
                    continue;
                }
                match config::reread(&path, told, &first) {
                    Ok(moved) => tell(Notice::Moved(moved)),
                    Err(what) => log!("new configuration not taken, the one before stays: {what}"),
                }
                match (&settings, &in_force) {
                    (Some(file), Some(in_force)) => rekey(file, &first, in_force, tell),
                    (Some(file), None) => reread(file, &first, fleet.as_ref(), tell),
                    (None, _) => {}
                }
            }
        });
    listening.map_err(|e| format!("signals: {e}"))?;
    io::serve(&who, ours, inbox).map_err(|e| format!("listen {}: {e}", who.listen))
}
