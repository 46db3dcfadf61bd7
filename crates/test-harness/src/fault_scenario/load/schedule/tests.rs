use super::*;

const INTERVAL: Duration = Duration::from_millis(60);

/// Returns the first `count` times of a connection whose requests are answered at once.
fn times(seed: u64, start: Instant, count: usize) -> Vec<Instant> {
    let mut schedule = SendSchedule::new(seed, start);
    let mut now = start;
    let mut drawn = Vec::new();
    for _ in 0..count {
        now = schedule.next(INTERVAL, now);
        drawn.push(now);
    }
    drawn
}

#[test]
fn the_interval_is_fixed() {
    let drawn = times(7, Instant::now(), 50);
    for pair in drawn.windows(2) {
        assert_eq!(pair[1] - pair[0], INTERVAL);
    }
}

#[test]
fn a_seed_draws_the_same_phase_again() {
    let start = Instant::now();
    assert_eq!(times(7, start, 50), times(7, start, 50));
    assert_ne!(times(7, start, 50), times(8, start, 50));
}

#[test]
fn connections_that_start_together_send_their_first_requests_over_a_whole_interval() {
    let start = Instant::now();
    let mut first: Vec<_> = (0..24)
        .map(|seed| times(seed, start, 1)[0] - start)
        .collect();
    first.sort();
    assert!(first[0] < INTERVAL / 4 && first[23] > INTERVAL * 3 / 4);
}

#[test]
fn a_request_is_sent_at_once_after_a_slow_answer() {
    let start = Instant::now();
    let mut schedule = SendSchedule::new(7, start);
    schedule.next(INTERVAL, start);
    let answered = start + INTERVAL * 10;
    assert_eq!(schedule.next(INTERVAL, answered), answered);
    assert_eq!(schedule.postponed(INTERVAL, answered), None);
}

/// All connections sleep through a pause of the test machine and wake at its end.
#[test]
fn connections_that_overslept_send_over_a_whole_interval() {
    let start = Instant::now();
    let end_of_pause = start + INTERVAL * 5;
    let mut sent: Vec<_> = (0..24)
        .map(|seed| {
            let mut schedule = SendSchedule::new(seed, start);
            schedule.next(INTERVAL, start);
            let later = schedule.postponed(INTERVAL, end_of_pause).unwrap();
            assert_eq!(schedule.postponed(INTERVAL, later), None);
            later - end_of_pause
        })
        .collect();
    sent.sort();
    let most_at_once = sent
        .iter()
        .map(|first| {
            sent.iter()
                .filter(|at| (*first..*first + INTERVAL / 3).contains(*at))
                .count()
        })
        .max();
    assert!(sent[23] > INTERVAL * 3 / 4 && sent[23] <= INTERVAL);
    assert!(most_at_once < Some(16), "{most_at_once:?}");
}
