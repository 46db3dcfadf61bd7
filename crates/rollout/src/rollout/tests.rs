use super::*;
use std::collections::BTreeMap;

pub(crate) fn rollout(id: u64, number: u64) -> Rollout {
    Rollout {
        id: RolloutId(id),
        kind: Kind::Settings,
        version: Version {
            number,
            hash: crate::splitmix64(number ^ id),
        },
        base: Version {
            number: 1,
            hash: 11,
        },
        digest: [id as u8; 32],
        bytes: 100,
        by: 5,
        at_ms: 1000 + id,
        plan: Plan::default(),
        progress: Progress::default(),
        outcome: Outcome::InProgress,
        reason: Reason::default(),
    }
}

pub(crate) fn progress(stage: u32) -> Progress {
    let thresholds = BTreeMap::from([(0, u64::from(stage) << 50)]);
    Progress {
        agreement: u64::from(stage),
        stage,
        thresholds,
        ..Progress::default()
    }
}

#[test]
fn reason_is_truncated_at_a_character_boundary() {
    assert_eq!(
        Reason::new(1, 2, &"ş".repeat(200)).why.len(),
        MAX_REASON_BYTES
    );
}
