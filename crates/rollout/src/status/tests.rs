use super::*;
use crate::simulation::{Effect, SimulatedCluster, SimulationConfig};
use prost::Message;

struct PlainNames;
impl Names for PlainNames {
    fn node(&self, key: u64) -> Option<(String, String)> {
        Some((format!("n{key:x}"), "a".into()))
    }
    fn operation(&self, number: u32) -> String {
        format!("op{number}")
    }
}

#[test]
fn status_has_the_stage_the_nodes_and_the_verdict() {
    let mut cluster = SimulatedCluster::new(SimulationConfig::new(1, 10));
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
    let participant = cluster.participant(0).unwrap();
    let members = cluster.members(0);
    let reports: Vec<(Member, Option<NodeReport>)> = members
        .iter()
        .map(|member| {
            (
                *member,
                participant.coordinator.report(member.node).cloned(),
            )
        })
        .collect();
    let status = StatusSnapshot::of(
        cluster.clock(0),
        &participant.agent,
        &participant.coordinator,
        &reports,
        &PlainNames,
    );
    let bytes = status.encode_to_vec();
    assert!(bytes.len() < 8000, "{}", bytes.len());
    assert_eq!(StatusSnapshot::decode(&bytes[..]).unwrap(), status);
    assert_eq!(
        (
            status.nodes.len(),
            status.nodes_in_all,
            status.rollouts[0].stage
        ),
        (10, 10, 1)
    );
    assert!(status.nodes[0].in_stage && !status.nodes[1].in_stage);
    assert_eq!(status.by_version(), BTreeMap::from([(1, 9), (2, 1)]));
    assert!(
        status
            .findings
            .iter()
            .any(|finding| finding.operation == "op11" && finding.what == "errored")
    );
    assert!(status.points.len() >= 5 && status.points.iter().any(|point| point.nodes == [9, 1]));
    assert!(
        !status.waits.is_empty() && !status.verdict.is_empty(),
        "{}",
        status.verdict
    );
}
