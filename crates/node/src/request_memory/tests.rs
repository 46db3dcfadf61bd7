//! Shares of connections in the memory for unfinished requests.

use super::*;

/// Takes memory in small steps for as long as it is given, and returns how much was taken.
fn take_all(memory: &mut ConnectionMemory) -> usize {
    let mut taken = 0;
    while memory.take(64) {
        taken += 64;
    }
    taken
}

#[test]
fn a_connection_may_hold_its_reserved_memory_and_as_much_as_it_leaves_free() {
    let shared = SharedRequestMemory::new(1 << 20);
    let mut memory = ConnectionMemory::new(&shared);
    assert_eq!(take_all(&mut memory), RESERVED_BYTES + (1 << 19));
    assert_eq!(shared.used(), 1 << 19);
    memory.give_back(1 << 19);
    assert_eq!(shared.used(), 0);
    drop(memory);
    let mut memory = ConnectionMemory::new(&SharedRequestMemory::new(0));
    assert_eq!(take_all(&mut memory), RESERVED_BYTES);
}

/// Peers that hold as much as they may must leave some for the next connection.
#[test]
fn the_next_connection_may_hold_as_much_as_is_left_by_those_that_hold_all_they_may() {
    let limit = 1 << 20;
    let shared = SharedRequestMemory::new(limit);
    let mut connections = Vec::new();
    for count in 1..20 {
        let mut memory = ConnectionMemory::new(&shared);
        let free = limit - shared.used();
        let taken = take_all(&mut memory) - RESERVED_BYTES;
        connections.push(memory);
        assert!(
            taken <= free / 2 && taken + 64 > free / 2,
            "{count}: {taken}"
        );
    }
    assert!(shared.used() < limit);
    drop(connections);
    assert_eq!(shared.used(), 0);
}
