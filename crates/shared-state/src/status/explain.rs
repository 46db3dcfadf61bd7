//! In words.

use super::{BudgetStatus, LeaseStatus, LenderStatus, QuotaStatus, ServiceStatus, StatusSnapshot};
use std::fmt::Write;

impl StatusSnapshot {
    /// RefusalReason the node holds what it holds, in words.
    pub fn why(&self) -> Vec<String> {
        let mut lines = vec![self.who_lends()];
        lines.extend(self.budgets.iter().map(|budget| budget.why()));
        if !self.keys.is_empty() {
            lines.push(match (self.keys_deaf, self.keys_heard_ms) {
                (true, Some(ago)) => {
                    format!(
                        "keys: nobody who lends was heard for {ago} ms: floors are all there is"
                    )
                }
                (true, None) => {
                    "keys: nobody who lends was ever heard: floors are all there is".into()
                }
                (false, Some(ago)) => format!("keys: heard from the one who lends {ago} ms ago"),
                (false, None) => "keys: nothing was asked for yet".into(),
            });
        }
        lines.extend(self.keys.iter().map(QuotaStatus::why));
        lines.extend(self.service.iter().map(ServiceStatus::why));
        if self.let_in + self.turned_away > 0 {
            lines.push(format!(
                "room below: {} let in that need a call, {} turned away before they ran, {} calls wait for room",
                self.let_in, self.turned_away, self.calls_waiting
            ));
        }
        lines
    }

    fn who_lends(&self) -> String {
        let mut line = match (self.lends, self.lender) {
            (true, _) => "this node lends: a majority of the arbiters gave it their word".to_owned(),
            (false, 0) => {
                "nobody is known to lend: fewer than most arbiters are heard, or they have not agreed \
                           yet; floors are all there is"
                    .to_owned()
            }
            (false, key) if self.lender_name.is_empty() => format!("a node with key {key:016x} lends"),
            (false, _) => format!("{} lends", self.lender_name),
        };
        for book in &self.books {
            let LenderStatus {
                name,
                out,
                pool,
                borrowers,
            } = book;
            let _ = write!(line, "; of '{name}' {out} of {pool} are out to {borrowers}");
        }
        if let [keys, pockets, refused, opens] = self.key_books[..] {
            let _ = write!(line, "; of keys {pockets} pockets of {keys} keys are out");
            if refused > 0 {
                let _ = write!(line, ", {refused} found no room");
            }
            if opens > 0 {
                let _ = write!(
                    line,
                    ", none before {opens} ms from now: what another one lent ends first"
                );
            }
        }
        line
    }
}

impl BudgetStatus {
    fn why(&self) -> String {
        let BudgetStatus {
            name,
            limit,
            floor,
            units,
            wants,
            ..
        } = self;
        let kind = if self.rate {
            "calls a second"
        } else {
            "calls in hand"
        };
        let of = if self.repeats_only {
            " that repeat one which failed"
        } else {
            ""
        };
        let mut line = format!(
            "budget '{name}', {limit} {kind}{of} for the fleet: may use {units}, its floor of {floor}"
        );
        match &self.part {
            None => line += " alone, for nothing was lent yet",
            Some(part) => {
                let left = units.saturating_sub(*floor);
                let _ = write!(
                    line,
                    " and {left} of a part of {}, asked for {} ms ago",
                    part.units, part.asked_ms
                );
                let (age, term) = (part.asked_ms, part.term_ms.max(1));
                if left < part.units {
                    let _ = match age * 4 / term {
                        0..=2 => write!(line, ": its first half is over, and nothing came since"),
                        3 => write!(line, ": it is nearly over, and nothing came since"),
                        _ => write!(line, ": its time of {term} ms is over"),
                    };
                }
                let LeaseStatus {
                    wanted,
                    borrowers,
                    pool,
                    ..
                } = part;
                let short = if wanted > pool {
                    ", which is short"
                } else {
                    ""
                };
                let _ = write!(
                    line,
                    "; {borrowers} asked for {wanted} of {pool} then{short}"
                );
            }
        }
        let _ = write!(
            line,
            "; wants {wants} beside its floor; {} allowed, {} refused",
            self.allowed, self.refused
        );
        if !self.rate {
            let _ = write!(line, ", {} in hand", self.in_hand);
        }
        line
    }
}

impl QuotaStatus {
    fn why(&self) -> String {
        let QuotaStatus {
            name,
            count,
            floor,
            lent,
            by_floor,
            ..
        } = self;
        let limit = match self.period_ms {
            0 => format!("{count} in hand"),
            period => format!("{count} in {period} ms, {} saved", self.burst),
        };
        let mut line = format!(
            "keys '{name}', each {limit} for the fleet: {lent} let through by units lent, {by_floor} by floors of {floor}; \
             {} units of {} keys lie here",
            self.units, self.keys
        );
        for (times, why) in self.refused.iter().zip([
            "before units were here",
            "for the key is short",
            "for nobody who lends is heard",
            "without room for the key",
        ]) {
            if *times > 0 {
                let _ = write!(line, "; {times} refused {why}");
            }
        }
        line
    }
}

impl ServiceStatus {
    fn why(&self) -> String {
        let ServiceStatus {
            name,
            mode,
            tries,
            failed,
            ill,
            witnesses,
            ill_zones,
            zones,
            ..
        } = self;
        let because = match mode.as_str() {
            "closed" => "it failed this node",
            "careful" => "others say that it is ill",
            "rising" => "it was down and load comes back in steps",
            _ => "nothing speaks against it",
        };
        let tries_it = match (mode.as_str(), self.alone, self.prober) {
            ("closed", true, _) => "; alone, this node tries it each 5 s",
            ("closed", _, true) => "; this node is one of those who try it",
            ("closed", ..) => "; others try it now",
            _ => "",
        };
        format!(
            "service '{name}': {mode} for {} ms, {:.0} % goes there, for {because}{tries_it}; {failed} of {tries} calls failed \
             lately, {ill} of {witnesses} others in {ill_zones} of {zones} zones say that it is ill; {} calls went, {} were kept back",
            self.since_ms,
            self.level * 100.0,
            self.passed,
            self.kept_back
        )
    }
}
