//! The rate limit of one account, in virtual time.

use std::time::Duration;

use cardamomgw::limits::AccountBucket;

/// Returns how many requests the bucket admits at one time.
fn take_all(bucket: &AccountBucket, now: Duration) -> usize {
    (0..1000).take_while(|_| bucket.take(now).is_ok()).count()
}

#[test]
fn a_burst_is_admitted_and_then_the_rate() {
    let bucket = AccountBucket::new(10.0, 5.0);
    let start = Duration::from_secs(100);

    assert_eq!(take_all(&bucket, start), 5);
    assert_eq!(bucket.take(start), Err(Duration::from_millis(100)));
    assert_eq!(take_all(&bucket, start + Duration::from_millis(200)), 2);
    assert_eq!(take_all(&bucket, start + Duration::from_secs(60)), 5);
}

#[test]
fn a_share_below_one_per_second_admits_one_request() {
    let bucket = AccountBucket::new(0.25, 1.0);

    assert_eq!(take_all(&bucket, Duration::from_secs(1)), 1);
    assert_eq!(take_all(&bucket, Duration::from_secs(5)), 1);
}
