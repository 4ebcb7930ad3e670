//! The stream guard with resumed streams that repeat or omit tokens.

use super::StreamFault;
use super::StreamGuard;

fn event(offset: u32) -> String {
    format!("data: {{\"offset\":{offset},\"text\":\"t{offset}\"}}\n\n")
}

fn final_event(tokens: u32) -> String {
    format!("data: {{\"done\":true,\"tokens\":{tokens}}}\n\n")
}

#[test]
fn events_split_across_reads_are_relayed_complete() {
    let mut guard = StreamGuard::default();
    let text = event(0) + &event(1) + &final_event(2);

    let mut relayed = Vec::new();
    for chunk in text.as_bytes().chunks(7) {
        relayed.extend(guard.accept(chunk).unwrap());
    }

    assert_eq!(relayed, text.as_bytes());
    assert!(guard.is_done());
}

/// Guards against duplicated text in an answer: the connection to the engine breaks
/// after two tokens, and on the new one the engine resumes one token too early.
#[test]
fn overlap_after_a_resume_is_dropped() {
    let mut guard = StreamGuard::default();
    guard.accept((event(0) + &event(1)).as_bytes()).unwrap();
    guard.accept(b"data: {\"offset\":2,\"te").unwrap();

    guard.resume();
    let resumed = event(1) + &event(2) + &final_event(3);
    let relayed = guard.accept(resumed.as_bytes()).unwrap();

    assert_eq!(relayed, (event(2) + &final_event(3)).as_bytes());
    assert_eq!(guard.next_offset(), 3);
}

/// Guards against an answer that seems complete but lacks a word, such as a "not": the
/// stream breaks, and the engine resumes one token too late.
#[test]
fn gap_after_a_resume_is_a_fault() {
    let mut guard = StreamGuard::default();
    guard.accept(event(0).as_bytes()).unwrap();

    guard.resume();
    let fault = guard.accept(event(2).as_bytes());

    assert_eq!(fault, Err(StreamFault::MissingTokens));
}

#[test]
fn final_event_with_another_count_is_a_fault() {
    let mut guard = StreamGuard::default();
    guard.accept(event(0).as_bytes()).unwrap();

    assert_eq!(
        guard.accept(final_event(2).as_bytes()),
        Err(StreamFault::TokenCountMismatch)
    );
}

#[test]
fn event_without_an_end_is_a_fault() {
    let mut guard = StreamGuard::default();
    let endless = vec![b'x'; 1 << 20];

    assert_eq!(guard.accept(&endless), Err(StreamFault::MalformedEvent));
}
