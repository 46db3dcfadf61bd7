//! The exchange of health reports about the backend service between the nodes, and their aggregation
//! for the core.

use super::hosts::{MembershipHost, SHARED_STATE_TOPIC};
use crate::io::inbox::Message;
use crate::node::Event;
use madderpoint_membership::{ClockReading, MemberKey, Membership, Nanos};
use madderpoint_shared_state::messages::{SharedMessage, encode};
use madderpoint_shared_state::{HealthReport, HealthReports, ProcessId, service_health};

/// Maximum number of stored health reports of other nodes. In a large cluster a sample is enough.
const MAX_REPORTS: usize = 256;
/// Number of random members that each report is sent to.
const REPORT_RECEIVERS: usize = 3;
/// Of the health reports without failures, one in this many is sent.
const WELL_REPORT_INTERVAL: u64 = 4;

/// This node's end of the exchange of health reports.
pub struct HealthExchange {
    /// Hash of the service's name; reports with another hash are ignored.
    service: u64,
    health_reports: HealthReports,
    local_report_count: u64,
}

impl HealthExchange {
    /// Creates the exchange for the service of this name.
    pub fn new(service_name: &str) -> HealthExchange {
        HealthExchange {
            service: MemberKey::of(service_name).0,
            health_reports: HealthReports::new(MAX_REPORTS),
            local_report_count: 0,
        }
    }

    /// Stores another process's report about this service. Reports about other services are ignored.
    pub fn receive(&mut self, now: Nanos, from: ProcessId, service: u64, report: HealthReport) {
        if service == self.service {
            self.health_reports.receive(now, from, service, report);
        }
    }

    /// Handles this node's own report: sends it to some members, and sends the core the aggregated
    /// health.
    pub fn report_local(
        &mut self,
        at: ClockReading,
        membership: &mut Membership<MembershipHost>,
        report: HealthReport,
    ) {
        self.local_report_count += 1;
        let is_well = report.failed == 0 && report.admitted_share >= 1.0;
        let is_due = !is_well || self.local_report_count.is_multiple_of(WELL_REPORT_INTERVAL);
        if report.calls > 0 && is_due || report.admitted_share < 1.0 {
            let message = SharedMessage::HealthReports(vec![(self.service, report)]);
            let payload = encode(&message);
            for key in membership.random_members(REPORT_RECEIVERS) {
                membership.send_payload(at, key, SHARED_STATE_TOPIC, &payload);
            }
        }
        let mut health = self.health_reports.aggregate(at.now, self.service);
        let (me, _) = membership.identity();
        let members = membership
            .member_table()
            .iter()
            .filter(|(_, entry)| entry.liveness().is_present());
        health.is_prober =
            service_health::is_prober(at.now, me.0, self.service, members.map(|(key, _)| key.0));
        health.is_alone = membership.member_table().counts().present() <= 1;
        let event = Message::Event(Event::AggregatedHealth(health));
        let _ = membership.host.events.try_send(event);
    }
}
