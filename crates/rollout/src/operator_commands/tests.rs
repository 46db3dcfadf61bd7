use super::*;
use crate::rollout::tests::rollout;

fn chunk(content: &[u8], index: u32) -> OperatorCommand {
    let bytes = chunks::chunk(content, index).unwrap().to_vec();
    let (size, digest) = (content.len() as u32, chunks::digest(content).to_vec());
    OperatorCommand {
        kind: command_kind::CHUNK,
        chunk: index,
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

fn state(action: &CommandAction) -> Option<u32> {
    match action {
        CommandAction::Reply(reply) => Some(reply.state),
        _ => None,
    }
}

fn handle(commands: &mut OperatorCommands, now: Nanos, command: &OperatorCommand) -> CommandAction {
    commands.handle(now, Kind::Settings, &RolloutTable::default(), command)
}

fn offer_checked(
    commands: &mut OperatorCommands,
    check: u64,
    result: Result<Version, HostError>,
) -> Option<Rollout> {
    let promoted = Version { number: 4, hash: 1 };
    let identity = (Kind::Settings, 7, 1000);
    let offered = commands.offer_checked(
        check,
        result,
        identity,
        &RolloutTable::default(),
        promoted,
        &Plan::default(),
    );
    offered.map(|(rollout, content)| {
        assert_eq!(content.map(|c| c.len() as u32), Some(rollout.bytes));
        rollout
    })
}

#[test]
fn content_in_chunks_is_offered_once_however_often_the_offer_is_repeated() {
    let (content, mut commands) = (vec![9; 3000], OperatorCommands::default());
    assert_eq!(
        state(&handle(&mut commands, 0, &offer(&content))),
        Some(state::REJECTED)
    );
    for index in [2, 0, 0, 1] {
        assert_eq!(
            state(&handle(&mut commands, 0, &chunk(&content, index))),
            Some(state::DONE)
        );
    }
    let CommandAction::CheckOffer {
        check,
        content: Some(whole),
        ..
    } = handle(&mut commands, 0, &offer(&content))
    else {
        panic!("a complete content is checked")
    };
    assert_eq!(whole, content);
    assert_eq!(
        state(&handle(&mut commands, 1, &offer(&content))),
        Some(state::PENDING)
    );
    let version = Version {
        number: 5,
        hash: 55,
    };
    let rollout = offer_checked(&mut commands, check, Ok(version)).unwrap();
    assert_eq!(
        (rollout.version, rollout.base.number, rollout.by),
        (version, 4, 7)
    );
    assert!(
        offer_checked(&mut commands, check, Ok(version)).is_none(),
        "the result of a check is used once"
    );
    let again = handle(&mut commands, 2, &offer(&content));
    assert_eq!(
        again,
        CommandAction::Reply(reply(state::DONE, "", rollout.id.0))
    );
}

#[test]
fn corrupt_outdated_or_oversized_content_is_rejected() {
    let (content, mut commands) = (vec![9; 100], OperatorCommands::default());
    let mut corrupt = chunk(&content, 0);
    corrupt.bytes[5] ^= 1;
    handle(&mut commands, 0, &corrupt);
    assert_eq!(
        state(&handle(&mut commands, 0, &offer(&content))),
        Some(state::REJECTED)
    );
    handle(&mut commands, 0, &chunk(&content, 0));
    let CommandAction::CheckOffer { check, .. } = handle(&mut commands, 0, &offer(&content)) else {
        panic!()
    };
    assert!(offer_checked(&mut commands, check, Ok(Version { number: 4, hash: 9 })).is_none());
    let CommandAction::Reply(reply) = handle(&mut commands, 0, &offer(&content)) else {
        panic!()
    };
    assert!(reply.why.contains("not higher than 4"), "{}", reply.why);
    let other = vec![8; 2000];
    handle(&mut commands, 0, &chunk(&other, 0));
    assert_eq!(
        state(&handle(&mut commands, 0, &chunk(&content, 0))),
        Some(state::PENDING),
        "one content at a time"
    );
    assert_eq!(
        state(&handle(
            &mut commands,
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
        state(&handle(&mut commands, 0, &large)),
        Some(state::REJECTED)
    );
    assert_eq!(
        state(&handle(
            &mut commands,
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
fn halt_and_rollback_apply_to_the_current_rollout_and_may_be_repeated() {
    let (mut rollouts, mut commands) = (RolloutTable::default(), OperatorCommands::default());
    let halt = OperatorCommand {
        kind: command_kind::HALT,
        ..OperatorCommand::default()
    };
    let back = OperatorCommand {
        kind: command_kind::ROLL_BACK,
        why: "error rate".into(),
        ..OperatorCommand::default()
    };
    let mut handle = |rollouts: &RolloutTable, command: &OperatorCommand| {
        commands.handle(0, Kind::Settings, rollouts, command)
    };
    assert_eq!(state(&handle(&rollouts, &halt)), Some(state::REJECTED));
    rollouts.merge(&rollout(3, 9));
    assert!(matches!(
        handle(&rollouts, &halt),
        CommandAction::End {
            id: RolloutId(3),
            outcome: Outcome::Halted,
            ..
        }
    ));
    rollouts.end(RolloutId(3), Outcome::Halted, Reason::new(1, 1, "x"));
    assert_eq!(state(&handle(&rollouts, &halt)), Some(state::DONE));
    let CommandAction::End {
        outcome: Outcome::RolledBack,
        why,
        ..
    } = handle(&rollouts, &back)
    else {
        panic!()
    };
    assert_eq!(why, "error rate");
    assert_eq!(
        state(&handle(
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
    let action = commands.handle(0, Kind::Program, &rollouts, &program);
    let version = Some(Version { number: 7, hash: 8 });
    assert!(
        matches!(action, CommandAction::CheckOffer { version: v, content: None, .. } if v == version)
    );
}
