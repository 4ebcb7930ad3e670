//! The scenes of the demo, in their order.

use std::time::Duration;

use async_std::task;
use cardamomgw::fleet::TargetState;
use futures_lite::future::zip;
use standins::new_request_id;

use crate::SceneResult;
use crate::account::CallRecord;
use crate::account::median;
use crate::account::millis;
use crate::account::print_calls;
use crate::account::scene;
use crate::account::tell;
use crate::account::told;
use crate::demo_fleet::BOOKING;
use crate::demo_fleet::BRIEFING;
use crate::demo_fleet::CARGO;
use crate::demo_fleet::DemoCall;
use crate::demo_fleet::DemoFleet;
use crate::demo_fleet::LONG_BRIEFING;
use crate::demo_fleet::WEATHER;

/// In this time a target that is back has reported to each host.
const REPORT_TIME: Duration = Duration::from_millis(2500);

/// How many long requests stand before the urgent ones.
const LONG_CALLS: usize = 20;
/// How many urgent requests come among them.
const URGENT_CALLS: usize = 4;

/// Shows who is there.
pub(crate) fn show_fleet(fleet: &DemoFleet) {
    println!();
    for (name, host) in &fleet.hosts {
        tell(&format!("{name:<10} callers at {}", host.caller_address()));
    }
    for target in &fleet.document.targets {
        let generation = target.labels.get("generation").map_or("", String::as_str);
        let line = format!(
            "{:<10} at {}, {} slots, generation={generation}",
            target.name, target.address, target.slots
        );
        tell(&line);
    }
}

/// A request of each tier, at the same time, through different hosts.
pub(crate) async fn one_of_each_tier(fleet: &DemoFleet) -> SceneResult {
    scene(
        1,
        "One request of each kind, at once, through different hosts",
    );
    let calls = [(0, BOOKING), (1, WEATHER), (2, CARGO), (0, BRIEFING)];
    let records = fleet.call_all(&calls).await;
    print_calls(fleet, &records);
    tell("Engines stream; each token is passed on as it comes.");
    Ok(())
}

/// A booking that its caller sends again, to another host.
pub(crate) async fn resend_elsewhere(fleet: &DemoFleet) -> SceneResult {
    scene(
        2,
        "A crew got no answer in time and sends its booking again, elsewhere",
    );
    let id = new_request_id();
    let first = fleet.begin(0, BOOKING, &id).await;
    let second = fleet.begin(2, BOOKING, &id).await;
    let same = match (&first.answer, &second.answer) {
        (Ok(first), Ok(second)) => first.body == second.body,
        _ => false,
    };
    print_calls(fleet, &[first, second]);
    tell(&format!(
        "The booking ran {} time(s). Both answers are the same bytes: {}.",
        fleet.runs_of(&id),
        yes_or_no(same)
    ));
    Ok(())
}

/// Short urgent requests behind a burst of long ones.
pub(crate) async fn urgent_among_long(fleet: &DemoFleet) -> SceneResult {
    scene(3, "Urgent questions among a burst of long briefings");
    let long: Vec<(usize, DemoCall)> = (0..LONG_CALLS).map(|n| (n % 3, BRIEFING)).collect();
    let urgent: Vec<(usize, DemoCall)> = (0..URGENT_CALLS).map(|n| (n % 3, WEATHER)).collect();
    let later = async {
        // The engines are full and briefings wait.
        task::sleep(Duration::from_millis(250)).await;
        fleet.call_all(&urgent).await
    };
    let (long, urgent) = zip(fleet.call_all(&long), later).await;
    print_group("manifest briefings, tier 2", &long);
    print_group("weather checks, tier 0", &urgent);
    tell("Engines know no priorities: the hosts hold the queues and keep slots free");
    tell("for urgent work, so that nothing short waits for something long.");
    Ok(())
}

/// An edit of one selector.
pub(crate) async fn configuration_change(fleet: &mut DemoFleet) -> SceneResult {
    scene(4, "An operator takes briefings off the slow generation");
    tell("class briefing: \"targets\": \"kind=engine, generation notin (g1)\"");
    let took = fleet
        .edit(|document| {
            let class = document.classes.iter_mut().find(|c| c.name == "briefing");
            if let Some(class) = class {
                class.targets = "kind=engine, generation notin (g1)".to_owned();
            }
        })
        .await?;
    tell(&format!(
        "In force on all three hosts after {}.",
        millis(took)
    ));
    let calls = [(0, BRIEFING), (1, BRIEFING), (2, BRIEFING)];
    let records = fleet.call_all(&calls).await;
    print_calls(fleet, &records);
    Ok(())
}

/// An engine that leaves while it works.
pub(crate) async fn engine_leaves(fleet: &mut DemoFleet) -> SceneResult {
    scene(5, "engine-1 leaves in the middle of a briefing");
    let id = new_request_id();
    let running = fleet.begin_running(0, BRIEFING, &id).await?;
    let took = fleet.set_engine_state(0, TargetState::Leaving).await?;
    tell(&format!("Every host knows after {}.", millis(took)));
    let after = fleet.call_all(&[(1, CARGO), (2, CARGO)]).await;
    let mut records = vec![running.await];
    records.extend(after);
    print_calls(fleet, &records);
    tell("What ran there ends whole; what came later went to the other engine.");
    fleet.set_engine_state(0, TargetState::Live).await?;
    Ok(())
}

/// An engine that crashes while it works.
pub(crate) async fn engine_crashes(fleet: &DemoFleet) -> SceneResult {
    scene(6, "engine-1 crashes in the middle of a briefing");
    let id = new_request_id();
    let running = fleet.begin_running(0, BRIEFING, &id).await?;
    // Some forty tokens are out by then.
    task::sleep(Duration::from_millis(100)).await;
    fleet.engines[0].crash();
    let cut = running.await;
    let again = fleet.begin(1, BRIEFING, &id).await;
    let other = fleet.begin(2, CARGO, &new_request_id()).await;
    let resend = again.answer.as_ref().map_or_else(ToString::to_string, told);
    print_calls(fleet, &[cut, again, other]);
    tell("The first caller sees a message that was cut, never a short one that looks");
    tell(&format!(
        "whole. It sends the same id again and is told \"{resend}\": it may have run, and",
    ));
    tell(&format!(
        "it is not run a second time ({} run). New work goes to engine-2.",
        fleet.runs_of(&id)
    ));
    fleet.engines[0].restart().await?;
    tell("Hosts send nothing to a target that they could not reach, until it reports");
    tell("its load again, which they ask for once a second.");
    task::sleep(REPORT_TIME).await;
    Ok(())
}

/// A host that stops while it serves.
pub(crate) async fn host_stops(fleet: &mut DemoFleet) -> SceneResult {
    scene(
        7,
        "entry-3 is stopped for good while it passes a briefing on",
    );
    let id = new_request_id();
    let running = fleet.begin_running(2, LONG_BRIEFING, &id).await?;
    let (name, host) = fleet.hosts.remove(2);
    let (record, ()) = zip(running, host.stop()).await;
    let whole = record
        .answer
        .as_ref()
        .is_ok_and(|answer| answer.is_complete);
    let after = fleet.begin(0, BOOKING, &new_request_id()).await;
    print_calls(fleet, &[record, after]);
    tell(&format!(
        "{name} ended with nothing left. Its last answer is whole: {}. Two seats of",
        yes_or_no(whole)
    ));
    tell("three are a majority, so bookings go on.");
    Ok(())
}

/// The one promise that counts, checked over everything that ran.
pub(crate) fn sum_up(fleet: &DemoFleet) -> SceneResult {
    let mut ids: Vec<String> = fleet.executions().into_iter().map(|r| r.id).collect();
    ids.sort();
    let began = ids.len();
    ids.dedup();
    println!();
    tell(&format!(
        "Executions on all targets: {began}, of {} requests: none ran twice.",
        ids.len()
    ));
    match began == ids.len() {
        true => Ok(()),
        false => Err("a request ran twice".into()),
    }
}

fn print_group(name: &str, records: &[CallRecord]) {
    let done = records
        .iter()
        .filter(|record| {
            record
                .answer
                .as_ref()
                .is_ok_and(|answer| told(answer) == "done")
        })
        .count();
    let first = records.iter().filter_map(|record| {
        let answer = record.answer.as_ref().ok()?;
        answer.chunk_times.first().copied()
    });
    let whole = records.iter().map(|record| record.took);
    tell(&format!(
        "{name:<30} {done:>2} of {:<2} done; middle: first token {:>8}, whole {:>8}",
        records.len(),
        millis(median(first.collect())),
        millis(median(whole.collect())),
    ));
}

const fn yes_or_no(fact: bool) -> &'static str {
    match fact {
        true => "yes",
        false => "no",
    }
}
