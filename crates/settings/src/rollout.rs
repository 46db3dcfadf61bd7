//! The element `<rollout>`: how new settings and programs go out in stages.

use crate::diagnostics::Collector;
use crate::xml::Element;
use crate::{Diagnostic, Location};
use madderpoint_rollout::Nanos;
use madderpoint_rollout::stages::{MAX_STAGE_DURATION, MIN_STAGE_DURATION, Plan, Stage};
use madderpoint_rules::time;

/// In nanoseconds.
const MILLISECOND: Nanos = 1_000_000;

/// The settings of rollouts.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutSettings {
    /// The directory of the node's persisted state: versions that it started on, has on trial and
    /// can go back to.
    pub dir: String,
    /// How a rollout that is offered at this node goes out.
    pub plan: Plan,
}

/// A share in thousandths.
fn thousandths(text: &str) -> Option<u32> {
    let share = text
        .parse::<f64>()
        .ok()
        .filter(|share| (0.001..=1.0).contains(share))?;
    Some((share * 1000.0).round() as u32)
}

/// Reads the parts of the element, and collects what is wrong with them.
struct Reader {
    collector: Collector,
}

impl Reader {
    /// A share, in thousandths; `into` stays as it is if none is given.
    fn share(&mut self, of: &Element, name: &str, into: &mut u32) {
        let Some(text) = of.get(name) else { return };
        match thousandths(&text.value) {
            Some(share) => *into = share,
            None => {
                let what = format!("{:?} is out of range", text.value);
                self.collector
                    .report(text, &format!("@{name}"), what, "0.001 to 1");
            }
        }
    }

    /// A duration of a stage, in nanoseconds; `into` stays as it is if none is given.
    fn time(&mut self, of: &Element, name: &str, into: &mut Nanos, least: Nanos) {
        let Some(text) = of.get(name) else { return };
        let time = time::span(&text.value).and_then(|time| Nanos::try_from(time).ok());
        match time.filter(|time| (least..=MAX_STAGE_DURATION).contains(time)) {
            Some(time) => *into = time,
            None => {
                let expected = format!("{} ms to 7 days", least / MILLISECOND);
                self.collector.report(
                    text,
                    &format!("stage/@{name}"),
                    format!("{:?} is out of range", text.value),
                    &expected,
                );
            }
        }
    }

    /// A stage; what it does not set is as in `usual`.
    fn stage(&mut self, element: &Element, usual: &Stage) -> Option<Stage> {
        let text = element.get("share")?;
        let share = if text.value == "one" {
            Some(0)
        } else {
            thousandths(&text.value)
        };
        if share.is_none() {
            self.collector.report(
                text,
                "stage/@share",
                format!("{:?} is out of range", text.value),
                "one, or 0.001 to 1",
            );
        }
        let mut stage = Stage {
            share_permille: share?,
            ..*usual
        };
        self.time(
            element,
            "least",
            &mut stage.min_duration,
            MIN_STAGE_DURATION,
        );
        self.time(
            element,
            "longest",
            &mut stage.max_duration,
            MIN_STAGE_DURATION,
        );
        self.time(element, "spread", &mut stage.start_spread, 0);
        if let Some(sample) = element
            .get("sample")
            .and_then(|text| text.value.parse().ok())
        {
            stage.min_requests = sample;
        }
        Some(stage)
    }
}

impl RolloutSettings {
    /// Reads the element, which fits the schema.
    ///
    /// # Errors
    ///
    /// All that is wrong with what it means.
    pub fn read(element: &Element) -> Result<RolloutSettings, Vec<Diagnostic>> {
        let mut reader = Reader {
            collector: Collector::new("rollout/"),
        };
        let mut plan = Plan::default();
        let usual = plan.stages[1];
        reader.share(element, "of-zone", &mut plan.max_zone_permille);
        reader.share(element, "margin", &mut plan.margin_permille);
        let stages: Vec<Stage> = element
            .all("stage")
            .filter_map(|stage| reader.stage(stage, &usual))
            .collect();
        if element.one("stage").is_some() {
            plan.stages = stages;
        }
        if let (true, Err(what)) = (reader.collector.diagnostics.is_empty(), plan.check()) {
            reader.collector.diagnostics.push(Diagnostic::new(
                Location::At(element.at),
                "rollout",
                what.to_string(),
                "stages that grow from one to the next up to the whole fleet",
            ));
        }
        let dir = element
            .get("dir")
            .map(|text| text.value.clone())
            .unwrap_or_default();
        if reader.collector.diagnostics.is_empty() {
            Ok(RolloutSettings { dir, plan })
        } else {
            Err(reader.collector.diagnostics)
        }
    }
}
