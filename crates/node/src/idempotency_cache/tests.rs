//! Retention of keys, and the bounds of the cache.

use super::*;

const BYTES_MAX: usize = 1 << 20;

fn read_key(subject: u64) -> IdempotencyKey {
    IdempotencyKey {
        operation: 0,
        subject,
        body: None,
        once: false,
        arrived: 0,
    }
}

fn keyed(subject: u64, body: u64) -> IdempotencyKey {
    IdempotencyKey {
        operation: 0,
        subject,
        body: Some(body),
        once: true,
        arrived: 0,
    }
}

#[test]
fn the_key_of_a_request_that_must_run_once_is_kept_without_its_result() {
    let mut cache = IdempotencyCache::new(8);
    cache.retain(0, RequestId(1), keyed(5, 77), 100, 0);
    assert!(!cache.conflicts(0, &keyed(5, 77)) && cache.conflicts(0, &keyed(5, 78)));
    assert_eq!(
        (
            cache.original(0, read_key(5)),
            cache.original(0, keyed(5, 77))
        ),
        (None, Some(RequestId(1)))
    );
    // The result is too large to be stored, and then the request ends.
    cache.store(RequestId(1), &[0; 9], 1);
    cache.ended_without_result(RequestId(1), true);
    assert_eq!(
        (cache.original(99, keyed(5, 77)), cache.result(RequestId(1))),
        (Some(RequestId(1)), None)
    );
    assert_eq!(
        cache.original(101, keyed(5, 77)),
        None,
        "the window has ended"
    );
    // A request that cannot have run may be repeated; a stored result answers repeats during the
    // whole window.
    cache.retain(200, RequestId(2), keyed(6, 1), 300, 0);
    cache.ended_without_result(RequestId(2), false);
    assert_eq!(cache.original(200, keyed(6, 1)), None);
    cache.retain(200, RequestId(3), keyed(6, 1), 300, 0);
    cache.store(RequestId(3), &[1; 8], 201);
    assert_eq!(
        (cache.original(300, keyed(6, 1)), cache.result(RequestId(3))),
        (Some(RequestId(3)), Some(&[1; 8][..]))
    );
}

#[test]
fn entries_expire_and_are_bounded() {
    let mut cache = IdempotencyCache::new(BYTES_MAX);
    let max_keys = cache.max_keys;
    for n in 0..max_keys as u64 + 10 {
        cache.retain(0, RequestId(n), read_key(n), 100, 0);
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
    assert_eq!(cache.original(50, read_key(1)), Some(RequestId(1)));
    assert_eq!(cache.original(51, read_key(1)), None);
    assert_eq!(cache.result(RequestId(1)), Some(&result[..]));
    assert_eq!(cache.original(101, read_key(1)), None);
    assert_eq!(
        (cache.bytes, cache.entries.len(), cache.by_request.len()),
        (0, 0, 0)
    );
}

#[test]
fn a_newer_request_replaces_the_entry_of_its_key() {
    let mut cache = IdempotencyCache::new(BYTES_MAX);
    cache.retain(0, RequestId(1), read_key(9), 100, 0);
    cache.retain(0, RequestId(2), read_key(9), 100, 0);
    cache.release(RequestId(1));
    assert_eq!(cache.original(0, read_key(9)), Some(RequestId(2)));
}
