//! Keys and results.

use super::*;

const BYTES_MAX: usize = 1 << 20;

fn read(subject: u64) -> Key {
    Key {
        op: 0,
        subject,
        body: None,
        once: false,
        arrived: 0,
    }
}

fn once(subject: u64, body: u64) -> Key {
    Key {
        op: 0,
        subject,
        body: Some(body),
        once: true,
        arrived: 0,
    }
}

#[test]
fn what_must_run_once_stays_known_whatever_becomes_of_its_result() {
    let mut cache = IdempotencyCache::new(8);
    cache.remember(0, RequestId(1), once(5, 77), 100, 0);
    assert!(!cache.conflicts(0, &once(5, 77)) && cache.conflicts(0, &once(5, 78)));
    assert_eq!(
        (cache.original(0, read(5)), cache.original(0, once(5, 77))),
        (None, Some(RequestId(1)))
    );
    // The result is too large to be kept, and then the invocation is let go of.
    cache.keep(RequestId(1), &[0; 9], 1);
    cache.over(RequestId(1), true);
    assert_eq!(
        (cache.original(99, once(5, 77)), cache.result(RequestId(1))),
        (Some(RequestId(1)), None)
    );
    assert_eq!(cache.original(101, once(5, 77)), None, "its window is over");
    // One that can't have run may come again; a result that fits serves for the whole window.
    cache.remember(200, RequestId(2), once(6, 1), 300, 0);
    cache.over(RequestId(2), false);
    assert_eq!(cache.original(200, once(6, 1)), None);
    cache.remember(200, RequestId(3), once(6, 1), 300, 0);
    cache.keep(RequestId(3), &[1; 8], 201);
    assert_eq!(
        (cache.original(300, once(6, 1)), cache.result(RequestId(3))),
        (Some(RequestId(3)), Some(&[1; 8][..]))
    );
}

#[test]
fn entries_end_with_their_lifetimes_and_are_bounded() {
    let mut cache = IdempotencyCache::new(BYTES_MAX);
    let most = cache.most_keys;
    for n in 0..most as u64 + 10 {
        cache.remember(0, RequestId(n), read(n), 100, 0);
    }
    assert_eq!((cache.entries.len(), cache.expiry.len()), (most, most));
    let result = vec![7; 4096];
    (0..most as u64).for_each(|n| cache.keep(RequestId(n), &result, 50));
    assert_eq!(
        (cache.bytes, cache.entries.len()),
        (BYTES_MAX, BYTES_MAX / 4096)
    );
    assert_eq!(cache.original(50, read(1)), Some(RequestId(1)));
    assert_eq!(cache.original(51, read(1)), None);
    assert_eq!(cache.result(RequestId(1)), Some(&result[..]));
    assert_eq!(cache.original(101, read(1)), None);
    assert_eq!(
        (cache.bytes, cache.entries.len(), cache.keys.len()),
        (0, 0, 0)
    );
}

#[test]
fn a_newer_read_takes_the_entry_over() {
    let mut cache = IdempotencyCache::new(BYTES_MAX);
    cache.remember(0, RequestId(1), read(9), 100, 0);
    cache.remember(0, RequestId(2), read(9), 100, 0);
    cache.forget(RequestId(1));
    assert_eq!(cache.original(0, read(9)), Some(RequestId(2)));
}
