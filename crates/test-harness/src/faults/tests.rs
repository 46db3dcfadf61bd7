use super::*;
use crate::scenario::NodeSelector;

fn place(name: &str, zone: &str) -> NodeLocation {
    NodeLocation {
        name: name.into(),
        zone: zone.into(),
    }
}

#[test]
fn faults_affect_only_the_selected_links() {
    let faults = Faults::new(1);
    let (a, b, c) = (place("n0", "z0"), place("n1", "z1"), place("n2", "z0"));
    let cut = Fault {
        cut: true,
        ..Fault::default()
    };
    let faulty = LinkFault {
        from: NodeSelector::Node("n0".into()),
        to: NodeSelector::Zone("z1".into()),
        fault: cut,
        ..LinkFault::default()
    };
    faults.put(faulty.clone(), None);
    assert!(faults.is_cut(&a, &b) && !faults.is_cut(&b, &a) && !faults.is_cut(&a, &c));
    assert!(
        faults
            .delivery(LinkKind::Fleet, &a, &b, 9)
            .copies
            .is_empty()
    );
    assert_eq!(
        faults.delivery(LinkKind::Load, &a, &b, 9).copies,
        [Duration::ZERO]
    );
    faults.heal();
    faults.put(
        LinkFault {
            both: true,
            ..faulty
        },
        Some(Duration::from_secs(60)),
    );
    assert!(faults.is_cut(&a, &b) && faults.is_cut(&b, &a));
    faults.heal();
    assert_eq!(
        faults.delivery(LinkKind::Fleet, &a, &b, 9).copies,
        [Duration::ZERO]
    );
}

#[test]
fn fault_shares_are_met_and_the_same_seed_gives_the_same_deliveries() {
    let play = || {
        let faults = Faults::new(5);
        let fault = Fault {
            loss: 0.25,
            double: 0.25,
            damage: 0.25,
            ..Fault::default()
        };
        faults.put(
            LinkFault {
                fault,
                ..LinkFault::default()
            },
            None,
        );
        let (a, b) = (place("n0", ""), place("n1", ""));
        (0..1000)
            .map(|_| faults.delivery(LinkKind::Fleet, &a, &b, 9))
            .collect::<Vec<_>>()
    };
    let deliveries = play();
    assert_eq!(deliveries, play());
    let lost = deliveries.iter().filter(|f| f.copies.is_empty()).count();
    let doubled = deliveries.iter().filter(|f| f.copies.len() == 2).count();
    assert!(
        (200..300).contains(&lost) && (130..250).contains(&doubled),
        "{lost}, {doubled}"
    );
}
