use super::*;

#[test]
fn a_version_is_found_by_its_number_and_verified_by_its_hash() {
    let root = std::env::temp_dir().join(format!("madderpoint-programs-{}", std::process::id()));
    let _ = fs::remove_dir_all(&root);
    for (name, text) in [
        ("7", "seven"),
        ("release-8", "eight"),
        ("9", ""),
        ("notes", ""),
    ] {
        fs::create_dir_all(root.join(name)).unwrap();
        if !text.is_empty() {
            fs::write(root.join(name).join(PROGRAM), text).unwrap();
        }
    }
    let eight = version_of(&root.join("release-8")).unwrap();
    assert_eq!(
        (eight.number, find(&root, eight).unwrap()),
        (8, root.join("release-8"))
    );
    assert_ne!(eight.hash, version_of(&root.join("7")).unwrap().hash);
    let other = Version { hash: 1, ..eight };
    assert!(
        find(&root, other)
            .unwrap_err()
            .to_string()
            .contains("release-8 has version 8")
    );
    assert!(version_of(&root.join("9")).is_err() && version_of(&root.join("notes")).is_err());
    assert!(
        find(
            &root,
            Version {
                number: 10,
                hash: 1
            }
        )
        .unwrap_err()
        .to_string()
        .contains("no directory")
    );
    let _ = fs::remove_dir_all(&root);
}
