//! Answers that are buffered together stay within a pool.

use cardamombridge::byte_pool::{
    BytePool,
    FREE_BYTES,
    PoolExhausted, //
};

/// Guards against answers without end that together take more than the pool, and against ordinary
/// answers that fail because of them.
#[test]
fn large_buffers_share_the_pool_and_small_ones_do_not_need_it() {
    let pool = BytePool::new(1_000);
    let mut endless = pool.share();
    let mut other = pool.share();
    let mut small = pool.share();

    assert_eq!(endless.grow_to(FREE_BYTES + 900), Ok(()));
    let refused = other.grow_to(FREE_BYTES + 101);

    let expected = PoolExhausted {
        needed_bytes: FREE_BYTES + 101,
        left_bytes: 100,
    };
    assert_eq!(refused, Err(expected));
    assert_eq!(small.grow_to(FREE_BYTES), Ok(()));
}

/// Guards against bytes that stay taken after their answer has ended, and against those that are
/// taken twice as an answer grows.
#[test]
fn buffer_gives_its_bytes_back_at_its_end() {
    let pool = BytePool::new(1_000);
    let mut first = pool.share();
    assert_eq!(first.grow_to(FREE_BYTES + 400), Ok(()));
    assert_eq!(first.grow_to(FREE_BYTES + 1_000), Ok(()));
    assert_eq!(first.grow_to(10), Ok(()));
    drop(first);

    let mut second = pool.share();

    assert_eq!(second.grow_to(FREE_BYTES + 1_000), Ok(()));
}
