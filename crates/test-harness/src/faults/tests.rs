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

#[test]
fn streams_pass_without_the_lock_until_a_fault_is_put_and_wait_for_a_held_link() {
    let faults = Faults::new(1);
    let (a, b) = (place("n0", "z0"), place("n1", "z1"));
    let preempted = faults.lock();
    faults.wait_to_pass(LinkKind::Backend, &a, &b, 9);
    drop(preempted);
    let hold = Fault {
        hold: true,
        ..Fault::default()
    };
    faults.put(
        LinkFault {
            from: NodeSelector::Node("n0".into()),
            to: NodeSelector::All,
            on: LinkKind::Backend,
            fault: hold,
            ..LinkFault::default()
        },
        None,
    );
    let is_healed = AtomicBool::new(false);
    let (begins, begun) = std::sync::mpsc::channel();
    std::thread::scope(|scope| {
        let stream = scope.spawn(|| {
            begins.send(()).unwrap();
            faults.wait_to_pass(LinkKind::Backend, &a, &b, 9);
            is_healed.load(SeqCst)
        });
        begun.recv().unwrap();
        faults.wait_to_pass(LinkKind::Load, &a, &b, 9);
        is_healed.store(true, SeqCst);
        faults.heal();
        assert!(stream.join().unwrap(), "the stream passed a held link");
    });
}
