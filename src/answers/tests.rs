//! Tests of one answer with several readers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::AsyncReadExt;

use super::AnswerBuffer;
use super::AnswerCache;
use super::AnswerChunk;
use super::AnswerEnd;
use super::AnswerLookup;
use super::AnswerReader;
use crate::errors::ErrorKind;
use crate::ids::RequestId;

fn id(time: u64) -> RequestId {
    RequestId::generate(time)
}

fn owned(cache: &AnswerCache, id: RequestId, account: &str) -> Arc<AnswerBuffer> {
    match cache.get_or_insert(id, &account.to_string(), 1) {
        AnswerLookup::Owned(buffer) => buffer,
        other => panic!("not owned: {other:?}"),
    }
}

#[async_std::test]
async fn late_reader_gets_the_complete_answer() {
    let buffer = Arc::new(AnswerBuffer::default());
    buffer.put_bytes(Bytes::from_static(b"first "));
    let mut late = AnswerReader::open(buffer.clone());
    buffer.put_bytes(Bytes::from_static(b"second"));
    buffer.put_end(AnswerEnd::Complete);

    let mut text = String::new();
    late.read_to_string(&mut text).await.unwrap();

    assert_eq!(text, "first second");
}

#[async_std::test]
async fn truncated_answer_ends_with_an_error() {
    let buffer = Arc::new(AnswerBuffer::default());
    let mut reader = AnswerReader::open(buffer.clone());
    buffer.put_bytes(Bytes::from_static(b"half"));
    buffer.put_end(AnswerEnd::Truncated(ErrorKind::TargetLost));

    let mut bytes = Vec::new();
    let read = reader.read_to_end(&mut bytes).await;

    assert!(read.is_err());
}

/// An answer outgrows the buffer before a resend joins it. The resend must not receive
/// the end of the answer without its beginning, marked as complete.
#[async_std::test]
async fn reader_that_missed_the_beginning_gets_nothing() {
    let buffer = Arc::new(AnswerBuffer::default());
    for _ in 0..80 {
        buffer.put_bytes(Bytes::from(vec![b'x'; 8192]));
    }
    buffer.put_end(AnswerEnd::Complete);

    let chunk = AnswerReader::open(buffer.clone()).next_chunk().await;

    assert_eq!(chunk, AnswerChunk::Evicted);
}

#[test]
fn second_send_joins_and_another_account_does_not() {
    let cache = AnswerCache::new(1 << 20);
    let id = id(1_000);
    let buffer = owned(&cache, id, "harbour");

    let second = cache.get_or_insert(id, &"harbour".to_string(), 1);
    let foreign = cache.get_or_insert(id, &"station".to_string(), 1);

    assert!(matches!(second, AnswerLookup::Joined(joined) if Arc::ptr_eq(&joined, &buffer)));
    assert!(matches!(foreign, AnswerLookup::OtherAccount));
    assert!(cache.find(id, &"station".to_string()).is_none());
}

#[test]
fn finished_answers_are_evicted_by_age_and_by_size() {
    let cache = AnswerCache::new(100);
    let (old, new) = (id(1_000), id(2_000));
    for id in [old, new] {
        let buffer = owned(&cache, id, "harbour");
        buffer.put_bytes(Bytes::from(vec![0; 80]));
        cache.finish(id, &buffer, Duration::from_secs(10));
    }

    cache.evict(Duration::from_secs(11));
    assert!(cache.find(old, &"harbour".to_string()).is_none());
    assert!(cache.find(new, &"harbour".to_string()).is_some());

    cache.evict(Duration::from_secs(80));
    assert_eq!(cache.counts(), (0, 0));
}

/// The size limit of a fleet document replaces the default.
#[test]
fn limit_of_kept_bytes_may_change() {
    let cache = AnswerCache::new(1 << 20);
    let id = id(1_000);
    let buffer = owned(&cache, id, "harbour");
    buffer.put_bytes(Bytes::from(vec![0; 80]));
    cache.finish(id, &buffer, Duration::from_secs(10));

    cache.set_max_kept_bytes(50);
    cache.evict(Duration::from_secs(11));

    assert_eq!(cache.counts(), (0, 0));
}

/// A caller's first attempt waits in this host's queue. Another host proves that it
/// will not run, and the caller sends attempt 2 to a third host and then here, where
/// the first attempt now ends as `not-run`. If attempt 2 joined it, its caller would be
/// told `not-run` while attempt 2 still waits on the third host and runs there.
#[test]
fn later_attempt_does_not_join_an_earlier_one_that_did_not_run() {
    let cache = AnswerCache::new(1_000);
    let id = id(1_000);
    let first = owned(&cache, id, "harbour");

    let second = cache.get_or_insert(id, &"harbour".to_string(), 2);
    let late = cache.get_or_insert(id, &"harbour".to_string(), 1);

    let AnswerLookup::Owned(second) = second else {
        panic!("joined the earlier attempt");
    };
    assert!(!Arc::ptr_eq(&first, &second));
    assert!(matches!(late, AnswerLookup::Joined(buffer) if Arc::ptr_eq(&buffer, &second)));
}

/// Two sends of one id split the seats, and each host joins the other. A peer's reader
/// must not wait for an answer that this host itself awaits from that peer.
#[async_std::test]
async fn peer_does_not_wait_for_an_answer_that_another_host_gives() {
    let buffer = Arc::new(AnswerBuffer::default());
    let early = AnswerReader::open(buffer.clone());
    let waiting = async_std::task::spawn(async move { early.local_head().await });
    async_std::task::yield_now().await;

    buffer.mark_remote();

    assert_eq!(waiting.await, None);
    assert_eq!(AnswerReader::open(buffer).local_head().await, None);
}
