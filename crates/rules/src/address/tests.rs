use super::*;

#[test]
fn set_contains_first_and_last_addresses_of_networks_and_no_neighbours() {
    let nets = [
        "10.1.0.0/16",
        "10.1.2.0/24",
        "10.2.0.0/16",
        "192.168.7.9",
        "2001:db8::/32",
    ];
    let set = AddressSet::new(nets.map(|n| network(n).unwrap()));
    assert_eq!(set.len(), 4, "a network within another is merged into it");
    let is_in = |a: &str| set.contains(a.parse().unwrap());
    for yes in [
        "10.1.0.0",
        "10.2.255.255",
        "192.168.7.9",
        "2001:db8::1",
        "::ffff:10.1.2.3",
    ] {
        assert!(is_in(yes), "{yes}");
    }
    for no in [
        "10.0.255.255",
        "10.3.0.0",
        "192.168.7.8",
        "2001:db9::",
        "::10.1.2.3",
        "0.0.0.0",
    ] {
        assert!(!is_in(no), "{no}");
    }
    assert!(!AddressSet::default().contains("::".parse().unwrap()));
    assert_eq!((network("10.0.0.0/33"), network("a")), (None, None));
}
