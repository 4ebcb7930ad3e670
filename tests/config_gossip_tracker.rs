//! The document in force, for offers in any order.

use std::sync::Arc;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use bytes::Bytes;
use cardamomgw::controllers::CompiledCopy;
use cardamomgw::controllers::ConfigRefusal;
use cardamomgw::controllers::ConfigSource;
use cardamomgw::controllers::ConfigTracker;
use cardamomgw::controllers::OfferOutcome;
use cardamomgw::controllers::RosterAdmission;
use cardamomgw::peers::RawDocument;

/// A view that consists only of its content.
type TextView = String;

/// A document `VERSION CONTENT`; content `bad` makes it invalid.
fn copy(version: u64, content: &str) -> RawDocument {
    RawDocument {
        version,
        body: Bytes::from(format!("{version} {content}")),
    }
}

fn compile(body: &[u8]) -> Result<CompiledCopy<TextView>, Vec<String>> {
    let text = String::from_utf8_lossy(body);
    let (version, content) = text.split_once(' ').ok_or_else(|| vec![text.to_string()])?;
    if content == "bad" {
        return Err(vec!["bad".to_owned(), "worse".to_owned()]);
    }
    let mut digest = [0; 32];
    digest[..content.trim().len()].copy_from_slice(content.trim().as_bytes());
    Ok(CompiledCopy {
        version: version.parse().map_err(|_| vec!["version".to_owned()])?,
        digest,
        view: Arc::new(content.to_owned()),
    })
}

fn admit(_view: &TextView) -> RosterAdmission {
    RosterAdmission::Admitted
}

fn offer(tracker: &mut ConfigTracker<TextView>, copy: RawDocument) -> OfferOutcome<TextView> {
    tracker.offer(copy, ConfigSource::Platform, compile, admit)
}

fn tracker_at(version: u64, content: &str) -> ConfigTracker<TextView> {
    let mut tracker = ConfigTracker::new();
    offer(&mut tracker, copy(version, content));
    tracker
}

fn refusal(outcome: OfferOutcome<TextView>) -> Option<ConfigRefusal> {
    match outcome {
        OfferOutcome::Refused(refusal) => Some(refusal),
        _ => None,
    }
}

/// The platform becomes stale after an edit, and a host reads it again. Callers must
/// not be served by outdated labels.
#[test]
fn older_version_never_comes_back() {
    let mut tracker = tracker_at(7, "new");

    let outcome = offer(&mut tracker, copy(6, "old"));

    let (offered, in_force) = (6, 7);
    assert_eq!(
        refusal(outcome),
        Some(ConfigRefusal::Older { offered, in_force })
    );
    assert_eq!(tracker.version(), 7);
    assert_eq!(tracker.last_refusal(), None);
}

/// Two operators' edits got the same version. Each host keeps the first one that it
/// received and reports the conflict; none alternates between them.
#[test]
fn same_version_with_another_content_is_refused_and_counted_once() {
    let mut tracker = tracker_at(7, "first");

    let outcome = offer(&mut tracker, copy(7, "second"));
    offer(&mut tracker, copy(7, "second"));

    let conflict = ConfigRefusal::Conflict { version: 7 };
    assert_eq!(refusal(outcome), Some(conflict.clone()));
    assert_eq!(*tracker.in_force().unwrap().view, "first");
    assert_eq!(tracker.last_refusal(), Some(&conflict));
    assert_eq!(tracker.refusals(), 1);
}

#[test]
fn same_content_in_another_format_is_already_in_force() {
    let mut tracker = tracker_at(7, "same");

    let outcome = offer(&mut tracker, copy(7, "same "));

    assert!(matches!(outcome, OfferOutcome::InForce));
    assert_eq!(tracker.refusals(), 0);
}

#[test]
fn invalid_document_is_refused_and_checked_once() {
    let mut tracker = tracker_at(7, "good");
    let mut compiled = 0;

    for _ in 0..3 {
        let counted = |body: &[u8]| {
            compiled += 1;
            compile(body)
        };
        tracker.offer(copy(8, "bad"), ConfigSource::Platform, counted, admit);
    }

    assert_eq!(compiled, 1);
    assert_eq!(tracker.refusals(), 1);
    assert_eq!(tracker.version(), 7);
    assert!(!tracker.wants(8));
    let faults = vec!["bad".to_owned(), "worse".to_owned()];
    assert_eq!(
        tracker.last_refusal(),
        Some(&ConfigRefusal::Invalid { version: 8, faults })
    );
}

#[test]
fn valid_document_after_an_invalid_one_clears_the_refusal() {
    let mut tracker = tracker_at(7, "good");
    offer(&mut tracker, copy(8, "bad"));

    offer(&mut tracker, copy(9, "mended"));

    assert_eq!(tracker.version(), 9);
    assert_eq!(tracker.last_refusal(), None);
}

#[test]
fn version_that_the_source_and_the_document_disagree_on_is_refused() {
    let mut tracker = tracker_at(7, "good");
    let mut mixed = copy(8, "next");
    mixed.version = 9;

    let outcome = offer(&mut tracker, mixed);

    let (declared, found) = (9, 8);
    assert_eq!(
        refusal(outcome),
        Some(ConfigRefusal::VersionMismatch { declared, found })
    );
}

/// A document changes the roster, but this process does not know yet whether the
/// replaced roster is active. Nothing of it may be in force until then.
#[test]
fn document_with_a_waiting_roster_is_accepted_after_peers_reported_more() {
    let mut tracker = tracker_at(7, "old");
    let waits = |_: &TextView| RosterAdmission::Waiting;

    let first = tracker.offer(copy(8, "new"), ConfigSource::Platform, compile, waits);
    let before = tracker.version();
    let still = tracker.retry_waiting(waits);
    let second = tracker.retry_waiting(admit);

    assert!(matches!(first, OfferOutcome::Waiting));
    assert_eq!(before, 7);
    assert!(matches!(still, Some(OfferOutcome::Waiting)));
    assert!(matches!(second, Some(OfferOutcome::Accepted(_))));
    assert_eq!(tracker.version(), 8);
    assert!(tracker.retry_waiting(admit).is_none());
}

#[test]
fn refused_roster_may_be_offered_again() {
    let mut tracker = tracker_at(7, "old");
    let refuses = |_: &TextView| RosterAdmission::Refused {
        reason: "no".to_owned(),
    };

    let first = tracker.offer(copy(8, "new"), ConfigSource::Platform, compile, refuses);
    let second = offer(&mut tracker, copy(8, "new"));

    assert!(matches!(
        refusal(first),
        Some(ConfigRefusal::Roster { version: 8, .. })
    ));
    assert!(matches!(second, OfferOutcome::Accepted(_)));
}

#[test]
fn peer_with_another_document_of_the_version_is_a_conflict_once() {
    let mut tracker = tracker_at(7, "mine");

    assert!(tracker.compare_peer(7, &[9; 32]));
    assert!(!tracker.compare_peer(7, &[9; 32]));
    assert!(!tracker.compare_peer(8, &[9; 32]));
    assert!(tracker.wants(8));
    assert_eq!(tracker.refusals(), 1);
}

fn any_offer(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<RawDocument> {
    let version = u.int_in_range(1..=6)?;
    let content = u.choose(&["a", "b", "bad", "a "])?;
    let mut copy = copy(version, content);
    if u.ratio(1, 8)? {
        copy.version += 1;
    }
    Ok(copy)
}

/// For any offers of platform and peers, in any order, with rosters that are admitted,
/// wait or are refused: the version in force never decreases, a version never changes
/// its content, and a refusal changes nothing.
#[test]
fn version_never_decreases_and_never_changes_its_content() {
    arbtest(|u| {
        let mut tracker = ConfigTracker::new();
        let mut seen: Vec<(u64, [u8; 32])> = Vec::new();
        while !u.is_empty() {
            let before = tracker.version();
            let admission = match u.int_in_range(0..=3)? {
                0 => RosterAdmission::Waiting,
                1 => RosterAdmission::Refused {
                    reason: String::new(),
                },
                _ => RosterAdmission::Admitted,
            };
            let decide = |_: &TextView| admission.clone();
            let outcome = if u.ratio(1, 4)? {
                tracker.retry_waiting(decide)
            } else {
                let copy = any_offer(u)?;
                Some(tracker.offer(copy, ConfigSource::Platform, compile, decide))
            };
            let after = tracker.version();
            assert!(
                after >= before,
                "version decreased from {before} to {after}"
            );
            if !matches!(outcome, Some(OfferOutcome::Accepted(_))) {
                assert_eq!(after, before);
            }
            if let Some(entry) = tracker.in_force() {
                assert_ne!(*entry.view, "bad");
                seen.push((after, entry.digest));
            }
        }
        seen.dedup();
        assert!(seen.windows(2).all(|pair| pair[0].0 < pair[1].0));
        Ok(())
    });
}
