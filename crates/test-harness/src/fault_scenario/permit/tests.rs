use super::*;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::mpsc;

#[test]
fn a_scenario_above_the_bound_waits_until_another_one_ends() {
    let mut held: Vec<Permit> = (0..max_permits()).map(|_| Permit::acquire()).collect();
    let is_free = AtomicBool::new(false);
    let (begins, begun) = mpsc::channel();
    thread::scope(|scope| {
        let waiting = scope.spawn(|| {
            begins.send(()).unwrap();
            let _permit = Permit::acquire();
            is_free.load(SeqCst)
        });
        begun.recv().unwrap();
        is_free.store(true, SeqCst);
        held.pop();
        assert!(
            waiting.join().unwrap(),
            "a permit above the bound was given"
        );
    });
}
