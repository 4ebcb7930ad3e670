//! One answer, several readers.

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

fn owned(book: &AnswerCache, id: RequestId, account: &str) -> Arc<AnswerBuffer> {
    match book.get_or_insert(id, &account.to_string(), 1) {
        AnswerLookup::Owned(slot) => slot,
        other => panic!("not owned: {other:?}"),
    }
}

#[async_std::test]
async fn late_reader_gets_the_whole_answer() {
    let slot = Arc::new(AnswerBuffer::default());
    slot.put_bytes(Bytes::from_static(b"first "));
    let mut late = AnswerReader::open(slot.clone());
    slot.put_bytes(Bytes::from_static(b"second"));
    slot.put_end(AnswerEnd::Complete);

    let mut text = String::new();
    late.read_to_string(&mut text).await.unwrap();

    assert_eq!(text, "first second");
}

#[async_std::test]
async fn cut_answer_ends_with_an_error() {
    let slot = Arc::new(AnswerBuffer::default());
    let mut reader = AnswerReader::open(slot.clone());
    slot.put_bytes(Bytes::from_static(b"half"));
    slot.put_end(AnswerEnd::Truncated(ErrorKind::TargetLost));

    let mut bytes = Vec::new();
    let read = reader.read_to_end(&mut bytes).await;

    assert!(read.is_err());
}

/// A resend gets the end of a long briefing without its beginning, marked whole.
/// The answer outgrew what is held, and the resend joined after that.
#[async_std::test]
async fn reader_that_missed_the_beginning_gets_nothing() {
    let slot = Arc::new(AnswerBuffer::default());
    for _ in 0..80 {
        slot.put_bytes(Bytes::from(vec![b'x'; 8192]));
    }
    slot.put_end(AnswerEnd::Complete);

    let piece = AnswerReader::open(slot.clone()).next_chunk().await;

    assert_eq!(piece, AnswerChunk::Evicted);
}

#[test]
fn second_send_joins_and_another_account_does_not() {
    let book = AnswerCache::new(1 << 20);
    let id = id(1_000);
    let slot = owned(&book, id, "harbour");

    let second = book.get_or_insert(id, &"harbour".to_string(), 1);
    let foreign = book.get_or_insert(id, &"station".to_string(), 1);

    assert!(matches!(second, AnswerLookup::Joined(joined) if Arc::ptr_eq(&joined, &slot)));
    assert!(matches!(foreign, AnswerLookup::OtherAccount));
    assert!(book.find(id, &"station".to_string()).is_none());
}

#[test]
fn finished_answers_are_let_go_by_age_and_by_size() {
    let book = AnswerCache::new(100);
    let (old, new) = (id(1_000), id(2_000));
    for id in [old, new] {
        let slot = owned(&book, id, "harbour");
        slot.put_bytes(Bytes::from(vec![0; 80]));
        book.finish(id, &slot, Duration::from_secs(10));
    }

    book.evict(Duration::from_secs(11));
    assert!(book.find(old, &"harbour".to_string()).is_none());
    assert!(book.find(new, &"harbour".to_string()).is_some());

    book.evict(Duration::from_secs(80));
    assert_eq!(book.counts(), (0, 0));
}

/// A host keeps more answers than its document allows: it went by the default.
#[test]
fn bound_of_kept_bytes_may_change() {
    let book = AnswerCache::new(1 << 20);
    let id = id(1_000);
    let slot = owned(&book, id, "harbour");
    slot.put_bytes(Bytes::from(vec![0; 80]));
    book.finish(id, &slot, Duration::from_secs(10));

    book.set_max_kept_bytes(50);
    book.evict(Duration::from_secs(11));

    assert_eq!(book.counts(), (0, 0));
}

/// A crew's first attempt waits in this host's queue. Another host proves that it
/// will not run, and the crew sends attempt 2 to a third host and then here, where
/// the first attempt now ends as `not-run`. Joined to it, attempt 2 would be told
/// `not-run` as well, while it still waits at the third host and runs there.
#[test]
fn later_attempt_does_not_join_an_earlier_one_that_did_not_run() {
    let book = AnswerCache::new(1_000);
    let id = id(1_000);
    let first = owned(&book, id, "harbour");

    let second = book.get_or_insert(id, &"harbour".to_string(), 2);
    let late = book.get_or_insert(id, &"harbour".to_string(), 1);

    let AnswerLookup::Owned(second) = second else {
        panic!("joined the earlier attempt");
    };
    assert!(!Arc::ptr_eq(&first, &second));
    assert!(matches!(late, AnswerLookup::Joined(slot) if Arc::ptr_eq(&slot, &second)));
}

/// Two sends of one id split the seats; each host joins the other. A reader from a
/// peer that waits for an answer which this host itself awaits would never end.
#[async_std::test]
async fn peer_does_not_wait_for_an_answer_that_another_host_gives() {
    let slot = Arc::new(AnswerBuffer::default());
    let early = AnswerReader::open(slot.clone());
    let waiting = async_std::task::spawn(async move { early.local_head().await });
    async_std::task::yield_now().await;

    slot.mark_remote();

    assert_eq!(waiting.await, None);
    assert_eq!(AnswerReader::open(slot).local_head().await, None);
}
