//! What the core has to do with the fleet: what is seen of it, and what this node says of itself.
//! The decisions work the same with no fleet at all, and nothing waits for it.

use madderpoint::LoadReport;
use madderpoint::Nanos;
use madderpoint_membership::{ClusterView, Phase};
use madderpoint_shared_state::keyed_quota::QuotaRequest;
use madderpoint_shared_state::status::StatusSnapshot;
use madderpoint_shared_state::{BudgetRequest, HealthReport, counters};

/// Runs that succeeded before a node that started cold counts as warm.
const WARM_AFTER: u32 = 64;

/// What a node says of itself.
#[derive(Clone, Debug, PartialEq)]
pub enum ClusterUpdate {
    /// What it is about.
    Phase(Phase),
    /// Its room (what it advertises, of 255) and its load (invocations in hand, 255 at most).
    Pulse { room: u8, load: u8 },
    /// What it wants of the budgets, and holds, at this time.
    Wants {
        at: Nanos,
        wants: Vec<BudgetRequest>,
    },
    /// What it has of some keys of the fleet's limits, and wants.
    Keys(QuotaRequest),
    /// What it sees of the service below.
    HealthReport(HealthReport),
    /// What it counted so far.
    Counts(Box<counters::CounterReport>),
    /// What it holds of all that is shared, to be shown.
    StatusSnapshot(Box<StatusSnapshot>),
    /// It holds nothing of the budgets any more; whether none of it is in hand.
    LetGo(bool),
}

/// The node among others.
#[derive(Debug, Default)]
pub struct ClusterParticipation {
    /// What is seen of the fleet; none until its part has said anything.
    pub sight: Option<ClusterView>,
    phase: Option<Phase>,
    succeeded: u32,
    pulse: Option<(u8, u8)>,
}

impl ClusterParticipation {
    fn enter(&mut self, phase: Phase) -> Option<ClusterUpdate> {
        let is_new = self.phase.is_none_or(|before| before < phase);
        is_new.then(|| {
            self.phase = Some(phase);
            ClusterUpdate::Phase(phase)
        })
    }

    /// The kernel is up.
    pub fn booted(&mut self, cold: bool) -> Option<ClusterUpdate> {
        self.enter(if cold { Phase::Cold } else { Phase::Serving })
    }

    /// A run succeeded; enough of them, and the node is warm.
    pub fn succeeded(&mut self) -> Option<ClusterUpdate> {
        self.succeeded = self.succeeded.saturating_add(1);
        if self.succeeded == WARM_AFTER {
            self.enter(Phase::Serving)
        } else {
            None
        }
    }

    /// The notice to leave came.
    pub fn drains(&mut self) -> Option<ClusterUpdate> {
        self.enter(Phase::Draining)
    }

    /// What the node has room for, if that is another than was said last.
    pub fn pulse(
        &mut self,
        kind: LoadReport,
        advert: Option<f64>,
        in_hand: usize,
    ) -> Option<ClusterUpdate> {
        let share = |part: f64| (part.clamp(0.0, 1.0) * 255.0) as u8;
        let room = match (kind, advert) {
            (LoadReport::Disabled, _) | (_, None) => 255,
            (LoadReport::SheddingLevel, Some(held_back)) => share(1.0 - held_back),
            (LoadReport::Weight, Some(weight)) => share(weight),
            (LoadReport::Credit, Some(credit)) => credit.clamp(0.0, 255.0) as u8,
        };
        let load = u8::try_from(in_hand).unwrap_or(u8::MAX);
        let is_new = self.pulse.replace((room, load)) != Some((room, load));
        is_new.then_some(ClusterUpdate::Pulse { room, load })
    }
}

#[cfg(test)]
mod tests;
