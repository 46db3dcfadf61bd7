use super::*;

#[test]
fn each_update_is_sent_its_number_of_times_least_sent_first() {
    let mut dissemination_queue = DisseminationQueue::default();
    (1..=6).for_each(|n| dissemination_queue.push(MemberKey(n)));
    let mut sent: HashMap<MemberKey, u32> = HashMap::new();
    while !dissemination_queue.is_empty() {
        let mut capacity = 2;
        dissemination_queue.take(99, |key| {
            let fits = capacity > 0;
            if fits {
                capacity -= 1;
                *sent.entry(key).or_default() += 1;
            }
            fits
        });
        let (least, most) = (sent.values().min(), sent.values().max());
        assert!(
            sent.len() < 6 || most.unwrap() - least.unwrap() <= 1,
            "{sent:?}"
        );
    }
    assert!(
        sent.values().all(|times| *times == transmissions(99)) && sent.len() == 6,
        "{sent:?}"
    );
}

#[test]
fn a_new_update_replaces_the_queued_one_about_the_same_member() {
    let mut dissemination_queue = DisseminationQueue::default();
    dissemination_queue.push(MemberKey(1));
    dissemination_queue.take(9, |_| true);
    dissemination_queue.push(MemberKey(1));
    assert_eq!(
        (
            dissemination_queue.len(),
            dissemination_queue.positions[&MemberKey(1)].0
        ),
        (1, 0)
    );
    dissemination_queue.remove_updates(MemberKey(1));
    assert!(dissemination_queue.is_empty() && dissemination_queue.positions.is_empty());
}
