//! Lists of prompt parts as callers send them.

use cardamomgw::poison::SharedParts;
use cardamomgw::poison::canonical_part;
use cardamomgw::poison::last_part;

fn ids(list: &str) -> Vec<String> {
    SharedParts::parse(list, "engines", "harbour").ids()
}

#[test]
fn the_last_part_belongs_to_its_request() {
    assert_eq!(
        ids("5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
        ["5c1e07a2", "91bd3f06"]
    );
    assert!(ids("e4402b7d:250").is_empty());
    assert!(ids("").is_empty());
}

/// Guards against lists that name a part twice, in other letters, without an id or at great length.
#[test]
fn malformed_lists_are_read_as_far_as_they_go() {
    assert_eq!(ids("AB:1, ab:2 ,,:3,x y:4,no-hex:5,cd,ef:6"), ["ab", "cd"]);
    let long_id = "a".repeat(65);
    assert!(ids(&format!("{long_id}:1,ef:2")).is_empty());
    let many: Vec<String> = (0..5000).map(|number| format!("{number:x}:1")).collect();
    assert!(ids(&many.join(",")).len() <= 256);
}

/// Guards against a part that one pool's targets can't bear and that is rejected for all.
#[test]
fn a_part_has_another_key_in_another_pool() {
    let key = |pool: &str| SharedParts::parse("ab:1,cd:2", pool, "harbour").parts[0].key;

    assert_eq!(key("engines"), key("engines"));
    assert_ne!(key("engines"), key("others"));
}

/// Guards against a request whose own part is not recognized in the list of a target, which writes
/// ids in another form.
#[test]
fn the_last_part_is_read_as_targets_write_it() {
    let last = |list: &str| last_part(list).unwrap_or_default();

    assert_eq!(last("5c1e07a2:800,91bd3f06:410,00E4402b7d:250"), "e4402b7d");
    assert_eq!(last(" 0ab "), "ab");
    assert_eq!(last("ab:1,000:2"), "0");
    for malformed in ["", "ab:1,", "ab:1,no-hex:2", "ab:1,:2", &"a".repeat(65)] {
        assert_eq!(last_part(malformed), None, "{malformed}");
    }
    assert_eq!(canonical_part("+ab"), None);
}
