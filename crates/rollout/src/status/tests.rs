use super::*;
use crate::simulation::{Effect, Shape, SimulatedCluster};
use prost::Message;

struct Plain;
impl Names for Plain {
    fn node(&self, key: u64) -> Option<(String, String)> {
        Some((format!("n{key:x}"), "a".into()))
    }
    fn operation(&self, number: u32) -> String {
        format!("op{number}")
    }
}

#[test]
fn a_status_has_the_stage_the_nodes_and_the_judgement() {
    let mut cluster = SimulatedCluster::new(Shape::new(1, 10));
    cluster.run(60_000_000_000);
    cluster.offer(
        3,
        2,
        Effect {
            errored: 0.02,
            ..Effect::NONE
        },
    );
    cluster.run(90_000_000_000);
    let rollout = cluster.participant(0).unwrap();
    let members = cluster.members(0);
    let all: Vec<(Member, Option<NodeReport>)> = members
        .iter()
        .map(|member| (*member, rollout.coordinator.report(member.node).cloned()))
        .collect();
    let shown = StatusSnapshot::of(
        cluster.clock(0),
        &rollout.agent,
        &rollout.coordinator,
        &all,
        &Plain,
    );
    let bytes = shown.encode_to_vec();
    assert!(bytes.len() < 8000, "{}", bytes.len());
    assert_eq!(StatusSnapshot::decode(&bytes[..]).unwrap(), shown);
    assert_eq!(
        (
            shown.nodes.len(),
            shown.nodes_in_all,
            shown.rollouts[0].stage
        ),
        (10, 10, 1)
    );
    assert!(shown.nodes[0].in_stage && !shown.nodes[1].in_stage);
    assert_eq!(shown.by_version(), BTreeMap::from([(1, 9), (2, 1)]));
    assert!(
        shown
            .findings
            .iter()
            .any(|finding| finding.operation == "op11" && finding.what == "errored")
    );
    assert!(shown.points.len() >= 5 && shown.points.iter().any(|point| point.nodes == [9, 1]));
    assert!(
        !shown.waits.is_empty() && !shown.verdict.is_empty(),
        "{}",
        shown.verdict
    );
}
