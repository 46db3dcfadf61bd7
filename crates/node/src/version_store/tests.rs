use super::*;
use madderpoint_rollout::RolloutId;
use madderpoint_rollout::persisted_state::Trial;

fn dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!(
        "madderpoint-versions-{}-{name}",
        std::process::id()
    ));
    let _ = fs::remove_dir_all(&dir);
    dir
}

fn v(number: u64) -> Version {
    Version {
        number,
        hash: number << 40 | 7,
    }
}

fn text(_: Version, content: &[u8]) -> Result<String, String> {
    match content {
        b"bad" => Err("bad".into()),
        content => Ok(String::from_utf8_lossy(content).into_owned()),
    }
}

#[test]
fn a_node_starts_on_the_last_good_version_whatever_was_cut() {
    let root = dir("start");
    let open = || VersionStore::open(&root, "n/1", Kind::Settings);
    let mut one = open().unwrap();
    assert!(
        open()
            .unwrap_err()
            .to_string()
            .contains("another process has it")
    );
    let begun = one.begin(Some((v(1), b"one".to_vec())), text).unwrap();
    assert_eq!(
        (
            begun.running.as_str(),
            begun.state.running,
            begun.state.disk_was_empty
        ),
        ("one", v(1), true)
    );
    let mut persisted = begun.state.persisted;
    persisted.promote(v(1));
    one.persist(&persisted, Some((v(1), b"one"))).unwrap();
    persisted.trial = Some(Trial {
        rollout: RolloutId(5),
        version: v(2),
        tries: 1,
    });
    one.persist(&persisted, Some((v(2), b"two"))).unwrap();
    // Killed on trial, and in the middle of a write.
    fs::write(
        root.join(path_component("n/1")).join("settings.new"),
        b"cut",
    )
    .unwrap();
    drop(one);
    let mut one = open().unwrap();
    let begun = one.begin(Some((v(1), b"one".to_vec())), text).unwrap();
    assert_eq!(
        (begun.running.as_str(), begun.state.crashed.unwrap().version),
        ("one", v(2))
    );
    assert!(!begun.state.disk_was_empty && begun.state.persisted.crashes(v(2)) == 1);
    // Found good in the end; what it is given by hand is old, or is not there at all, and is
    // not what it starts on.
    let mut persisted = begun.state.persisted;
    persisted.promote(v(2));
    one.persist(&persisted, None).unwrap();
    assert_eq!(
        one.begin(Some((v(1), b"one".to_vec())), text)
            .unwrap()
            .running,
        "two"
    );
    assert_eq!(one.begin(None, text).unwrap().running, "two");
    // The last good one can't be read any more: the one before it is run.
    one.persist(&persisted, Some((v(2), b"bad"))).unwrap();
    assert_eq!(one.begin(None, text).unwrap().running, "one");
    // What is kept is damaged: the node begins anew with what it is given, and the file is set
    // aside.
    fs::write(one.state_file(), b"mpv1 and something").unwrap();
    assert!(
        one.begin(Some((v(1), b"one".to_vec())), text)
            .unwrap()
            .state
            .disk_was_empty
    );
    assert!(one.state_file().with_extension("broken").exists());
    assert!(one.begin(None, text).is_err());
    let _ = fs::remove_dir_all(&root);
}

#[test]
fn one_that_starts_beside_another_reads_and_writes_only_when_that_one_is_gone() {
    let root = dir("beside");
    let mut old = VersionStore::open(&root, "n1", Kind::Settings).unwrap();
    let mut persisted = PersistedState::new(Kind::Settings);
    persisted.promote(v(1));
    persisted.trial = Some(Trial {
        rollout: RolloutId(5),
        version: v(2),
        tries: 1,
    });
    old.persist(&persisted, Some((v(2), b"two"))).unwrap();
    let mut new = VersionStore::beside(&root, "n1", Kind::Settings).unwrap();
    let begun = new.begin(Some((v(1), b"one".to_vec())), text).unwrap();
    assert_eq!(
        (
            begun.running.as_str(),
            begun.state.crashed,
            begun.state.persisted.trial
        ),
        ("two", None, persisted.trial)
    );
    assert!(
        new.take(Duration::ZERO)
            .unwrap_err()
            .to_string()
            .contains("another process")
    );
    drop(old);
    new.persist(&begun.state.persisted, None).unwrap();
    // What the one before wrote after it was read is not written over.
    let mut late = VersionStore::beside(&root, "n1", Kind::Settings).unwrap();
    late.begin(None, text).unwrap();
    persisted.promote(v(2));
    new.persist(&persisted, None).unwrap();
    drop(new);
    assert!(
        late.persist(&begun.state.persisted, None)
            .unwrap_err()
            .to_string()
            .contains("was changed")
    );
    let _ = fs::remove_dir_all(&root);
}

#[test]
fn contents_that_nobody_needs_go_and_others_stay() {
    let root = dir("room");
    let mut one = VersionStore::open(&root, "n1", Kind::Settings).unwrap();
    let mut persisted = PersistedState::new(Kind::Settings);
    for number in 1..20 {
        one.persist(&persisted, Some((v(number), b"text"))).unwrap();
        persisted.promote(v(number));
        one.persist(&persisted, None).unwrap();
    }
    one.persist(&persisted, Some((v(30), b"staged"))).unwrap();
    one.persist(&persisted, None).unwrap();
    let mut left = one.contents();
    left.sort();
    assert_eq!(left, [v(18), v(19), v(30)]);
    let _ = fs::remove_dir_all(&root);
}
