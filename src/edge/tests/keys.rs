//! Keys and routes, and how old what is known of them may be.

use std::time::Duration;

use super::edge_fixture::EdgeFixture;
use super::edge_fixture::request_for;
use super::edge_fixture::status_of;
use super::raw_target::RawTarget;
use super::raw_target::write_text;
use crate::edge::EdgeBounds;

fn echo_target() -> RawTarget {
    RawTarget::spawn(|request, stream| {
        write_text(stream, &request.answer("200 OK", "fine"));
        true
    })
}

#[test]
fn unknown_routes_and_keys_and_two_keys_are_told_apart() {
    let target = echo_target();
    let host = EdgeFixture::open(std::slice::from_ref(&target));
    let good = request_for("/once/x", "id1");
    let two_keys = good.replace(
        "Authorization: Token k1",
        "Authorization: Token k1\r\nAuthorization: Token k2",
    );

    assert_eq!(
        status_of(&host.call(&good.replace("/once/x", "/nowhere/x"))),
        404
    );
    assert_eq!(
        status_of(&host.call(&good.replace("Token k1", "Token k9"))),
        401
    );
    assert_eq!(status_of(&host.call(&two_keys)), 401);
    assert!(target.seen().is_empty());
    assert_eq!(status_of(&host.call(&good)), 200);
}

/// An operator takes a key away; it works no more within a second, also where the
/// same catalog moved nothing else.
#[test]
fn a_key_that_is_taken_away_stops_to_work() {
    let target = echo_target();
    let host = EdgeFixture::open(std::slice::from_ref(&target));
    assert_eq!(status_of(&host.call(&request_for("/once/x", "id1"))), 200);

    host.store.write(2, std::slice::from_ref(&target), &["k2"]);
    std::thread::sleep(Duration::from_millis(600));

    assert_eq!(status_of(&host.call(&request_for("/once/x", "id2"))), 401);
}

/// A host is cut off from the store, and a key may have been taken away since. While
/// its view is young it serves; then it says that it did not run the request, and
/// that it isn't ready. It must not say that the key is unknown.
#[test]
fn a_host_that_is_cut_off_refuses_keys_when_its_view_is_old() {
    let target = echo_target();
    let bounds = EdgeBounds {
        max_key_age: Some(Duration::from_millis(2500)),
        ..EdgeBounds::default()
    };
    let host = EdgeFixture::open_with(std::slice::from_ref(&target), bounds);
    host.wait_ready(true);

    host.store.take_away();
    let young = host.call(&request_for("/once/x", "id1"));
    host.wait_ready(false);
    let old = host.call(&request_for("/once/x", "id2"));
    let unknown = host.call(&request_for("/once/x", "id3").replace("Token k1", "Token k9"));

    assert_eq!(status_of(&young), 200);
    assert_eq!(status_of(&old), 503);
    assert_eq!(status_of(&unknown), 503);
    assert_eq!(target.seen().len(), 1);

    host.store.write(1, std::slice::from_ref(&target), &["k1"]);
    host.wait_ready(true);
    assert_eq!(status_of(&host.call(&request_for("/once/x", "id4"))), 200);
}

/// A host that starts while the store is away knows nothing: it must say neither that
/// a route is not there nor that a key is unknown.
#[test]
fn a_host_without_a_configuration_answers_503() {
    let host = EdgeFixture::open_without_store();

    let answer = host.call(&request_for("/once/x", "id1"));

    assert_eq!(status_of(&answer), 503);
}
