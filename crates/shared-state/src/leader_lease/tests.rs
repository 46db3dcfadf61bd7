use super::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn who(key: u64) -> ProcessId {
    ProcessId { key, life: key }
}

#[test]
fn an_arbiter_that_starts_is_silent_for_a_term_and_then_gives_its_word_to_one() {
    let mut arbiter = Voter::new(100, 1000);
    assert_eq!(arbiter.ask(600, who(1), 1), Err(Some(500)));
    assert_eq!(
        (arbiter.ask(1100, who(1), 2), arbiter.ask(1500, who(2), 1)),
        (Ok(()), Err(Some(600)))
    );
    assert_eq!(
        (arbiter.ask(1600, who(1), 3), arbiter.ask(2200, who(2), 2)),
        (Ok(()), Err(Some(400)))
    );
    assert_eq!(arbiter.ask(1700, who(1), 2), Err(None)); // overtaken
    arbiter.give_back(who(2), 2); // not his
    arbiter.give_back(who(1), 2); // of an earlier round
    assert!(arbiter.ask(2300, who(2), 3).is_err());
    arbiter.give_back(who(1), 3);
    assert_eq!(arbiter.ask(2300, who(2), 3), Ok(()));
}

#[test]
fn a_candidate_lends_by_the_time_of_its_question_and_late_answers_count_for_their_round() {
    let mut candidate = Candidate::new(3, 1000);
    let first = candidate.begin(100);
    assert!(!candidate.given(first, 0) && !candidate.given(first, 0));
    let second = candidate.begin(500);
    assert!(
        !candidate.given(first, 1) && !candidate.given(second, 1) && candidate.given(second, 2)
    );
    assert_eq!(candidate.until(), 500 + 980);
    assert!(!candidate.given(second, 7));
    candidate.resign();
    assert_eq!(candidate.until(), 0);
}

/// Clocks that drift as far as is stated, messages late or lost, arbiters that start anew and
/// candidates that stand still: never two who may lend at once.
#[test]
fn never_two_lend_at_once() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (arbiters, candidates, term) = (3, 3, 1000u64);
        // Clocks: each shows true time times its rate; rates within the drift of each other.
        let rate: Vec<f64> = (0..6)
            .map(|_| 1.0 + rng.random_range(-0.5..0.5) / crate::DRIFT as f64)
            .collect();
        let clock = |n: usize, now: u64| (now as f64 * rate[n]) as u64;
        let mut judges: Vec<Voter> = (0..arbiters)
            .map(|n| Voter::new(clock(n, 0), term))
            .collect();
        let mut asking: Vec<Candidate> = (0..candidates)
            .map(|_| Candidate::new(arbiters, term))
            .collect();
        let mut under_way: Vec<(u64, bool, usize, usize, u64)> = Vec::new();
        let mut back: Vec<(u64, usize, usize, u64)> = Vec::new();
        let mut held = 0;
        for now in (0..40_000u64).step_by(20) {
            if rng.random_bool(0.08) {
                let c = rng.random_range(0..candidates);
                let no = asking[c].begin(clock(3 + c, now));
                under_way.extend((0..arbiters).filter(|_| rng.random_bool(0.8)).map(|a| {
                    (
                        now + 20 * (seed % 3) + (now * 7 + a as u64 * 13) % 170,
                        true,
                        c,
                        a,
                        no,
                    )
                }));
            }
            if rng.random_bool(0.002) {
                let a = rng.random_range(0..arbiters);
                judges[a] = Voter::new(clock(a, now), term);
            }
            if rng.random_bool(0.02) {
                // One who came to no majority gives the round back; that may come late, when he
                // has it after all.
                let c = rng.random_range(0..candidates);
                if clock(3 + c, now) >= asking[c].until() {
                    asking[c].resign();
                    back.extend(
                        (0..arbiters).map(|a| (now + rng.random_range(0..900), c, a, asking[c].no)),
                    );
                }
            }
            for (_, c, a, no) in back.extract_if(.., |m| m.0 <= now) {
                judges[a].give_back(who(c as u64), no);
            }
            let due: Vec<_> = under_way.iter().filter(|m| m.0 <= now).copied().collect();
            under_way.retain(|m| m.0 > now);
            for (_, asks, c, a, no) in due {
                if asks {
                    if judges[a].ask(clock(a, now), who(c as u64), no).is_ok()
                        && rng.random_bool(0.8)
                    {
                        under_way.push((now + rng.random_range(0..170), false, c, a, no));
                    }
                } else {
                    asking[c].given(no, a);
                }
            }
            let lending = (0..candidates)
                .filter(|&c| clock(3 + c, now) < asking[c].until())
                .count();
            assert!(lending <= 1, "seed {seed}: {lending} at {now}");
            held += lending;
        }
        assert!(held > 20, "seed {seed}: somebody lends now and then");
    }
}
