//! Random walks through the interleavings of the claim protocol: no guarantee breaks
//! with all rules on, and the checker detects each rule that is turned off.
//!
//! `CLAIM_WALKS=N` sets the number of walks per profile; use more in release builds.

mod model;
mod profiles;

use cardamomgw::claim::ClaimRules;
use model::ModelFault;
use model::ModelWorld;
use model::SeededChoice;
use model::WalkProfile;
use profiles::PROFILES;
use profiles::RETURNING;
use profiles::REVOTING;
use profiles::SHRINKING;
use profiles::SKIPPING;

const DEFAULT_WALKS: u64 = 120;
/// Maximum number of seeds to try, starting at the known one, so that the test survives
/// changes of the code or the model.
const MAX_SEEDS: u64 = 3_000;
/// Number of profiles that run concurrently.
const THREADS: usize = 4;
/// Time budget of `arbtest`, in milliseconds.
const ARBTEST_MS: u64 = 2_000;

fn walks() -> u64 {
    let wanted = std::env::var("CLAIM_WALKS").ok();
    let wanted = wanted.and_then(|text| text.parse().ok());
    wanted.unwrap_or(DEFAULT_WALKS)
}

fn run(
    seed: u64,
    rules: ClaimRules,
    profile: &WalkProfile,
) -> (ModelWorld, Result<(), ModelFault>) {
    let mut world = ModelWorld::bootstrap(profile.seats, rules);
    let result = world.walk(profile, &mut SeededChoice::new(seed));
    (world, result)
}

/// Tries seeds from `seed`, the first one known to show the fault, until one shows it.
fn assert_detected(seed: u64, rules: ClaimRules, profile: &WalkProfile) {
    let failing = (seed..seed + MAX_SEEDS).find(|seed| run(*seed, rules, profile).1.is_err());
    let failing = failing.expect("the checker detects the rule that was turned off");
    println!("seed {failing}: {:?}", run(failing, rules, profile).1);
    let kept = WalkProfile {
        release_after_dispatch: false,
        ..*profile
    };
    assert_eq!(run(failing, ClaimRules::default(), &kept).1, Ok(()));
}

#[test]
fn walks_with_all_rules_uphold_both_guarantees() {
    for profiles in PROFILES.chunks(THREADS) {
        std::thread::scope(|scope| {
            for (name, profile) in profiles {
                scope.spawn(move || walk_profile(name, profile));
            }
        });
    }
}

fn walk_profile(name: &str, profile: &WalkProfile) {
    let [mut dispatched, mut not_run, mut restarts, mut published] = [0; 4];
    for seed in 0..walks() {
        let (world, result) = run(seed, ClaimRules::default(), profile);
        assert_eq!(result, Ok(()), "profile {name}, seed {seed}");
        dispatched += world.counts.dispatched;
        not_run += world.counts.not_run;
        restarts += world.counts.restarts;
        published += world.counts.published;
    }
    println!(
        "{name}: {} walks, {dispatched} dispatched, {not_run} not-run, {restarts} restarts, \
         {published} rosters",
        walks()
    );
    assert!(dispatched > 0 && not_run > 0, "profile {name} is not idle");
}

#[test]
fn arbitrary_walks_uphold_both_guarantees() {
    arbtest::arbtest(|choices| {
        let mut world = ModelWorld::bootstrap(3, ClaimRules::default());
        let result = world.walk(&WalkProfile::MIXED, choices);
        assert_eq!(result, Ok(()));
        Ok(())
    })
    .budget_ms(ARBTEST_MS);
}

#[test]
fn without_the_boot_time_rule_not_run_is_wrong() {
    let rules = ClaimRules {
        boot_time: false,
        ..ClaimRules::default()
    };
    assert_detected(182, rules, &RETURNING);
}

#[test]
fn without_knowing_the_former_roster_active_two_rosters_answer() {
    let rules = ClaimRules {
        knew_former_active: false,
        ..ClaimRules::default()
    };
    assert_detected(21, rules, &SKIPPING);
}

#[test]
fn without_the_majority_of_both_rosters_not_run_is_wrong() {
    let rules = ClaimRules {
        two_rosters: false,
        ..ClaimRules::default()
    };
    assert_detected(1, rules, &REVOTING);
}

#[test]
fn with_a_bar_that_ignores_a_grant_not_run_is_wrong() {
    let rules = ClaimRules {
        bar_respects_grant: false,
        ..ClaimRules::default()
    };
    assert_detected(1, rules, &SKIPPING);
}

#[test]
fn without_refusing_older_rosters_a_request_runs_twice() {
    let rules = ClaimRules {
        refuse_older_rosters: false,
        ..ClaimRules::default()
    };
    assert_detected(61, rules, &RETURNING);
}

#[test]
fn without_rejoining_by_majority_two_rosters_answer() {
    let rules = ClaimRules {
        rejoin_by_majority: false,
        ..ClaimRules::default()
    };
    assert_detected(157, rules, &RETURNING);
}

#[test]
fn without_the_crash_vector_two_rosters_answer() {
    let rules = ClaimRules {
        crash_vector: false,
        ..ClaimRules::default()
    };
    assert_detected(1, rules, &REVOTING);
}

#[test]
fn without_the_window_not_run_is_wrong() {
    let rules = ClaimRules {
        id_window: false,
        ..ClaimRules::default()
    };
    assert_detected(22, rules, &REVOTING);
}

#[test]
fn with_a_release_after_the_dispatch_not_run_is_wrong() {
    let profile = WalkProfile {
        release_after_dispatch: true,
        ..SHRINKING
    };
    assert_detected(32, ClaimRules::default(), &profile);
}

/// New hosts read a document whose roster never became active, find that none of its
/// seats votes, and bootstrap it while an older roster is still active.
#[test]
fn without_explicit_bootstraps_two_rosters_answer() {
    let rules = ClaimRules {
        explicit_bootstrap: false,
        ..ClaimRules::default()
    };
    assert_detected(2, rules, &SHRINKING);
}
