use super::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn refused(bound_for: Nanos) -> VoteRefused {
    VoteRefused {
        bound_for: Some(bound_for),
    }
}

fn process(key: u64) -> ProcessId {
    ProcessId {
        key,
        incarnation: key,
    }
}

#[test]
fn a_new_voter_waits_for_a_lease_duration_and_then_votes_for_one_candidate() {
    let mut voter = Voter::new(100, 1000);
    assert_eq!(voter.request(600, process(1), 1), Err(refused(500)));
    assert_eq!(
        (
            voter.request(1100, process(1), 2),
            voter.request(1500, process(2), 1)
        ),
        (Ok(()), Err(refused(600)))
    );
    assert_eq!(
        (
            voter.request(1600, process(1), 3),
            voter.request(2200, process(2), 2)
        ),
        (Ok(()), Err(refused(400)))
    );
    assert_eq!(
        voter.request(1700, process(1), 2),
        Err(VoteRefused { bound_for: None })
    ); // arrives after a request of a later round
    voter.release(process(2), 2); // this candidate does not have the vote
    voter.release(process(1), 2); // for an earlier round
    assert!(voter.request(2300, process(2), 3).is_err());
    voter.release(process(1), 3);
    assert_eq!(voter.request(2300, process(2), 3), Ok(()));
}

#[test]
fn a_leader_lease_counts_from_the_round_and_late_votes_count_only_for_their_round() {
    let mut candidate = Candidate::new(3, 1000);
    let first = candidate.begin_round(100);
    assert!(!candidate.receive_vote(first, 0) && !candidate.receive_vote(first, 0));
    let second = candidate.begin_round(500);
    assert!(
        !candidate.receive_vote(first, 1)
            && !candidate.receive_vote(second, 1)
            && candidate.receive_vote(second, 2)
    );
    assert_eq!(candidate.leader_until(), 500 + 980);
    assert!(!candidate.receive_vote(second, 7));
    candidate.resign();
    assert_eq!(candidate.leader_until(), 0);
}

/// Guards against two leaders at once under clocks that drift up to the bound, late and lost
/// messages, voters that restart, and candidates that resign with releases that arrive late.
#[test]
fn there_are_never_two_leaders_at_once() {
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (voters, candidates, lease) = (3, 3, 1000u64);
        // Each clock shows the true time multiplied by its rate; the rates differ by at most the
        // drift bound.
        let rate: Vec<f64> = (0..6)
            .map(|_| 1.0 + rng.random_range(-0.5..0.5) / crate::CLOCK_DRIFT_PARTS as f64)
            .collect();
        let clock = |n: usize, now: u64| (now as f64 * rate[n]) as u64;
        let mut voter_states: Vec<Voter> = (0..voters)
            .map(|n| Voter::new(clock(n, 0), lease))
            .collect();
        let mut candidate_states: Vec<Candidate> = (0..candidates)
            .map(|_| Candidate::new(voters, lease))
            .collect();
        let mut in_flight: Vec<(u64, bool, usize, usize, u64)> = Vec::new();
        let mut releases: Vec<(u64, usize, usize, u64)> = Vec::new();
        let mut led = 0;
        for now in (0..40_000u64).step_by(20) {
            if rng.random_bool(0.08) {
                let candidate = rng.random_range(0..candidates);
                let round = candidate_states[candidate].begin_round(clock(3 + candidate, now));
                in_flight.extend((0..voters).filter(|_| rng.random_bool(0.8)).map(|voter| {
                    (
                        now + 20 * (seed % 3) + (now * 7 + voter as u64 * 13) % 170,
                        true,
                        candidate,
                        voter,
                        round,
                    )
                }));
            }
            if rng.random_bool(0.002) {
                let voter = rng.random_range(0..voters);
                voter_states[voter] = Voter::new(clock(voter, now), lease);
            }
            if rng.random_bool(0.02) {
                // A candidate without a majority releases the round's votes. A release may arrive
                // late, when the candidate has a majority in a later round.
                let candidate = rng.random_range(0..candidates);
                if clock(3 + candidate, now) >= candidate_states[candidate].leader_until() {
                    candidate_states[candidate].resign();
                    releases.extend((0..voters).map(|voter| {
                        (
                            now + rng.random_range(0..900),
                            candidate,
                            voter,
                            candidate_states[candidate].round,
                        )
                    }));
                }
            }
            for (_, candidate, voter, round) in releases.extract_if(.., |m| m.0 <= now) {
                voter_states[voter].release(process(candidate as u64), round);
            }
            let due: Vec<_> = in_flight.iter().filter(|m| m.0 <= now).copied().collect();
            in_flight.retain(|m| m.0 > now);
            for (_, is_request, candidate, voter, round) in due {
                if is_request {
                    if voter_states[voter]
                        .request(clock(voter, now), process(candidate as u64), round)
                        .is_ok()
                        && rng.random_bool(0.8)
                    {
                        in_flight.push((
                            now + rng.random_range(0..170),
                            false,
                            candidate,
                            voter,
                            round,
                        ));
                    }
                } else {
                    candidate_states[candidate].receive_vote(round, voter);
                }
            }
            let leaders = (0..candidates)
                .filter(|&n| clock(3 + n, now) < candidate_states[n].leader_until())
                .count();
            assert!(leaders <= 1, "seed {seed}: {leaders} leaders at {now}");
            led += leaders;
        }
        assert!(led > 20, "seed {seed}: a leader in only {led} steps");
    }
}
