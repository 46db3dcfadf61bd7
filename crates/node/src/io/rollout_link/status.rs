//! The status that `rollout status` and `rollout explain` show.

use super::{RolloutLink, topic};
use madderpoint_membership::{ClockReading, Host as MembershipHost, MemberKey, Membership};
use madderpoint_rollout::messages;
use madderpoint_rollout::status::{Names, StatusSnapshot};
use madderpoint_rollout::{Member, NodeReport, Participant};
use madderpoint_shared_state::counters::WINDOW_MS;
use madderpoint_shared_state::keyed_quota::name_hash;
use prost::Message as _;

/// Names of nodes and operations, shown in a status.
struct ClusterNames<'a, H: MembershipHost> {
    membership: &'a Membership<H>,
    operations: &'a [String],
}

impl<H: MembershipHost> Names for ClusterNames<'_, H> {
    fn node(&self, key: u64) -> Option<(String, String)> {
        let entry = self.membership.member_table().get(MemberKey(key))?;
        Some((entry.name.to_string(), entry.details.zone.to_string()))
    }
    fn operation(&self, row: u32) -> String {
        let name = self.operations.iter().find(|name| name_hash(name) == row);
        name.cloned().unwrap_or_else(|| format!("{row:08x}"))
    }
}

impl RolloutLink {
    /// Returns the encoded status snapshot for the status commands.
    pub fn status_snapshot<H: MembershipHost>(
        &self,
        at: ClockReading,
        membership: &Membership<H>,
    ) -> Vec<u8> {
        let topic = topic(self.kind);
        let Participant {
            agent, coordinator, ..
        } = &self.participant;
        let members: Vec<(Member, Option<NodeReport>)> = agent
            .host
            .members
            .iter()
            .map(|member| {
                let entry = membership.member_table().get(MemberKey(member.node));
                let attachment =
                    entry.and_then(|e| e.details.attachments.iter().find(|a| a.id == topic));
                (
                    *member,
                    attachment
                        .and_then(|attachment| messages::decode_attachment(&attachment.bytes)),
                )
            })
            .collect();
        let names = ClusterNames {
            membership,
            operations: &self.operations,
        };
        let mut status = StatusSnapshot::of(at.unix_ms, agent, coordinator, &members, &names);
        status.window_ms = WINDOW_MS;
        let bare_members: Vec<Member> = members.iter().map(|(member, _)| *member).collect();
        let acting_coordinator = coordinator
            .acting_coordinator(&bare_members)
            .and_then(|key| membership.member_table().get(MemberKey(key)));
        status.coordinator_address =
            acting_coordinator.map_or_else(String::new, |entry| entry.details.address.to_string());
        status.encode_to_vec()
    }
}
