//! Gossip groups of a large fleet.

use cardamomgw::members::GroupLayout;
use cardamomgw::members::LayoutHost;
use cardamomgw::members::is_grouped;

fn layout_host(index: usize) -> LayoutHost {
    LayoutHost {
        availability_zone: format!("z{}", index % 5),
        host: format!("e{index:03}"),
        capacity: if index < 15 { 500 } else { 120 },
    }
}

fn layout_of(own: usize, hosts: &[usize]) -> GroupLayout {
    let others = hosts.iter().filter(|index| **index != own);
    GroupLayout::new(
        &layout_host(own),
        others.map(|index| layout_host(*index)).collect(),
        true,
    )
}

/// Guards against hosts that report to different leaders or to none.
#[test]
fn all_hosts_agree_on_groups_and_leaders() {
    let hosts: Vec<usize> = (0..295).collect();

    let layouts: Vec<GroupLayout> = hosts.iter().map(|own| layout_of(*own, &hosts)).collect();

    let first = &layouts[0];
    let mut members = 0;
    for group in 0..first.group_count() {
        let candidates = first.leader_candidates(group);
        members += candidates.len();
        assert!((8..=24).contains(&candidates.len()), "{}", candidates.len());
        for layout in &layouts {
            assert_eq!(layout.leader_candidates(group), candidates);
        }
    }
    assert_eq!(members, 295);
    assert!(first.group_count() <= 20, "{}", first.group_count());
}

/// Guards against a small host leading a group that contains a large one.
#[test]
fn the_largest_host_of_a_group_leads_it() {
    let hosts: Vec<usize> = (0..295).collect();
    let layout = layout_of(0, &hosts);

    for group in 0..layout.group_count() {
        let candidates = layout.leader_candidates(group);
        let is_large = |host: &&String| host[1..].parse::<usize>().unwrap() < 15;
        let any_large = candidates.iter().any(is_large);
        assert_eq!(any_large, is_large(&candidates[0]));
    }
}

/// Guards against all groups changing when one host fails.
#[test]
fn a_failed_host_moves_few_others() {
    let hosts: Vec<usize> = (0..295).collect();
    let fewer: Vec<usize> = hosts
        .iter()
        .copied()
        .filter(|index| *index != 100)
        .collect();

    let moved = fewer
        .iter()
        .filter(|own| layout_of(**own, &hosts).own_group() != layout_of(**own, &fewer).own_group());

    assert!(moved.count() <= 4);
}

/// Guards against a fleet that alternates between full mesh and groups.
#[test]
fn a_fleet_at_the_threshold_keeps_its_mode() {
    assert!(!is_grouped(32, false));
    assert!(is_grouped(33, false));
    assert!(is_grouped(28, true));
    assert!(!is_grouped(20, true));
}
