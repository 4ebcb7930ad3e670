//! Collections based on sorted vectors and binary search.

mod sorted_map;

pub use sorted_map::SortedMap;
