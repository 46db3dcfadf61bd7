use super::*;

#[test]
fn each_piece_goes_out_its_number_of_times_the_least_sent_first() {
    let mut gossip = DisseminationQueue::default();
    (1..=6).for_each(|n| gossip.push(MemberKey(n)));
    let mut sent: HashMap<MemberKey, u32> = HashMap::new();
    while !gossip.is_empty() {
        let mut room = 2;
        gossip.take(99, |key| {
            let fits = room > 0;
            if fits {
                room -= 1;
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
        sent.values().all(|times| *times == copies(99)) && sent.len() == 6,
        "{sent:?}"
    );
}

#[test]
fn fresh_news_of_a_member_takes_the_place_of_what_was_out() {
    let mut gossip = DisseminationQueue::default();
    gossip.push(MemberKey(1));
    gossip.take(9, |_| true);
    gossip.push(MemberKey(1));
    assert_eq!((gossip.len(), gossip.places[&MemberKey(1)].0), (1, 0));
    gossip.drop_news(MemberKey(1));
    assert!(gossip.is_empty() && gossip.places.is_empty());
}
