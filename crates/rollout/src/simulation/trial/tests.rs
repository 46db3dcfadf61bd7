use super::*;

fn trial(nodes: usize, effect: Effect, out: Out) -> Trial {
    Trial {
        nodes,
        zones: 3,
        each: 200.0,
        noise: Noise::USUAL,
        plan: Plan::default(),
        effect,
        out,
    }
}

#[test]
fn good_changes_finish_and_bad_ones_cost_less_than_everywhere_at_once() {
    let stages = Out::Stages(AnalysisMethod::Nodes);
    let good: Vec<TrialResult> = (0..20)
        .map(|seed| trial(30, Effect::NONE, stages).play(seed))
        .collect();
    assert!(
        good.iter().filter(|outcome| outcome.stopped).count() <= 1,
        "{good:?}"
    );
    assert!(good.iter().all(|outcome| outcome.cost == 0.0));
    for seed in 0..5 {
        let bad = trial(30, Effect::SHUT, stages).play(seed);
        assert!(bad.stopped && bad.stage == 1, "{bad:?}");
        let at_once = trial(30, Effect::SHUT, Out::AtOnce).play(seed);
        assert!(
            at_once.stopped && bad.cost * 4.0 < at_once.cost,
            "{bad:?} {at_once:?}"
        );
    }
}
