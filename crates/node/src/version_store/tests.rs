use super::*;
use madderpoint_rollout::RolloutId;
use madderpoint_rollout::persisted_state::Trial;

fn empty_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!(
        "madderpoint-versions-{}-{name}",
        std::process::id()
    ));
    let _ = fs::remove_dir_all(&dir);
    dir
}

fn version(number: u64) -> Version {
    Version {
        number,
        hash: number << 40 | 7,
    }
}

fn load_text(_: Version, content: &[u8]) -> Result<String, String> {
    match content {
        b"bad" => Err("bad".into()),
        content => Ok(String::from_utf8_lossy(content).into_owned()),
    }
}

#[test]
fn a_node_starts_on_the_last_good_version_after_a_crash_or_damage() {
    let root = empty_dir("start");
    let open = || VersionStore::open(&root, "n/1", Kind::Settings);
    let mut store = open().unwrap();
    assert!(
        open()
            .unwrap_err()
            .to_string()
            .contains("another process has it")
    );
    let start = store
        .begin(Some((version(1), b"one".to_vec())), load_text)
        .unwrap();
    assert_eq!(
        (
            start.running.as_str(),
            start.state.running,
            start.state.disk_was_empty
        ),
        ("one", version(1), true)
    );
    let mut persisted = start.state.persisted;
    persisted.promote(version(1));
    store
        .persist(&persisted, Some((version(1), b"one")))
        .unwrap();
    persisted.trial = Some(Trial {
        rollout: RolloutId(5),
        version: version(2),
        tries: 1,
    });
    store
        .persist(&persisted, Some((version(2), b"two")))
        .unwrap();
    // The node is killed during a trial and in the middle of a write.
    fs::write(
        root.join(path_component("n/1")).join("settings.new"),
        b"cut",
    )
    .unwrap();
    drop(store);
    let mut store = open().unwrap();
    let start = store
        .begin(Some((version(1), b"one".to_vec())), load_text)
        .unwrap();
    assert_eq!(
        (start.running.as_str(), start.state.crashed.unwrap().version),
        ("one", version(2))
    );
    assert!(!start.state.disk_was_empty && start.state.persisted.crashes(version(2)) == 1);
    // Version 2 is promoted in the end. The given version is older or missing, so the node does not
    // start on it.
    let mut persisted = start.state.persisted;
    persisted.promote(version(2));
    store.persist(&persisted, None).unwrap();
    assert_eq!(
        store
            .begin(Some((version(1), b"one".to_vec())), load_text)
            .unwrap()
            .running,
        "two"
    );
    assert_eq!(store.begin(None, load_text).unwrap().running, "two");
    // The last good version can no longer be run: the node starts on the one before it.
    store
        .persist(&persisted, Some((version(2), b"bad")))
        .unwrap();
    assert_eq!(store.begin(None, load_text).unwrap().running, "one");
    // The state file is damaged: the node starts on the given version, and the file is set
    // aside.
    fs::write(store.state_file(), b"mpv1 and something").unwrap();
    assert!(
        store
            .begin(Some((version(1), b"one".to_vec())), load_text)
            .unwrap()
            .state
            .disk_was_empty
    );
    assert!(store.state_file().with_extension("broken").exists());
    assert!(store.begin(None, load_text).is_err());
    let _ = fs::remove_dir_all(&root);
}

#[test]
fn a_store_opened_beside_another_process_is_written_only_after_that_process_ends() {
    let root = empty_dir("beside");
    let mut old = VersionStore::open(&root, "n1", Kind::Settings).unwrap();
    let mut persisted = PersistedState::new(Kind::Settings);
    persisted.promote(version(1));
    persisted.trial = Some(Trial {
        rollout: RolloutId(5),
        version: version(2),
        tries: 1,
    });
    old.persist(&persisted, Some((version(2), b"two"))).unwrap();
    let mut new = VersionStore::beside(&root, "n1", Kind::Settings).unwrap();
    let start = new
        .begin(Some((version(1), b"one".to_vec())), load_text)
        .unwrap();
    assert_eq!(
        (
            start.running.as_str(),
            start.state.crashed,
            start.state.persisted.trial
        ),
        ("two", None, persisted.trial)
    );
    assert!(
        new.acquire_lock(Duration::ZERO)
            .unwrap_err()
            .to_string()
            .contains("another process")
    );
    drop(old);
    new.persist(&start.state.persisted, None).unwrap();
    // A state that the previous process wrote after this process had read it is not overwritten.
    let mut late = VersionStore::beside(&root, "n1", Kind::Settings).unwrap();
    late.begin(None, load_text).unwrap();
    persisted.promote(version(2));
    new.persist(&persisted, None).unwrap();
    drop(new);
    assert!(
        late.persist(&start.state.persisted, None)
            .unwrap_err()
            .to_string()
            .contains("was changed")
    );
    let _ = fs::remove_dir_all(&root);
}

#[test]
fn contents_that_are_no_longer_needed_are_removed() {
    let root = empty_dir("room");
    let mut store = VersionStore::open(&root, "n1", Kind::Settings).unwrap();
    let mut persisted = PersistedState::new(Kind::Settings);
    for number in 1..20 {
        store
            .persist(&persisted, Some((version(number), b"text")))
            .unwrap();
        persisted.promote(version(number));
        store.persist(&persisted, None).unwrap();
    }
    store
        .persist(&persisted, Some((version(30), b"staged")))
        .unwrap();
    store.persist(&persisted, None).unwrap();
    let mut remaining = store.contents();
    remaining.sort();
    assert_eq!(remaining, [version(18), version(19), version(30)]);
    let _ = fs::remove_dir_all(&root);
}
