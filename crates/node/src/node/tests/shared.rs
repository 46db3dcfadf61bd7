//! What the fleet shares, at the core: budgets, judgements and limits by key bound what goes below
//! and what is let in.

use super::rules::{fleet_sheet, settings};
use super::*;
use madderpoint_shared_state::keyed_quota::{KeyGrant, KeyRequest};
use madderpoint_shared_state::{BudgetKind, HealthReport, HealthState};

const S: Nanos = 1000 * MS;

fn rate(limit: u32) -> Budget {
    let kind = BudgetKind::Rate { burst: 50 * MS };
    Budget {
        name: "b".into(),
        limit,
        floor: limit,
        max_nodes: 1,
        kind,
        retries_only: false,
    }
}

fn service() -> Service {
    Service {
        name: "register".into(),
        slow: Some(200 * MS),
        zone: 1,
    }
}

impl Node {
    /// A node that is part of a fleet, two seconds later.
    fn joined(budgets: &[Budget], service: Option<&Service>) -> Node {
        let mut node = Node::with(&settings());
        let with = With {
            service: service.cloned(),
            counts: true,
        };
        node.core
            .join_fleet(node.now, budgets, QuotaTiming::for_nodes(3), &with);
        node.wait(2000);
        node
    }

    /// Has one run up to its call; whether it was let in.
    fn run_to_call(&mut self, id: u16, path: &str, rid: &str) -> bool {
        self.ask(id, path, rid);
        let runs = self
            .kernel_lines()
            .iter()
            .any(|line| line.contains("SCHED") && line.contains(rid));
        if runs {
            self.call_wanted(rid, 1);
        }
        runs
    }

    fn words(&mut self) -> Vec<ClusterUpdate> {
        self.core.out(|out| std::mem::take(&mut out.words))
    }

    fn mode(&self) -> HealthState {
        self.core.desk.borrow().judge.as_ref().unwrap().state()
    }
}

fn rid(n: u64) -> String {
    format!("{n:016x}")
}

/// Of ten calls a second the next one finds room within a tenth: it waits for that, and is sent
/// whole.
#[test]
fn a_call_waits_for_room_that_comes_soon_and_is_refused_where_it_does_not() {
    let mut node = Node::joined(&[rate(10)], None);
    assert!(node.run_to_call(1, "/call/pay", A));
    assert_eq!(node.calls(), 1);
    node.reply(0, A, Outcome::Ok);
    node.reap(A, End::Ok, b"r");
    node.answers();
    assert!(node.run_to_call(2, "/call/pay", B));
    assert_eq!((node.calls(), node.statuses()), (1, vec![]));
    node.wait(110);
    assert_eq!(node.calls(), 2);
    let (.., bytes) = node.last_call();
    assert!(bytes.starts_with(&format!("invoke {B} ")), "{bytes}");
    // One a second: the second call finds none soon. It never ran, and what needs it errs at once.
    let mut node = Node::joined(&[rate(1)], None);
    node.wait(1000);
    assert!(node.run_to_call(1, "/call/pay", A) && node.calls() == 1);
    node.reply(0, A, Outcome::Ok);
    node.reap(A, End::Ok, b"r");
    node.answers();
    assert!(node.run_to_call(2, "/call/pay", B));
    assert_eq!(
        (node.calls(), node.statuses()),
        (1, vec![(2, "500".into())])
    );
    assert!(node.counted("calls that the fleet's budgets had no room for") > 0);
}

/// A caller that leaves while its call waits leaves nothing behind: the room goes to the next one.
#[test]
fn a_run_that_ends_while_its_call_waits_gives_its_turn_up() {
    let mut node = Node::joined(&[rate(10)], None);
    assert!(node.run_to_call(1, "/call/read", A));
    node.reply(0, A, Outcome::Ok);
    node.reap(A, End::Ok, b"r");
    assert!(node.run_to_call(2, "/call/pay", B) && node.calls() == 1);
    node.reap(B, End::Error, b"");
    node.wait(200);
    assert_eq!(
        (node.calls(), node.core.out(|out| out.cancelled.len())),
        (1, 0)
    );
    assert!(node.run_to_call(3, "/call/pay", "00000000000000cc") && node.calls() == 2);
}

/// What lies below may be at work yet on a call that was given up: it counts as in hand for as long
/// as the longest call.
#[test]
fn a_call_that_was_given_up_counts_as_in_hand_for_its_longest_time() {
    let kind = BudgetKind::InFlight {
        max_call_time: 500 * MS,
    };
    let in_hand = Budget {
        name: "hands".into(),
        kind,
        ..rate(1)
    };
    let ends = |node: &Node| {
        node.core
            .desk
            .borrow_mut()
            .budgets
            .as_mut()
            .unwrap()
            .borrowers()[0]
            .in_flight()
    };
    for (outcome, frees) in [
        (Outcome::Ok, true),
        (Outcome::Overload, false),
        (Outcome::Internal, false),
    ] {
        let mut node = Node::joined(std::slice::from_ref(&in_hand), None);
        assert!(node.run_to_call(1, "/call/read", A) && ends(&node) == 1);
        node.reply(0, A, outcome);
        node.reap(A, End::Ok, b"r");
        // One that never ran was called again, and that call is given up with the run.
        assert_eq!(ends(&node) == 0, frees, "{outcome:?}");
        node.wait(501);
        assert_eq!(ends(&node), 0);
    }
}

/// What can't make its call is turned away before it runs, with the time when there is room.
#[test]
fn what_needs_a_call_is_let_in_for_the_room_there_is() {
    let mut node = Node::joined(&[rate(10)], None);
    let (mut let_in, mut pauses) = (0, Vec::new());
    for n in 0..100 {
        let rid = rid(n);
        if node.run_to_call(n as u16 % 50 + 1, "/call/pay", &rid) {
            let_in += 1;
            node.wait(19);
            node.reply(0, &rid, Outcome::Ok);
            node.reap(&rid, End::Ok, b"r");
        }
        for answer in node
            .answers()
            .iter()
            .filter(|answer| answer.status == "429")
        {
            pauses.push(answer.fields["X-Pushback-Ms"].parse::<u64>().unwrap());
        }
        node.wait(20);
    }
    assert!((19..=26).contains(&let_in), "{let_in} in 2 s and more");
    assert!(
        pauses.len() > 60 && pauses.iter().all(|ms| (1..=110).contains(ms)),
        "{pauses:?}"
    );
    // What can do without its call is not held to that.
    assert!((0..20).all(|n| {
        let rid = rid(500 + n);
        let runs = node.run_to_call(60, "/call/read", &rid);
        node.reap(&rid, End::Ok, b"r");
        node.answers();
        runs
    }));
}

#[test]
fn repeats_of_calls_have_a_budget_of_their_own() {
    let repeats = Budget {
        name: "repeats".into(),
        retries_only: true,
        ..rate(1)
    };
    let mut node = Node::joined(&[rate(1000), repeats], None);
    assert!(node.run_to_call(1, "/call/pay", A));
    node.reply(0, A, Outcome::Overload);
    assert_eq!(node.calls(), 2, "one repeat in a second");
    node.reply(0, A, Outcome::Overload);
    assert_eq!(
        (node.calls(), node.statuses()),
        (2, vec![(1, "500".into())])
    );
    // A first call is no repeat.
    node.reap(A, End::Stopped, b"");
    assert!(node.run_to_call(2, "/call/pay", B) && node.calls() == 3);
}

/// Ten calls in a row fail: the service is closed to this node. What needs it is turned away, what
/// does not goes on without; when a try is due, one is let in for it.
#[test]
fn a_service_that_fails_is_closed_and_tried_and_load_comes_back_in_steps() {
    let mut node = Node::joined(&[], Some(&service()));
    for n in 0..10 {
        assert!(node.run_to_call(1, "/call/pay", &rid(n)));
        node.reply(0, &rid(n), Outcome::Internal);
        node.reap(&rid(n), End::Stopped, b"");
        node.answers();
    }
    assert_eq!(node.mode(), HealthState::Unavailable);
    let calls = node.calls();
    node.ask(1, "/call/pay", A);
    let answer = &node.answers()[0];
    assert_eq!(
        (&answer.status[..], &answer.fields["X-Pushback-Ms"][..]),
        ("429", "500")
    );
    assert!(node.run_to_call(2, "/call/read", B));
    assert_eq!(node.calls(), calls, "kept back");
    assert!(
        node.kernel_lines().iter().any(|line| line.contains("NOIO")),
        "it goes on without its call"
    );
    node.reap(B, End::Ok, b"r");
    // It hears nobody: a try each 5 s.
    let mut tries = 0;
    for n in 100..220 {
        node.wait(100);
        if node.run_to_call(3, "/call/pay", &rid(n)) {
            tries += 1;
            node.reply(0, &rid(n), Outcome::Ok);
            node.reap(&rid(n), End::Ok, b"r");
        }
        node.answers();
    }
    assert_eq!((tries, node.mode()), (3, HealthState::Recovering));
    let let_in = (300..316).filter(|n| {
        let runs = node.run_to_call(4, "/call/pay", &rid(*n));
        node.reply(0, &rid(*n), Outcome::Ok);
        node.reap(&rid(*n), End::Ok, b"r");
        node.answers();
        runs
    });
    assert_eq!(let_in.count(), 1, "a sixteenth");
    assert!(node.words().iter().any(|word| matches!(
        word,
        ClusterUpdate::HealthReport(HealthReport {
            admitted_share: 0.0,
            zone: 1,
            ..
        })
    )));
}

#[test]
fn a_slow_service_counts_as_one_that_fails() {
    let mut node = Node::joined(&[], Some(&service()));
    let mut calls = 0;
    while node.mode() == HealthState::Healthy {
        let rid = rid(calls);
        assert!(
            calls < 10 && node.run_to_call(1, "/call/pay", &rid),
            "{calls}"
        );
        node.wait(300);
        let (place, ..) = node.last_call();
        node.reply(place, &rid, Outcome::Ok);
        node.reap(&rid, End::Ok, b"r");
        node.answers();
        calls += 1;
    }
    assert_eq!((node.mode(), calls > 5), (HealthState::Unavailable, true));
}

/// Others alone make it careful, and never close it.
#[test]
fn what_others_say_makes_a_node_careful_for_as_long_as_they_say_it() {
    let mut node = Node::joined(&[], Some(&service()));
    let ill = AggregatedHealth {
        reporters: 6,
        failing: 6,
        zones: 3,
        failing_zones: 3,
        ..AggregatedHealth::default()
    };
    node.event(Event::AggregatedHealth(ill));
    assert_eq!(node.mode(), HealthState::Degraded);
    node.wait(6000);
    assert_eq!(node.mode(), HealthState::Healthy);
}

const BUCKET: &str = r#"<bucket name="by-org" scope="fleet" nodes-most="4" rate="100/s" burst="50"/>
    <bucket name="hands" scope="fleet" nodes-most="4" in-hand="8"/>
    <rule name="all"><when>true</when><give>
        <limit bucket="by-org">caller.name</limit><limit bucket="hands">caller.name</limit></give></rule>"#;

/// The first one of a key is throttled with a short pause, for nothing is lent yet; the question
/// goes out at once, and what comes lets the next ones in.
#[test]
fn a_limit_by_key_of_the_fleet_asks_and_lets_in_what_was_lent() {
    let mut node = Node::joined(&[], None);
    node.event(Event::Ruled(fleet_sheet(
        &BUCKET.replace("caller.name", "tenant"),
    )));
    node.words();
    node.ask(1, "/call/read", A);
    let refused = node.answers().remove(0);
    assert!(
        refused.status == "429" && refused.fields["X-Pushback-Ms"].parse::<u64>().unwrap() <= 60
    );
    node.wait(30);
    let asked = node.words().into_iter().find_map(|word| match word {
        ClusterUpdate::Keys(asked) => Some(asked),
        _ => None,
    });
    let asked = asked.unwrap();
    assert_eq!(asked.keys.len(), 2, "both budgets at once: {asked:?}");
    let lent = |ask: &KeyRequest| KeyGrant {
        quota: ask.quota,
        key: ask.key,
        added: 2,
        retry_after: 0,
    };
    let keys = asked.keys.iter().map(lent).collect();
    node.event(Event::QuotaGrant(Box::new(QuotaGrant {
        number: asked.number,
        request_sent_at: asked.sent_at,
        lease_duration: 3 * S,
        keys,
    })));
    node.ask(2, "/call/read", B);
    assert_eq!(node.kernel_lines(), [sched(B, "read")]);
    let lent = |node: &Node| {
        let desk = node.core.desk.borrow();
        let wallet = desk.rules.as_ref().unwrap().wallet().unwrap();
        wallet
            .counters()
            .map(|(_, tally)| tally.by_lease)
            .sum::<u64>()
    };
    assert_eq!(lent(&node), 2);
    assert!(
        !node.core.desk.borrow_mut().rules.as_mut().unwrap().let_go(),
        "one is in hand"
    );
    node.reap(B, End::Ok, b"r");
    assert!(
        node.core.desk.borrow_mut().rules.as_mut().unwrap().let_go(),
        "nothing is in hand any more"
    );
    assert!(node.counted("throttled by a limit of the fleet") >= 1);
}

/// What a unit of a budget is worth here is told with what is wanted; and what was counted, each
/// five seconds.
#[test]
fn what_is_worth_more_and_what_was_counted_is_told() {
    let mut settings = settings();
    settings = settings.replace(
        "\"Effect\": \"non_idempotent\", \"LateWorth\": 0.0, \"Points\": 1.0",
        "\"Effect\": \"non_idempotent\", \"LateWorth\": 0.0, \"Points\": 5.0",
    );
    let mut node = Node::with(&settings);
    node.core.join_fleet(
        node.now,
        &[rate(100)],
        QuotaTiming::for_nodes(3),
        &With {
            service: None,
            counts: true,
        },
    );
    node.wait(1000);
    assert!(node.run_to_call(1, "/call/pay", A));
    node.reply(0, A, Outcome::Ok);
    node.reap(A, End::Ok, b"r");
    node.ask(2, "/call/read", B);
    node.reap(B, End::Error, b"");
    node.wait(5000);
    let words = node.words();
    let value = words.iter().rev().find_map(|word| match word {
        ClusterUpdate::Wants { wants, .. } => Some(wants[0].value),
        _ => None,
    });
    assert_eq!(value, Some(3.0), "five and one");
    let counted = words.iter().rev().find_map(|word| match word {
        ClusterUpdate::Counts(word) => Some(word.clone()),
        _ => None,
    });
    use madderpoint_shared_state::counters::{PROCESS_ROW, operation_column, process_column};
    let total = counted.unwrap().total;
    let row = |name: &str| total[&madderpoint_shared_state::keyed_quota::name_hash(name)];
    assert_eq!(
        (
            row("pay")[operation_column::SUCCEEDED],
            row("pay")[operation_column::EARNED_WEIGHT]
        ),
        (1, 5000)
    );
    assert_eq!(
        (
            row("read")[operation_column::ARRIVED],
            row("read")[operation_column::FAILED]
        ),
        (1, 1)
    );
    assert_eq!(
        (
            total[&PROCESS_ROW][process_column::CALLS],
            total[&PROCESS_ROW][process_column::STARTS]
        ),
        (1, 1)
    );
}
