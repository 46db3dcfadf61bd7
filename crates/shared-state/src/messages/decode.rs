//! Decodes messages and checks their bounds.

use super::decode_counters::{decode_counters, decode_totals};
use super::wire::{GrantedLease, Keys, Known, LeaseRequest, Payload, Process, ServiceReport, kind};
use super::{KnownCounters, LimitMessage, MAX_KNOWN_PROCESSES, MAX_PAYLOAD_BYTES, SharedMessage};
use crate::budget::{BudgetRequest, Lease, LeaseId};
use crate::keyed_quota::{KeyGrant, KeyRequest, MAX_KEYS_PER_REQUEST, QuotaGrant, QuotaRequest};
use crate::service_health::HealthReport;
use crate::{MILLISECOND, Nanos, ProcessId, SECOND};
use prost::Message as _;

/// Maximum number of budgets in a message.
const MAX_BUDGETS: usize = 64;
/// Maximum duration of a lease, in nanoseconds; longer durations are clamped.
const MAX_LEASE_DURATION: Nanos = 3600 * SECOND;
/// Maximum value of a unit to a node that requests it; larger values are clamped.
const MAX_VALUE: f64 = 1e6;

/// Decodes a message. Returns `None` if the message is malformed, exceeds a bound or is of an
/// unknown kind.
pub fn decode(bytes: &[u8]) -> Option<SharedMessage> {
    let payload = Payload::decode(bytes)
        .ok()
        .filter(|_| bytes.len() <= MAX_PAYLOAD_BYTES)?;
    if payload.lease_requests.len() > MAX_BUDGETS || payload.leases.len() > MAX_BUDGETS {
        return None;
    }
    Some(match payload.kind {
        kind::HEALTH_REPORTS => SharedMessage::HealthReports(
            payload
                .health_reports
                .iter()
                .filter_map(decode_health)
                .collect(),
        ),
        kind::COUNTER_REPORT => {
            SharedMessage::CounterReport(Box::new(decode_counters(&payload.counters?)?))
        }
        kind::KNOWN_COUNTERS => SharedMessage::KnownCounters(decode_known(&payload.known?)?),
        kind::TOTALS_REQUEST => SharedMessage::TotalsRequest,
        kind::TOTALS => SharedMessage::ClusterTotals(Box::new(decode_totals(&payload.totals?)?)),
        _ => SharedMessage::Limits(decode_limits(payload)?),
    })
}

fn decode_limits(payload: Payload) -> Option<LimitMessage> {
    let Payload {
        number, sent_at, ..
    } = payload;
    Some(match payload.kind {
        kind::VOTE_REQUEST => LimitMessage::VoteRequest { round: number },
        kind::VOTE => LimitMessage::Vote {
            round: number,
            is_granted: payload.is_granted,
            holder: payload.process.map(decode_process),
            bound_for: payload.bound_for,
        },
        kind::VOTE_RELEASE => LimitMessage::VoteRelease { round: number },
        kind::LEASE_REQUEST => LimitMessage::LeaseRequest {
            sent_at,
            zone: payload.zone,
            requests: payload
                .lease_requests
                .iter()
                .map(decode_lease_request)
                .collect(),
        },
        kind::LEASE_GRANT => LimitMessage::LeaseGrant {
            request_sent_at: sent_at,
            leases: payload.leases.iter().map(decode_lease).collect(),
        },
        kind::REDIRECT => LimitMessage::Redirect {
            leader: payload.process.map(decode_process),
        },
        kind::LEAVE => LimitMessage::Leave,
        kind::QUOTA_REQUEST => LimitMessage::QuotaRequest(QuotaRequest {
            number: u32::try_from(number).ok()?,
            sent_at,
            keys: decode_key_requests(payload.keys?)?,
        }),
        kind::QUOTA_GRANT => LimitMessage::QuotaGrant(QuotaGrant {
            number: u32::try_from(number).ok()?,
            request_sent_at: sent_at,
            lease_duration: payload.key_lease_duration.min(MAX_LEASE_DURATION),
            keys: decode_key_grants(payload.keys?)?,
        }),
        _ => return None,
    })
}

pub(super) fn decode_process(process: Process) -> ProcessId {
    ProcessId {
        key: process.key,
        incarnation: process.incarnation,
    }
}

fn decode_lease_request(request: &LeaseRequest) -> BudgetRequest {
    BudgetRequest {
        budget: request.budget,
        held: LeaseId {
            lender: request.held_lender,
            number: request.held_number,
        },
        units: request.units,
        // A value that is not finite would corrupt the distribution of units among borrowers.
        value: if request.value.is_finite() {
            request.value.clamp(0.0, MAX_VALUE)
        } else {
            0.0
        },
    }
}

fn decode_lease(lease: &GrantedLease) -> (u32, Lease) {
    (
        lease.budget,
        Lease {
            id: LeaseId {
                lender: lease.lender,
                number: lease.number,
            },
            units: lease.units,
            duration: lease.duration.min(MAX_LEASE_DURATION),
            total_demand: lease.total_demand,
            borrowers: lease.borrowers,
            pool: lease.pool,
        },
    )
}

/// Decodes key requests. Returns `None` if the lists differ in length or are too long.
fn decode_key_requests(keys: Keys) -> Option<Vec<KeyRequest>> {
    let count = keys.keys.len();
    let fits = [&keys.quotas, &keys.kept, &keys.released, &keys.units]
        .iter()
        .all(|list| list.len() == count);
    (fits && count <= MAX_KEYS_PER_REQUEST).then(|| {
        let request = |index: usize| KeyRequest {
            quota: keys.quotas[index],
            key: keys.keys[index],
            kept: keys.kept[index],
            released: keys.released[index],
            wanted: keys.units[index],
        };
        (0..count).map(request).collect()
    })
}

/// Decodes key grants. Returns `None` if the lists differ in length or are too long.
fn decode_key_grants(keys: Keys) -> Option<Vec<KeyGrant>> {
    let count = keys.keys.len();
    let fits = [&keys.quotas, &keys.units, &keys.waits_ms]
        .iter()
        .all(|list| list.len() == count);
    (fits && count <= MAX_KEYS_PER_REQUEST).then(|| {
        let grant = |index: usize| KeyGrant {
            quota: keys.quotas[index],
            key: keys.keys[index],
            added: keys.units[index],
            retry_after: u64::from(keys.waits_ms[index]) * MILLISECOND,
        };
        (0..count).map(grant).collect()
    })
}

/// Decodes known counters. Returns `None` if the lists differ in length or are too long.
fn decode_known(known: &Known) -> Option<KnownCounters> {
    let count = known.keys.len();
    let fits = count <= MAX_KNOWN_PROCESSES
        && known.incarnations.len() == count
        && known.progress.len() == count;
    let processes = known
        .keys
        .iter()
        .zip(&known.incarnations)
        .map(|(key, incarnation)| ProcessId {
            key: *key,
            incarnation: *incarnation,
        });
    let progress = processes.zip(known.progress.iter().copied()).collect();
    fits.then_some(KnownCounters {
        first_key: known.first_key,
        last_key: known.last_key,
        progress,
    })
}

/// Decodes a health report. Returns `None` if its admitted share is not finite.
fn decode_health(report: &ServiceReport) -> Option<(u64, HealthReport)> {
    if !report.admitted_share.is_finite() {
        return None;
    }
    Some((
        report.service,
        HealthReport {
            zone: report.zone,
            calls: report.calls,
            failed: report.failed.min(report.calls),
            admitted_share: report.admitted_share.clamp(0.0, 1.0),
        },
    ))
}
