//! How long keys stay known, and the bounds of the cache.

use super::*;

const BYTES_MAX: usize = 1 << 20;

fn read(subject: u64) -> IdempotencyKey {
    IdempotencyKey {
        operation: 0,
        subject,
        body: None,
        once: false,
        arrived: 0,
    }
}

fn once(subject: u64, body: u64) -> IdempotencyKey {
    IdempotencyKey {
        operation: 0,
        subject,
        body: Some(body),
        once: true,
        arrived: 0,
    }
}

#[test]
fn a_key_of_what_must_run_once_stays_known_without_its_result() {
    let mut cache = IdempotencyCache::new(8);
    cache.retain(0, RequestId(1), once(5, 77), 100, 0);
    assert!(!cache.conflicts(0, &once(5, 77)) && cache.conflicts(0, &once(5, 78)));
    assert_eq!(
        (cache.original(0, read(5)), cache.original(0, once(5, 77))),
        (None, Some(RequestId(1)))
    );
    // The result is too large to be kept, and then the request ends.
    cache.store(RequestId(1), &[0; 9], 1);
    cache.ended_without_result(RequestId(1), true);
    assert_eq!(
        (cache.original(99, once(5, 77)), cache.result(RequestId(1))),
        (Some(RequestId(1)), None)
    );
    assert_eq!(cache.original(101, once(5, 77)), None, "its window is over");
    // One that can't have run may come again; a result that fits serves for the whole window.
    cache.retain(200, RequestId(2), once(6, 1), 300, 0);
    cache.ended_without_result(RequestId(2), false);
    assert_eq!(cache.original(200, once(6, 1)), None);
    cache.retain(200, RequestId(3), once(6, 1), 300, 0);
    cache.store(RequestId(3), &[1; 8], 201);
    assert_eq!(
        (cache.original(300, once(6, 1)), cache.result(RequestId(3))),
        (Some(RequestId(3)), Some(&[1; 8][..]))
    );
}

#[test]
fn entries_expire_and_are_bounded() {
    let mut cache = IdempotencyCache::new(BYTES_MAX);
    let max_keys = cache.max_keys;
    for n in 0..max_keys as u64 + 10 {
        cache.retain(0, RequestId(n), read(n), 100, 0);
    }
    assert_eq!(
        (cache.entries.len(), cache.by_expiry.len()),
        (max_keys, max_keys)
    );
    let result = vec![7; 4096];
    (0..max_keys as u64).for_each(|n| cache.store(RequestId(n), &result, 50));
    assert_eq!(
        (cache.bytes, cache.entries.len()),
        (BYTES_MAX, BYTES_MAX / 4096)
    );
    assert_eq!(cache.original(50, read(1)), Some(RequestId(1)));
    assert_eq!(cache.original(51, read(1)), None);
    assert_eq!(cache.result(RequestId(1)), Some(&result[..]));
    assert_eq!(cache.original(101, read(1)), None);
    assert_eq!(
        (cache.bytes, cache.entries.len(), cache.by_request.len()),
        (0, 0, 0)
    );
}

#[test]
fn a_newer_request_takes_over_the_entry_of_its_key() {
    let mut cache = IdempotencyCache::new(BYTES_MAX);
    cache.retain(0, RequestId(1), read(9), 100, 0);
    cache.retain(0, RequestId(2), read(9), 100, 0);
    cache.release(RequestId(1));
    assert_eq!(cache.original(0, read(9)), Some(RequestId(2)));
}
