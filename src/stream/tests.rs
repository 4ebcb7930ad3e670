//! The stream guard against resumed streams that repeat or leave out tokens.

use super::StreamFault;
use super::StreamGuard;

fn event(offset: u32) -> String {
    format!("data: {{\"offset\":{offset},\"text\":\"t{offset}\"}}\n\n")
}

fn end(tokens: u32) -> String {
    format!("data: {{\"done\":true,\"tokens\":{tokens}}}\n\n")
}

#[test]
fn pieces_that_split_events_are_passed_on_whole() {
    let mut guard = StreamGuard::default();
    let text = event(0) + &event(1) + &end(2);

    let mut passed = Vec::new();
    for piece in text.as_bytes().chunks(7) {
        passed.extend(guard.accept(piece).unwrap());
    }

    assert_eq!(passed, text.as_bytes());
    assert!(guard.is_done());
}

/// A caller reads some words twice in its briefing. The engine's connection was
/// cut after two tokens, and on the new one the engine begins one token early.
#[test]
fn overlap_after_a_resume_is_dropped() {
    let mut guard = StreamGuard::default();
    guard.accept((event(0) + &event(1)).as_bytes()).unwrap();
    guard.accept(b"data: {\"offset\":2,\"te").unwrap();

    guard.resume();
    let resumed = event(1) + &event(2) + &end(3);
    let passed = guard.accept(resumed.as_bytes()).unwrap();

    assert_eq!(passed, (event(2) + &end(3)).as_bytes());
    assert_eq!(guard.next_offset(), 3);
}

/// A caller's verdict lacks a "not" and reads as whole. The engine's stream was
/// cut, and the engine goes on one token too late.
#[test]
fn gap_after_a_resume_is_a_fault() {
    let mut guard = StreamGuard::default();
    guard.accept(event(0).as_bytes()).unwrap();

    guard.resume();
    let fault = guard.accept(event(2).as_bytes());

    assert_eq!(fault, Err(StreamFault::TokenGap));
}

#[test]
fn end_with_another_count_is_a_fault() {
    let mut guard = StreamGuard::default();
    guard.accept(event(0).as_bytes()).unwrap();

    assert_eq!(
        guard.accept(end(2).as_bytes()),
        Err(StreamFault::WrongCount)
    );
}

#[test]
fn event_without_an_end_does_not_grow_for_ever() {
    let mut guard = StreamGuard::default();
    let endless = vec![b'x'; 1 << 20];

    assert_eq!(guard.accept(&endless), Err(StreamFault::BrokenEvent));
}
