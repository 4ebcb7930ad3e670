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
        software_version: String::new(),
        cold_remaining: Duration::ZERO,
        revision: revision.into(),
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

fn full_update(revision: u64, targets: &[TargetRecord]) -> ViewUpdate {
    ViewUpdate {
        revision: revision.into(),
        full: true,
        targets: targets.to_vec(),
        ..ViewUpdate::default()
    }
}

fn removal(name: &str, revision: u64) -> ViewUpdate {
    ViewUpdate {
        revision: revision.into(),
        removals: vec![TargetRemoval {
            name: name.into(),
            revision: revision.into(),
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

/// Guards against removed targets that return with the outdated view of a host that was cut off,
/// and then get requests.
#[test]
fn an_outdated_view_restores_no_removed_targets() {
    let view = SharedView::default();
    let now = seconds(100);
    view.apply_store_response(full_update(5, &[target("a", 3), target("b", 4)]), now, now);
    view.apply_store_response(removal("a", 9), now, now);

    view.apply_peer_view(full_update(5, &[target("a", 3), target("b", 4)]), now);

    let names: Vec<String> = view.targets().into_iter().map(|held| held.name).collect();
    assert_eq!(names, ["b"]);
}

#[test]
fn catalog_versions_only_increase() {
    let view = SharedView::default();
    view.apply_peer_view(with_catalog(7), seconds(1));

    let change = view.apply_peer_view(with_catalog(5), seconds(2));

    assert!(change.is_empty());
    assert_eq!(view.catalog().unwrap().version(), 7);
}

/// Guards against a host without targets after a store outage of five seconds, during which
/// registrations expired. Running targets register again within two seconds.
#[test]
fn targets_that_expire_in_an_outage_serve_until_they_register_again() {
    let view = SharedView::default();
    let targets = [target("back", 3), target("gone", 4)];
    view.apply_store_response(full_update(5, &targets), seconds(100), seconds(100));

    view.apply_store_response(full_update(8, &[]), seconds(105), seconds(105));
    let during = view.targets().len();
    let registered = ViewUpdate {
        revision: 9.into(),
        targets: vec![target("back", 9)],
        ..ViewUpdate::default()
    };
    view.apply_store_response(registered, seconds(106), seconds(106));
    let change = view.remove_expired(seconds(107));

    assert_eq!(during, 2);
    assert_eq!(change.removed, ["gone"]);
    assert_eq!(view.targets().len(), 1);
}

/// Guards against removing targets with expired registrations at once when a read other than
/// the watch is the first to succeed after an outage. That read makes the view current, so the
/// watch alone would not notice the outage.
#[test]
fn an_outage_is_detected_whichever_read_ends_it() {
    let view = SharedView::default();
    let first = ViewUpdate {
        catalog: Some(catalog(7)),
        ..full_update(5, &[target("a", 3)])
    };
    view.apply_store_response(first, seconds(100), seconds(100));

    view.apply_store_response(with_catalog(7), seconds(105), seconds(105));
    view.apply_store_response(removal("a", 6), seconds(105), seconds(106));

    assert_eq!(view.targets().len(), 1);
}

/// Guards against a host that keeps sending to a target that left. The host was cut off while
/// its peers kept reading the store. If it took the removal for an expired registration, the
/// target would get requests for about two more seconds.
#[test]
fn no_target_expires_while_peers_reach_the_store() {
    let view = SharedView::default();
    let first = ViewUpdate {
        catalog: Some(catalog(7)),
        ..full_update(5, &[target("a", 3)])
    };
    view.apply_store_response(first, seconds(100), seconds(100));
    for second in 101..=112 {
        view.confirm_catalog(7, seconds(second), seconds(second));
    }

    let change = view.apply_store_response(removal("a", 6), seconds(113), seconds(113));

    assert_eq!(change.removed, ["a"]);
}

/// Without an outage a removal takes effect immediately.
#[test]
fn a_removal_without_an_outage_takes_effect_immediately() {
    let view = SharedView::default();
    view.apply_store_response(
        full_update(5, &[target("a", 3)]),
        seconds(100),
        seconds(100),
    );

    let change = view.apply_store_response(removal("a", 6), seconds(101), seconds(101));

    assert_eq!(change.removed, ["a"]);
}

/// Guards against accepting keys that a newer catalog removed. A peer's confirmation of a catalog
/// that this host does not hold yet must not make its older catalog current.
#[test]
fn a_peers_confirmation_counts_only_for_a_held_catalog() {
    let view = SharedView::default();
    view.apply_store_response(with_catalog(7), seconds(100), seconds(100));

    view.confirm_catalog(8, seconds(110), seconds(110));
    let not_held = view.evidence_age(seconds(111));
    view.confirm_catalog(7, seconds(110), seconds(110));
    let held = view.evidence_age(seconds(111));

    assert_eq!(not_held, Some(seconds(11)));
    assert_eq!(held, Some(seconds(1)));
}

/// Guards against a view that appears current after the host was suspended for ten seconds while
/// it waited for the store. The age counts from the start of the call, not from its end.
#[test]
fn the_age_counts_from_the_start_of_the_call() {
    let view = SharedView::default();

    view.apply_store_response(with_catalog(7), seconds(100), seconds(110));

    assert_eq!(view.evidence_age(seconds(110)), Some(seconds(10)));
}

/// Guards against a peer that never removes targets with expired registrations. Two targets
/// were replaced during a store outage. One host kept the old ones for the grace period, and
/// its peer received its view at that time. The peer would then keep using the old targets, and
/// three of four requests would be refused by their successors.
#[test]
fn a_peer_does_not_take_an_expired_target_as_registered() {
    let (first, second) = (SharedView::default(), SharedView::default());
    let start = seconds(100);
    let known = [target("old", 3), target("other", 4)];
    first.apply_store_response(full_update(5, &known), start, start);
    second.apply_store_response(full_update(5, &known), start, start);
    let outage_end = start + seconds(10);
    first.apply_store_response(ViewUpdate::default(), outage_end, outage_end);
    first.apply_store_response(removal("old", 8), outage_end, outage_end);
    assert_eq!(first.targets().len(), 2, "it may still register again");

    second.apply_peer_view(first.full_update(), outage_end);

    second.remove_expired(outage_end + seconds(2));
    let names: Vec<String> = second.targets().into_iter().map(|held| held.name).collect();
    assert_eq!(names, ["other"]);
}

fn evacuation(zone: &str, revision: u64, active: bool) -> ViewUpdate {
    ViewUpdate {
        revision: revision.into(),
        evacuations: vec![ZoneEvacuation {
            availability_zone: zone.into(),
            revision: revision.into(),
            active,
        }],
        ..ViewUpdate::default()
    }
}

/// Guards against an evacuation that ends because a peer is behind, or that continues after the
/// operator revoked it.
#[test]
fn the_newest_evacuation_setting_wins() {
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

/// Guards against an evacuation that continues because its end was among changes that are no
/// longer available. Everything is read again in that case.
#[test]
fn a_full_read_ends_an_evacuation_that_it_does_not_contain() {
    let view = SharedView::default();
    let now = seconds(100);
    view.apply_store_response(evacuation("za", 5, true), now, now);

    let change = view.apply_store_response(full_update(9, &[]), now, now);

    assert_eq!(change.evacuations.len(), 1);
    assert!(view.evacuated_zones().is_empty());
}

/// Guards against a host that misses an evacuation because it starts during it and receives the
/// view from a peer.
#[test]
fn peers_relay_an_evacuation() {
    let view = SharedView::default();
    let started = SharedView::default();
    let late = SharedView::default();
    let now = seconds(100);
    view.apply_store_response(full_update(3, &[target("a", 3)]), now, now);
    view.apply_store_response(evacuation("za", 5, true), now, now);
    late.apply_peer_view(full_update(3, &[target("a", 3)]), now);

    started.apply_peer_view(view.full_update(), now);
    let lacking = view
        .update_since(3.into())
        .expect("it lacks the evacuation");
    late.apply_peer_view(lacking, now);

    assert_eq!(started.evacuated_zones(), ["za"]);
    assert_eq!(late.evacuated_zones(), ["za"]);
}

/// Guards against a host that never reads a catalog because its targets are newer.
#[test]
fn the_store_is_read_from_the_catalogs_revision_on() {
    let view = SharedView::default();
    let now = seconds(100);
    let first = ViewUpdate {
        catalog: Some(catalog(7)),
        ..full_update(5, &[target("a", 3)])
    };
    view.apply_store_response(first, now, now);

    view.apply_peer_view(removal("a", 9), now);
    view.update_catalog_revision(8, 9.into());
    let behind = view.complete_revision();
    view.apply_peer_view(with_catalog(8), now);
    view.update_catalog_revision(8, 9.into());

    assert_eq!(behind, 5.into());
    assert_eq!(view.complete_revision(), 9.into());
}

/// Guards against registrations that parse but name no usable target: they must neither be used nor
/// hide the others, and they remove the target whose place they take.
#[test]
fn an_odd_registration_is_left_out() {
    type Change = fn(&mut TargetRecord);
    let changes: [(&str, Change); 14] = [
        ("no slots", |target| target.slots = 0),
        ("too many slots", |target| target.slots = 10_000),
        ("most slots", |target| target.slots = u32::MAX),
        ("port 0", |target| target.address.set_port(0)),
        ("any address", |target| {
            target.address = ([0, 0, 0, 0], 80).into();
        }),
        ("group address", |target| {
            target.address = ([224, 0, 0, 1], 80).into();
        }),
        ("broadcast address", |target| {
            target.address = ([255, 255, 255, 255], 80).into();
        }),
        ("empty pool", |target| target.pool.clear()),
        ("long pool", |target| target.pool = "n".repeat(5000)),
        ("long zone", |target| {
            target.availability_zone = "n".repeat(5000);
        }),
        ("long version", |target| {
            target.software_version = "n".repeat(5000);
        }),
        ("line break in the zone", |target| {
            target.availability_zone = "z\r\na".into();
        }),
        ("line break in the version", |target| {
            target.software_version = "v\n1".into();
        }),
        ("cold for a day", |target| {
            target.cold_remaining = seconds(86_400);
        }),
    ];
    for (case, change) in changes {
        let view = SharedView::default();
        let now = seconds(100);
        let before = full_update(5, &[target("a", 3), target("b", 4)]);
        view.apply_store_response(before, now, now);
        let mut odd = target("a", 9);
        change(&mut odd);

        let written = ViewUpdate {
            revision: 9.into(),
            targets: vec![odd.clone(), target("c", 9)],
            ..ViewUpdate::default()
        };
        let change = view.apply_store_response(written, now, now);
        assert_eq!(names(&view), ["b", "c"], "{case}");
        assert_eq!(change.removed, ["a"], "{case}");

        let from_peer = SharedView::default();
        from_peer.apply_peer_view(full_update(9, &[odd, target("b", 4)]), now);
        assert_eq!(names(&from_peer), ["b"], "{case}");

        let again = ViewUpdate {
            revision: 10.into(),
            targets: vec![target("a", 10)],
            ..ViewUpdate::default()
        };
        view.apply_store_response(again, now, now);
        assert_eq!(names(&view), ["a", "b", "c"], "{case}");
    }
}

/// Guards against a start time or a version at the end of its type that makes a target unusable.
#[test]
fn a_registration_at_the_ends_of_its_types_is_kept() {
    let view = SharedView::default();
    let now = seconds(100);
    let target = TargetRecord {
        started_at_ms: u64::MAX,
        slots: 4096,
        availability_zone: String::new(),
        ..target("a", u64::MAX)
    };

    view.apply_store_response(full_update(5, &[target]), now, now);

    assert_eq!(names(&view), ["a"]);
}

fn names(view: &SharedView) -> Vec<String> {
    let targets = view.targets().into_iter();
    targets.map(|target| target.name).collect()
}
