//! The basic types that all modules use: the answer table, request ids, sorted maps.

use cardamomgw::errors::ANSWER_TABLE;
use cardamomgw::errors::ErrorKind;
use cardamomgw::ids::RequestId;
use cardamomgw::ids::RequestIdError;
use cardamomgw::sorted::SortedMap;

#[test]
fn answer_table_has_the_order_of_the_error_kinds() {
    for (index, row) in ANSWER_TABLE.iter().enumerate() {
        assert_eq!(row.kind as usize, index, "{}", row.kind);
        assert_eq!(row.kind.answer().kind, row.kind);
    }
    assert_eq!(ErrorKind::Internal as usize + 1, ANSWER_TABLE.len());
}

#[test]
fn request_id_contains_its_time_and_other_versions_are_rejected() {
    let id = RequestId::generate(1_764_000_000_123);

    let parsed: RequestId = id.to_string().parse().unwrap();

    assert_eq!(parsed, id);
    assert_eq!(parsed.time(), 1_764_000_000_123);
    assert_eq!(
        "c232ab00-9414-4ec7-9a4f-1c1a0d3f2b11".parse::<RequestId>(),
        Err(RequestIdError::NotVersion7)
    );
    assert_eq!(
        "not-an-id".parse::<RequestId>(),
        Err(RequestIdError::NotUuid)
    );
}

#[test]
fn sorted_map_is_ordered_and_removes_keys_below_a_bound() {
    let mut map: SortedMap<u32, &str> = [(3, "c"), (1, "a"), (2, "b")].into_iter().collect();

    let removed = map.remove_below(&2);

    assert_eq!(removed, 1);
    let keys: Vec<u32> = map.iter().map(|(key, _)| *key).collect();
    assert_eq!(keys, [2, 3]);
    assert_eq!(map.get(&3), Some(&"c"));
}
