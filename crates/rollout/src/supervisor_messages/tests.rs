use super::*;
use crate::identifiers::Kind;

#[test]
fn sayings_come_in_any_pieces_and_unknown_fields_are_passed_over() {
    let mut persisted = PersistedState::new(Kind::Program);
    persisted.promote(Version { number: 3, hash: 9 });
    let trial = Trial {
        rollout: RolloutId(5),
        version: Version { number: 4, hash: 8 },
        tries: 1,
    };
    let begin = StartInstructions {
        persisted,
        version: Version { number: 3, hash: 9 },
        crashed: Some(trial),
        disk_was_empty: false,
        another_process_serves: true,
    };
    let failed = Err("it is not here".into());
    let all = [
        SupervisorMessage::begin(&begin),
        SupervisorMessage::plain(kind::READY),
        SupervisorMessage::done(7, &failed),
    ];
    let mut bytes: Vec<u8> = all.iter().flat_map(SupervisorMessage::write).collect();
    // A field of a later version, number 99.
    let mut later = SupervisorMessage::plain(kind::IN_CHARGE).encode_to_vec();
    later.extend([0x98, 0x06, 0x01]);
    bytes.extend((later.len() as u32).to_le_bytes());
    bytes.extend(later);
    for step in [1, 3, 1000] {
        let (mut reader, mut read) = (MessageReader::default(), Vec::new());
        for part in bytes.chunks(step) {
            reader.feed(part);
            while let Some(saying) = reader.take().unwrap() {
                read.push(saying);
            }
        }
        assert_eq!((&read[..3], read[3].kind), (&all[..], kind::IN_CHARGE));
        assert_eq!(read[0].start_instructions(), Some(begin.clone()));
        assert_eq!(read[1].start_instructions(), None);
    }
    let mut reader = MessageReader::default();
    reader.feed(&u32::MAX.to_le_bytes());
    assert_eq!(reader.take(), Err(MalformedMessage));
}
