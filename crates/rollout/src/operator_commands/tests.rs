use super::*;
use crate::rollout::tests::rollout;

fn chunk(content: &[u8], no: u32) -> OperatorCommand {
    let bytes = chunks::chunk(content, no).unwrap().to_vec();
    let (size, digest) = (content.len() as u32, chunks::digest(content).to_vec());
    OperatorCommand {
        kind: command_kind::CHUNK,
        chunk: no,
        bytes,
        size,
        digest,
        ..OperatorCommand::default()
    }
}

fn offer(content: &[u8]) -> OperatorCommand {
    OperatorCommand {
        kind: command_kind::OFFER,
        digest: chunks::digest(content).to_vec(),
        ..OperatorCommand::default()
    }
}

fn state(act: &CommandAction) -> Option<u32> {
    match act {
        CommandAction::Reply(answered) => Some(answered.state),
        _ => None,
    }
}

fn ordered(orders: &mut OperatorCommands, now: Nanos, received: &OperatorCommand) -> CommandAction {
    orders.handle(now, Kind::Settings, &RolloutTable::default(), received)
}

fn looked(
    orders: &mut OperatorCommands,
    no: u64,
    found: Result<Version, HostError>,
) -> Option<Rollout> {
    let good = Version { number: 4, hash: 1 };
    let of = (Kind::Settings, 7, 1000);
    let offered = orders.offer_checked(
        no,
        found,
        of,
        &RolloutTable::default(),
        good,
        &Plan::default(),
    );
    offered.map(|(rollout, content)| {
        assert_eq!(content.map(|c| c.len() as u32), Some(rollout.bytes));
        rollout
    })
}

#[test]
fn a_content_in_pieces_is_offered_once_however_often_that_is_ordered() {
    let (content, mut orders) = (vec![9; 3000], OperatorCommands::default());
    assert_eq!(
        state(&ordered(&mut orders, 0, &offer(&content))),
        Some(state::REJECTED)
    );
    for no in [2, 0, 0, 1] {
        assert_eq!(
            state(&ordered(&mut orders, 0, &chunk(&content, no))),
            Some(state::DONE)
        );
    }
    let CommandAction::CheckOffer {
        check: no,
        content: Some(whole),
        ..
    } = ordered(&mut orders, 0, &offer(&content))
    else {
        panic!("it is looked into")
    };
    assert_eq!(whole, content);
    assert_eq!(
        state(&ordered(&mut orders, 1, &offer(&content))),
        Some(state::PENDING)
    );
    let version = Version {
        number: 5,
        hash: 55,
    };
    let rollout = looked(&mut orders, no, Ok(version)).unwrap();
    assert_eq!(
        (rollout.version, rollout.base.number, rollout.by),
        (version, 4, 7)
    );
    assert!(
        looked(&mut orders, no, Ok(version)).is_none(),
        "answered once"
    );
    let again = ordered(&mut orders, 2, &offer(&content));
    assert_eq!(
        again,
        CommandAction::Reply(answer(state::DONE, "", rollout.id.0))
    );
}

#[test]
fn what_is_bad_old_or_spoilt_is_refused_with_the_reason() {
    let (content, mut orders) = (vec![9; 100], OperatorCommands::default());
    let mut spoilt = chunk(&content, 0);
    spoilt.bytes[5] ^= 1;
    ordered(&mut orders, 0, &spoilt);
    assert_eq!(
        state(&ordered(&mut orders, 0, &offer(&content))),
        Some(state::REJECTED)
    );
    ordered(&mut orders, 0, &chunk(&content, 0));
    let CommandAction::CheckOffer { check: no, .. } = ordered(&mut orders, 0, &offer(&content))
    else {
        panic!()
    };
    assert!(looked(&mut orders, no, Ok(Version { number: 4, hash: 9 })).is_none());
    let CommandAction::Reply(answered) = ordered(&mut orders, 0, &offer(&content)) else {
        panic!()
    };
    assert!(
        answered.why.contains("not higher than 4"),
        "{}",
        answered.why
    );
    let other = vec![8; 2000];
    ordered(&mut orders, 0, &chunk(&other, 0));
    assert_eq!(
        state(&ordered(&mut orders, 0, &chunk(&content, 0))),
        Some(state::PENDING),
        "one at a time"
    );
    assert_eq!(
        state(&ordered(
            &mut orders,
            INCOMING_IDLE_TIMEOUT,
            &chunk(&content, 0)
        )),
        Some(state::DONE)
    );
    let large = OperatorCommand {
        size: MAX_CONTENT_BYTES as u32 + 1,
        ..chunk(&content, 0)
    };
    assert_eq!(
        state(&ordered(&mut orders, 0, &large)),
        Some(state::REJECTED)
    );
    assert_eq!(
        state(&ordered(
            &mut orders,
            0,
            &OperatorCommand {
                chunk: 9,
                ..chunk(&content, 0)
            }
        )),
        Some(state::REJECTED)
    );
}

#[test]
fn a_halt_or_a_way_back_is_for_the_current_change_and_is_taken_again() {
    let (mut rollouts, mut orders) = (RolloutTable::default(), OperatorCommands::default());
    let halt = OperatorCommand {
        kind: command_kind::HALT,
        ..OperatorCommand::default()
    };
    let back = OperatorCommand {
        kind: command_kind::ROLL_BACK,
        why: "it smells".into(),
        ..OperatorCommand::default()
    };
    let mut act = |rollouts: &RolloutTable, received: &OperatorCommand| {
        orders.handle(0, Kind::Settings, rollouts, received)
    };
    assert_eq!(state(&act(&rollouts, &halt)), Some(state::REJECTED));
    rollouts.merge(&rollout(3, 9));
    assert!(matches!(
        act(&rollouts, &halt),
        CommandAction::End {
            id: RolloutId(3),
            outcome: Outcome::Halted,
            ..
        }
    ));
    rollouts.end(RolloutId(3), Outcome::Halted, Reason::new(1, 1, "x"));
    assert_eq!(state(&act(&rollouts, &halt)), Some(state::DONE));
    let CommandAction::End {
        outcome: Outcome::RolledBack,
        why,
        ..
    } = act(&rollouts, &back)
    else {
        panic!()
    };
    assert_eq!(why, "it smells");
    assert_eq!(
        state(&act(
            &rollouts,
            &OperatorCommand {
                rollout: 99,
                ..back
            }
        )),
        Some(state::REJECTED)
    );
    let program = OperatorCommand {
        kind: command_kind::OFFER,
        number: 7,
        hash: 8,
        ..OperatorCommand::default()
    };
    let act = orders.handle(0, Kind::Program, &rollouts, &program);
    let version = Some(Version { number: 7, hash: 8 });
    assert!(
        matches!(act, CommandAction::CheckOffer { version: v, content: None, .. } if v == version)
    );
}
