//! The host's view of routes and targets, from the store and from peers.

use std::time::Duration;

use cardamomgw::catalog::CallerLimits;
use cardamomgw::catalog::CatalogParts;
use cardamomgw::view::SharedView;
use cardamomgw::view::TargetPhase;
use cardamomgw::view::TargetRecord;
use cardamomgw::view::TargetRemoval;
use cardamomgw::view::ViewUpdate;
use cardamomgw::view::ZoneEvacuation;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn target(name: &str, revision: u64) -> TargetRecord {
    TargetRecord {
        name: name.into(),
        pool: "p".into(),
        address: ([127, 0, 0, 1], 9000).into(),
        availability_zone: "za".into(),
        slots: 4,
        phase: TargetPhase::Ready,
        started_at_ms: 0,
        cold_remaining: Duration::ZERO,
        revision,
    }
}

fn catalog(version: u64) -> CatalogParts {
    CatalogParts {
        version,
        routes: Vec::new(),
        pools: Vec::new(),
        accounts: Vec::new(),
        limits: CallerLimits::default(),
    }
}

fn whole(revision: u64, targets: &[TargetRecord]) -> ViewUpdate {
    ViewUpdate {
        revision,
        full: true,
        targets: targets.to_vec(),
        ..ViewUpdate::default()
    }
}

fn removal(name: &str, revision: u64) -> ViewUpdate {
    ViewUpdate {
        revision,
        removals: vec![TargetRemoval {
            name: name.into(),
            revision,
        }],
        ..ViewUpdate::default()
    }
}

fn with_catalog(version: u64) -> ViewUpdate {
    ViewUpdate {
        catalog: Some(catalog(version)),
        ..ViewUpdate::default()
    }
}

/// A host that was cut off tells a peer what it believes. Targets that are long gone
/// came back with it and got requests.
#[test]
fn an_old_view_brings_nothing_back() {
    let feed = SharedView::default();
    let now = seconds(100);
    feed.apply_store_response(whole(5, &[target("a", 3), target("b", 4)]), now, now);
    feed.apply_store_response(removal("a", 9), now, now);

    feed.apply_peer_view(whole(5, &[target("a", 3), target("b", 4)]), now);

    let names: Vec<String> = feed.targets().into_iter().map(|held| held.name).collect();
    assert_eq!(names, ["b"]);
}

#[test]
fn catalogs_only_rise() {
    let feed = SharedView::default();
    feed.apply_peer_view(with_catalog(7), seconds(1));

    let change = feed.apply_peer_view(with_catalog(5), seconds(2));

    assert!(change.is_empty());
    assert_eq!(feed.catalog().unwrap().version(), 7);
}

/// The store was away for five seconds, and registrations lapsed meanwhile. They are
/// back within two seconds; a host that believed the gap had no target for as long.
#[test]
fn what_lapsed_in_an_outage_may_serve_until_it_is_back() {
    let feed = SharedView::default();
    let targets = [target("back", 3), target("gone", 4)];
    feed.apply_store_response(whole(5, &targets), seconds(100), seconds(100));

    feed.apply_store_response(whole(8, &[]), seconds(105), seconds(105));
    let during = feed.targets().len();
    let registered = ViewUpdate {
        revision: 9,
        targets: vec![target("back", 9)],
        ..ViewUpdate::default()
    };
    feed.apply_store_response(registered, seconds(106), seconds(106));
    let change = feed.remove_lapsed(seconds(107));

    assert_eq!(during, 2);
    assert_eq!(change.removed, ["gone"]);
    assert_eq!(feed.targets().len(), 1);
}

/// The first answer behind an outage may be that of another read than the watch: it
/// makes the view young, and the watch then took what had lapsed for gone.
#[test]
fn an_outage_is_known_whichever_read_ends_it() {
    let feed = SharedView::default();
    let first = ViewUpdate {
        catalog: Some(catalog(7)),
        ..whole(5, &[target("a", 3)])
    };
    feed.apply_store_response(first, seconds(100), seconds(100));

    feed.apply_store_response(with_catalog(7), seconds(105), seconds(105));
    feed.apply_store_response(removal("a", 6), seconds(105), seconds(106));

    assert_eq!(feed.targets().len(), 1);
}

/// A host was cut off while its peers went on reading the store. As the cut healed it
/// took a target that had left for one that had lapsed, and sent to it for two seconds
/// more.
#[test]
fn nothing_lapses_while_peers_reach_the_store() {
    let feed = SharedView::default();
    let first = ViewUpdate {
        catalog: Some(catalog(7)),
        ..whole(5, &[target("a", 3)])
    };
    feed.apply_store_response(first, seconds(100), seconds(100));
    for second in 101..=112 {
        feed.confirm_catalog(7, seconds(second), seconds(second));
    }

    let change = feed.apply_store_response(removal("a", 6), seconds(113), seconds(113));

    assert_eq!(change.removed, ["a"]);
}

/// Without an outage a removal counts at once.
#[test]
fn a_removal_in_calm_times_is_one() {
    let feed = SharedView::default();
    feed.apply_store_response(whole(5, &[target("a", 3)]), seconds(100), seconds(100));

    let change = feed.apply_store_response(removal("a", 6), seconds(101), seconds(101));

    assert_eq!(change.removed, ["a"]);
}

/// A peer vouches for a catalog that this host doesn't hold yet. To take its word
/// would let in keys that the newer catalog took away.
#[test]
fn a_peers_word_counts_only_for_what_is_held() {
    let feed = SharedView::default();
    feed.apply_store_response(with_catalog(7), seconds(100), seconds(100));

    feed.confirm_catalog(8, seconds(110), seconds(110));
    let unheld = feed.evidence_age(seconds(111));
    feed.confirm_catalog(7, seconds(110), seconds(110));
    let held = feed.evidence_age(seconds(111));

    assert_eq!(unheld, Some(seconds(11)));
    assert_eq!(held, Some(seconds(1)));
}

/// A host was suspended for ten seconds as it waited for the store. What it believes
/// is as old as the call's begin, not as its end.
#[test]
fn evidence_has_the_age_of_the_calls_begin() {
    let feed = SharedView::default();

    feed.apply_store_response(with_catalog(7), seconds(100), seconds(110));

    assert_eq!(feed.evidence_age(seconds(110)), Some(seconds(10)));
}

/// The store was away, and two targets were replaced meanwhile. One host had the news
/// from the store and let the old ones serve on for a moment, as lapsed registrations
/// come back; its peer took its view in that moment. The peer held the old ones for
/// ever: it sent to them what their successors refused, three requests of four.
#[test]
fn a_peer_takes_no_lapsed_target_for_one_that_stands() {
    let (first, second) = (SharedView::default(), SharedView::default());
    let start = seconds(100);
    let known = [target("old", 3), target("other", 4)];
    first.apply_store_response(whole(5, &known), start, start);
    second.apply_store_response(whole(5, &known), start, start);
    let back = start + seconds(10);
    first.apply_store_response(ViewUpdate::default(), back, back);
    first.apply_store_response(removal("old", 8), back, back);
    assert_eq!(first.targets().len(), 2, "it may still come back");

    second.apply_peer_view(first.full_update(), back);

    second.remove_lapsed(back + seconds(2));
    let names: Vec<String> = second.targets().into_iter().map(|held| held.name).collect();
    assert_eq!(names, ["other"]);
}

fn evacuation(zone: &str, revision: u64, active: bool) -> ViewUpdate {
    ViewUpdate {
        revision,
        evacuations: vec![ZoneEvacuation {
            availability_zone: zone.into(),
            revision,
            active,
        }],
        ..ViewUpdate::default()
    }
}

/// Guards against an evacuation that ends because a peer is behind, or that goes on after
/// the operator took it back.
#[test]
fn the_newest_word_on_an_evacuation_holds() {
    let view = SharedView::default();
    let now = seconds(100);

    view.apply_store_response(evacuation("za", 5, true), now, now);
    let repeated = view.apply_peer_view(evacuation("za", 4, false), now);
    let held = view.evacuated_zones();
    let ended = view.apply_peer_view(evacuation("za", 9, false), now);
    view.apply_peer_view(evacuation("za", 5, true), now);

    assert!(repeated.is_empty());
    assert_eq!(held, ["za"]);
    assert_eq!(ended.evacuations.len(), 1);
    assert!(view.evacuated_zones().is_empty());
}

/// Guards against an evacuation that goes on because its end fell into a lost history: the
/// store is read whole then.
#[test]
fn a_whole_read_ends_an_evacuation_that_it_does_not_name() {
    let view = SharedView::default();
    let now = seconds(100);
    view.apply_store_response(evacuation("za", 5, true), now, now);

    let change = view.apply_store_response(whole(9, &[]), now, now);

    assert_eq!(change.evacuations.len(), 1);
    assert!(view.evacuated_zones().is_empty());
}

/// Guards against a host that starts during an evacuation, and learns the view from a peer.
#[test]
fn peers_pass_an_evacuation_on() {
    let view = SharedView::default();
    let young = SharedView::default();
    let late = SharedView::default();
    let now = seconds(100);
    view.apply_store_response(whole(3, &[target("a", 3)]), now, now);
    view.apply_store_response(evacuation("za", 5, true), now, now);
    late.apply_peer_view(whole(3, &[target("a", 3)]), now);

    young.apply_peer_view(view.full_update(), now);
    let lacking = view.update_since(3).expect("it lacks the evacuation");
    late.apply_peer_view(lacking, now);

    assert_eq!(young.evacuated_zones(), ["za"]);
    assert_eq!(late.evacuated_zones(), ["za"]);
}

/// Guards against a host that never reads a catalog since its targets are newer than it.
#[test]
fn the_store_is_read_from_the_catalogs_revision_on() {
    let view = SharedView::default();
    let now = seconds(100);
    let first = ViewUpdate {
        catalog: Some(catalog(7)),
        ..whole(5, &[target("a", 3)])
    };
    view.apply_store_response(first, now, now);

    view.apply_peer_view(removal("a", 9), now);
    view.record_catalog_revision(8, 9);
    let behind = view.complete_revision();
    view.apply_peer_view(with_catalog(8), now);
    view.record_catalog_revision(8, 9);

    assert_eq!(behind, 5);
    assert_eq!(view.complete_revision(), 9);
}
