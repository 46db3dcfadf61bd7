use super::*;

#[test]
fn all_bounds_together_stay_below_the_memory_that_is_told() {
    for (memory_mb, sockets) in [
        (32.0, 384),
        (48.0, 512),
        (64.0, 384),
        (192.0, 512),
        (192.0, 1024),
    ] {
        for parts in 0..5 {
            let beside = OptionalSubsystems {
                settings: parts > 0,
                fleet: parts > 1,
                shared: parts > 2,
                changes: parts > 3,
            };
            let room = CapacityLimits::of(
                &Limits {
                    cores: 0.1,
                    memory_mb,
                    sockets,
                },
                4,
                beside,
            );
            assert!(
                room.total(4) < memory_mb as usize * (1 << 20),
                "{memory_mb} MB: {room:?}"
            );
            assert!(
                room.connections > sockets / 2,
                "dispatchers may open half of {sockets}: {room:?}"
            );
        }
    }
}
