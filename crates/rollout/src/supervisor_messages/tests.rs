use super::*;
use crate::identifiers::Kind;

#[test]
fn messages_split_at_any_byte_are_read_and_unknown_fields_skipped() {
    let mut persisted = PersistedState::new(Kind::Program);
    persisted.promote(Version { number: 3, hash: 9 });
    let trial = Trial {
        rollout: RolloutId(5),
        version: Version { number: 4, hash: 8 },
        tries: 1,
    };
    let instructions = StartInstructions {
        persisted,
        version: Version { number: 3, hash: 9 },
        crashed: Some(trial),
        disk_was_empty: false,
        another_process_serves: true,
    };
    let failed = Err("version not found".into());
    let all = [
        SupervisorMessage::begin(&instructions),
        SupervisorMessage::plain(kind::READY),
        SupervisorMessage::done(7, &failed),
    ];
    let mut bytes: Vec<u8> = all.iter().flat_map(SupervisorMessage::write).collect();
    // A field that only a later version knows, number 99.
    let mut later = SupervisorMessage::plain(kind::IN_CHARGE).encode_to_vec();
    later.extend([0x98, 0x06, 0x01]);
    bytes.extend((later.len() as u32).to_le_bytes());
    bytes.extend(later);
    for chunk_size in [1, 3, 1000] {
        let (mut reader, mut read) = (MessageReader::default(), Vec::new());
        for part in bytes.chunks(chunk_size) {
            reader.feed(part);
            while let Some(message) = reader.take().unwrap() {
                read.push(message);
            }
        }
        assert_eq!((&read[..3], read[3].kind), (&all[..], kind::IN_CHARGE));
        assert_eq!(read[0].start_instructions(), Some(instructions.clone()));
        assert_eq!(read[1].start_instructions(), None);
    }
    let mut reader = MessageReader::default();
    reader.feed(&u32::MAX.to_le_bytes());
    assert_eq!(reader.take(), Err(MalformedMessage));
}
