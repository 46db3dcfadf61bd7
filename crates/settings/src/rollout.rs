//! Reads the element `<rollout>`: the stages in which new settings and programs are rolled out.

use crate::diagnostics::Collector;
use crate::xml::Element;
use crate::{Diagnostic, Location};
use madderpoint_rollout::Nanos;
use madderpoint_rollout::stages::{MAX_STAGE_DURATION, MIN_STAGE_DURATION, Plan, Stage};
use madderpoint_rules::time;

const MILLISECOND: Nanos = 1_000_000;

/// Settings of rollouts.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Directory of the node's persisted state: the version that the node started on, the version
    /// on trial and the version to roll back to.
    pub dir: String,
    /// Stages and bounds of rollouts that are started at this node.
    pub plan: Plan,
}

/// Parses a fraction from 0.001 to 1 and returns it in thousandths.
fn thousandths(text: &str) -> Option<u32> {
    let share = text
        .parse::<f64>()
        .ok()
        .filter(|share| (0.001..=1.0).contains(share))?;
    Some((share * 1000.0).round() as u32)
}

/// Reads the parts of the element and collects diagnostics.
struct Reader {
    collector: Collector,
}

impl Reader {
    /// Reads a fraction into `into`, in thousandths; `into` is unchanged if the attribute is
    /// absent.
    fn share(&mut self, element: &Element, name: &str, into: &mut u32) {
        let Some(text) = element.get(name) else {
            return;
        };
        match thousandths(&text.value) {
            Some(share) => *into = share,
            None => {
                let found = format!("{:?} is out of range", text.value);
                self.collector
                    .report(text, &format!("@{name}"), found, "0.001 to 1");
            }
        }
    }

    /// Reads a duration of a stage into `into`, in nanoseconds; `into` is unchanged if the
    /// attribute is absent.
    fn time(&mut self, element: &Element, name: &str, into: &mut Nanos, min: Nanos) {
        let Some(text) = element.get(name) else {
            return;
        };
        let time = time::span(&text.value).and_then(|time| Nanos::try_from(time).ok());
        match time.filter(|time| (min..=MAX_STAGE_DURATION).contains(time)) {
            Some(time) => *into = time,
            None => {
                let expected = format!("{} ms to 7 days", min / MILLISECOND);
                self.collector.report(
                    text,
                    &format!("stage/@{name}"),
                    format!("{:?} is out of range", text.value),
                    &expected,
                );
            }
        }
    }

    /// Reads a stage. Absent attributes have the values of `default`.
    fn stage(&mut self, element: &Element, default: &Stage) -> Option<Stage> {
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
            ..*default
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
    /// Reads an element that the schema has accepted.
    ///
    /// # Errors
    ///
    /// All diagnostics on the values of the element.
    pub fn read(element: &Element) -> Result<RolloutSettings, Vec<Diagnostic>> {
        let mut reader = Reader {
            collector: Collector::new("rollout/"),
        };
        let mut plan = Plan::default();
        let default = plan.stages[1];
        reader.share(element, "of-zone", &mut plan.max_zone_permille);
        reader.share(element, "margin", &mut plan.margin_permille);
        let stages: Vec<Stage> = element
            .all("stage")
            .filter_map(|stage| reader.stage(stage, &default))
            .collect();
        if element.one("stage").is_some() {
            plan.stages = stages;
        }
        if let (true, Err(error)) = (reader.collector.diagnostics.is_empty(), plan.check()) {
            reader.collector.diagnostics.push(Diagnostic::new(
                Location::At(element.at),
                "rollout",
                error.to_string(),
                "stages of increasing size up to the whole fleet",
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
