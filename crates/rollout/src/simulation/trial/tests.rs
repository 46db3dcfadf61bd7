use super::*;

fn trial(nodes: usize, effect: Effect, mode: RolloutMode) -> Trial {
    Trial {
        nodes,
        zones: 3,
        requests_per_window: 200.0,
        noise: Noise::USUAL,
        plan: Plan::default(),
        effect,
        mode,
    }
}

#[test]
fn good_rollouts_complete_and_staged_bad_ones_cost_less_than_all_at_once() {
    let stages = RolloutMode::Staged(AnalysisMethod::Nodes);
    let good: Vec<TrialResult> = (0..20)
        .map(|seed| trial(30, Effect::NONE, stages).run(seed))
        .collect();
    assert!(
        good.iter().filter(|outcome| outcome.stopped).count() <= 1,
        "{good:?}"
    );
    assert!(good.iter().all(|outcome| outcome.cost == 0.0));
    for seed in 0..5 {
        let bad = trial(30, Effect::REJECT_ALL, stages).run(seed);
        assert!(bad.stopped && bad.stage == 1, "{bad:?}");
        let at_once = trial(30, Effect::REJECT_ALL, RolloutMode::AllAtOnce).run(seed);
        assert!(
            at_once.stopped && bad.cost * 4.0 < at_once.cost,
            "{bad:?} {at_once:?}"
        );
    }
}
