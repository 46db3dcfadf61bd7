//! The element `<rollout>`: how changes of settings and of the program go out.

use crate::xml::{Element, Text};
use crate::{Complaint, Place};
use madderpoint_rollout::Nanos;
use madderpoint_rollout::stages::{MAX_STAGE_DURATION, MIN_STAGE_DURATION, Plan, Stage};
use madderpoint_rules::time;

const MILLISECOND: Nanos = 1_000_000;

/// What the file says of changes.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Where the node keeps what it started on, has on trial and can go back to.
    pub dir: String,
    /// How a change that is offered at this node goes out.
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

struct Reading {
    complaints: Vec<Complaint>,
}

impl Reading {
    fn wrong(&mut self, text: &Text, field: &str, what: String, expected: &str) {
        let place = Place::Span(text.place(0), text.value.len().max(1));
        let field = format!("rollout/{field}");
        self.complaints.push(Complaint {
            place,
            field,
            what,
            expected: expected.to_owned(),
        });
    }

    fn share(&mut self, of: &Element, name: &str, into: &mut u32) {
        let Some(text) = of.get(name) else { return };
        match thousandths(&text.value) {
            Some(share) => *into = share,
            None => {
                let what = format!("{:?} is out of range", text.value);
                self.wrong(text, &format!("@{name}"), what, "0.001 to 1");
            }
        }
    }

    fn time(&mut self, of: &Element, name: &str, into: &mut Nanos, least: Nanos) {
        let Some(text) = of.get(name) else { return };
        let time = time::span(&text.value).and_then(|time| Nanos::try_from(time).ok());
        match time.filter(|time| (least..=MAX_STAGE_DURATION).contains(time)) {
            Some(time) => *into = time,
            None => {
                let expected = format!("{} ms to 7 days", least / MILLISECOND);
                self.wrong(
                    text,
                    &format!("stage/@{name}"),
                    format!("{:?} is out of range", text.value),
                    &expected,
                );
            }
        }
    }

    fn stage(&mut self, element: &Element, usual: &Stage) -> Option<Stage> {
        let text = element.get("share")?;
        let share = if text.value == "one" {
            Some(0)
        } else {
            thousandths(&text.value)
        };
        if share.is_none() {
            self.wrong(
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
    /// Reads the element, which fits the schema; gives all that is wrong with what it means.
    pub fn read(element: &Element) -> Result<RolloutSettings, Vec<Complaint>> {
        let mut reading = Reading {
            complaints: Vec::new(),
        };
        let mut plan = Plan::default();
        let usual = plan.stages[1];
        reading.share(element, "of-zone", &mut plan.max_zone_permille);
        reading.share(element, "margin", &mut plan.margin_permille);
        let stages: Vec<Stage> = element
            .all("stage")
            .filter_map(|stage| reading.stage(stage, &usual))
            .collect();
        if element.one("stage").is_some() {
            plan.stages = stages;
        }
        if let (true, Err(what)) = (reading.complaints.is_empty(), plan.check()) {
            let place = Place::At(element.at);
            let expected = "stages that grow from one to the next up to the whole fleet".to_owned();
            reading.complaints.push(Complaint {
                place,
                field: "rollout".into(),
                what: what.to_string(),
                expected,
            });
        }
        let dir = element
            .get("dir")
            .map(|text| text.value.clone())
            .unwrap_or_default();
        if reading.complaints.is_empty() {
            Ok(RolloutSettings { dir, plan })
        } else {
            Err(reading.complaints)
        }
    }
}
