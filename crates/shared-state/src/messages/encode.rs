//! Encodes messages.

use super::encode_counters::{encode_counters, encode_totals};
use super::wire::{GrantedLease, Keys, Known, LeaseRequest, Payload, Process, ServiceReport, kind};
use super::{KnownCounters, LimitMessage, SharedMessage, add_later_field};
use crate::budget::{BudgetRequest, Lease};
use crate::keyed_quota::{QuotaGrant, QuotaRequest};
use crate::service_health::HealthReport;
use crate::{MILLISECOND, ProcessId};
use prost::Message as _;

/// Encodes a message. The caller must first split a counter report that does not fit one payload,
/// with [`split_report`](super::split_report).
pub fn encode(message: &SharedMessage) -> Vec<u8> {
    let payload = match message {
        SharedMessage::Limits(message) => encode_limits(message),
        SharedMessage::CounterReport(report) => Payload {
            kind: kind::COUNTER_REPORT,
            counters: Some(encode_counters(report)),
            ..Payload::default()
        },
        SharedMessage::KnownCounters(known) => Payload {
            kind: kind::KNOWN_COUNTERS,
            known: Some(encode_known(known)),
            ..Payload::default()
        },
        SharedMessage::TotalsRequest => empty_payload(kind::TOTALS_REQUEST),
        SharedMessage::ClusterTotals(totals) => Payload {
            kind: kind::TOTALS,
            totals: Some(encode_totals(totals)),
            ..Payload::default()
        },
        SharedMessage::HealthReports(reports) => Payload {
            kind: kind::HEALTH_REPORTS,
            health_reports: reports.iter().map(encode_health).collect(),
            ..Payload::default()
        },
    };
    add_later_field(payload.encode_to_vec())
}

fn empty_payload(kind: u32) -> Payload {
    Payload {
        kind,
        ..Payload::default()
    }
}

fn encode_limits(message: &LimitMessage) -> Payload {
    match message {
        LimitMessage::VoteRequest { round } => Payload {
            number: *round,
            ..empty_payload(kind::VOTE_REQUEST)
        },
        LimitMessage::Vote {
            round,
            is_granted,
            holder,
            bound_for,
        } => Payload {
            number: *round,
            is_granted: *is_granted,
            bound_for: *bound_for,
            process: holder.map(encode_process),
            ..empty_payload(kind::VOTE)
        },
        LimitMessage::VoteRelease { round } => Payload {
            number: *round,
            ..empty_payload(kind::VOTE_RELEASE)
        },
        LimitMessage::LeaseRequest {
            sent_at,
            zone,
            requests,
        } => Payload {
            sent_at: *sent_at,
            zone: *zone,
            lease_requests: requests.iter().map(encode_lease_request).collect(),
            ..empty_payload(kind::LEASE_REQUEST)
        },
        LimitMessage::LeaseGrant {
            request_sent_at,
            leases,
        } => Payload {
            sent_at: *request_sent_at,
            leases: leases.iter().map(encode_lease).collect(),
            ..empty_payload(kind::LEASE_GRANT)
        },
        LimitMessage::Redirect { leader } => Payload {
            process: leader.map(encode_process),
            ..empty_payload(kind::REDIRECT)
        },
        LimitMessage::Leave => empty_payload(kind::LEAVE),
        LimitMessage::QuotaRequest(request) => encode_quota_request(request),
        LimitMessage::QuotaGrant(grant) => encode_quota_grant(grant),
    }
}

pub(super) fn encode_process(process: ProcessId) -> Process {
    Process {
        key: process.key,
        incarnation: process.incarnation,
    }
}

fn encode_lease_request(request: &BudgetRequest) -> LeaseRequest {
    LeaseRequest {
        budget: request.budget,
        held_lender: request.held.lender,
        held_number: request.held.number,
        units: request.units,
        value: request.value,
    }
}

fn encode_lease((budget, lease): &(u32, Lease)) -> GrantedLease {
    GrantedLease {
        budget: *budget,
        lender: lease.id.lender,
        number: lease.id.number,
        units: lease.units,
        duration: lease.duration,
        total_demand: lease.total_demand,
        borrowers: lease.borrowers,
        pool: lease.pool,
    }
}

fn encode_quota_request(request: &QuotaRequest) -> Payload {
    let keys = &request.keys;
    Payload {
        number: u64::from(request.number),
        sent_at: request.sent_at,
        keys: Some(Keys {
            quotas: keys.iter().map(|key| key.quota).collect(),
            keys: keys.iter().map(|key| key.key).collect(),
            kept: keys.iter().map(|key| key.kept).collect(),
            released: keys.iter().map(|key| key.released).collect(),
            units: keys.iter().map(|key| key.wanted).collect(),
            waits_ms: Vec::new(),
        }),
        ..empty_payload(kind::QUOTA_REQUEST)
    }
}

fn encode_quota_grant(grant: &QuotaGrant) -> Payload {
    let keys = &grant.keys;
    Payload {
        number: u64::from(grant.number),
        sent_at: grant.request_sent_at,
        key_lease_duration: grant.lease_duration,
        keys: Some(Keys {
            quotas: keys.iter().map(|key| key.quota).collect(),
            keys: keys.iter().map(|key| key.key).collect(),
            kept: Vec::new(),
            released: Vec::new(),
            units: keys.iter().map(|key| key.added).collect(),
            waits_ms: keys
                .iter()
                .map(|key| key.retry_after.div_ceil(MILLISECOND) as u32)
                .collect(),
        }),
        ..empty_payload(kind::QUOTA_GRANT)
    }
}

fn encode_known(known: &KnownCounters) -> Known {
    let progress = &known.progress;
    Known {
        first_key: known.first_key,
        last_key: known.last_key,
        keys: progress.iter().map(|(process, _)| process.key).collect(),
        incarnations: progress
            .iter()
            .map(|(process, _)| process.incarnation)
            .collect(),
        progress: progress.iter().map(|(_, sum)| *sum).collect(),
    }
}

fn encode_health((service, report): &(u64, HealthReport)) -> ServiceReport {
    ServiceReport {
        service: *service,
        zone: report.zone,
        calls: report.calls,
        failed: report.failed,
        admitted_share: report.admitted_share,
    }
}
