//! The scenes of the demo, in order.

use std::time::Duration;

use async_std::task;
use cardamomgw::fleet::TargetState;
use futures_lite::future::zip;
use standins::new_request_id;

use crate::SceneResult;
use crate::demo_fleet::BOOKING;
use crate::demo_fleet::BRIEFING;
use crate::demo_fleet::CARGO;
use crate::demo_fleet::DemoCall;
use crate::demo_fleet::DemoFleet;
use crate::demo_fleet::LONG_BRIEFING;
use crate::demo_fleet::WEATHER;
use crate::demo_output::CallRecord;
use crate::demo_output::median;
use crate::demo_output::millis;
use crate::demo_output::outcome_text;
use crate::demo_output::print_calls;
use crate::demo_output::print_heading;
use crate::demo_output::print_line;

/// Time after which every host has polled a restarted target.
const REPORT_WAIT: Duration = Duration::from_millis(2500);

/// Number of long requests sent before the urgent ones.
const LONG_CALLS: usize = 20;
/// Number of urgent requests.
const URGENT_CALLS: usize = 4;

/// Prints the hosts and targets.
pub(crate) fn show_fleet(fleet: &DemoFleet) {
    println!();
    for (name, host) in &fleet.hosts {
        print_line(&format!("{name:<10} callers at {}", host.caller_address()));
    }
    for target in &fleet.document.targets {
        let generation = target.labels.get("generation").map_or("", String::as_str);
        let line = format!(
            "{:<10} at {}, {} slots, generation={generation}",
            target.name, target.address, target.slots
        );
        print_line(&line);
    }
}

/// Concurrent requests of all tiers through different hosts.
pub(crate) async fn one_of_each_tier(fleet: &DemoFleet) -> SceneResult {
    print_heading(
        1,
        "Concurrent requests of each kind through different hosts",
    );
    let calls = [(0, BOOKING), (1, WEATHER), (2, CARGO), (0, BRIEFING)];
    let records = fleet.call_all(&calls).await;
    print_calls(fleet, &records);
    print_line("Engines stream; each token is forwarded as it arrives.");
    Ok(())
}

/// A booking that its caller resends to another host.
pub(crate) async fn resend_elsewhere(fleet: &DemoFleet) -> SceneResult {
    print_heading(
        2,
        "A caller resends a booking to another host after a timeout",
    );
    let id = new_request_id();
    let first = fleet.spawn_call(0, BOOKING, &id).await;
    let second = fleet.spawn_call(2, BOOKING, &id).await;
    let same = match (&first.answer, &second.answer) {
        (Ok(first), Ok(second)) => first.body == second.body,
        _ => false,
    };
    print_calls(fleet, &[first, second]);
    print_line(&format!(
        "The booking ran {} time(s). The answers are identical: {}.",
        fleet.execution_count(&id),
        yes_or_no(same)
    ));
    Ok(())
}

/// Short urgent requests after a burst of long ones.
pub(crate) async fn urgent_among_long(fleet: &DemoFleet) -> SceneResult {
    print_heading(3, "Urgent requests during a burst of long briefings");
    let long: Vec<(usize, DemoCall)> = (0..LONG_CALLS).map(|n| (n % 3, BRIEFING)).collect();
    let urgent: Vec<(usize, DemoCall)> = (0..URGENT_CALLS).map(|n| (n % 3, WEATHER)).collect();
    let later = async {
        // By then the engines have no free slots and briefings are queued.
        task::sleep(Duration::from_millis(250)).await;
        fleet.call_all(&urgent).await
    };
    let (long, urgent) = zip(fleet.call_all(&long), later).await;
    print_group("manifest briefings, tier 2", &long);
    print_group("weather checks, tier 0", &urgent);
    print_line("Engines do not prioritise: the hosts queue requests and reserve slots");
    print_line("for urgent work, so that short requests do not wait for long ones.");
    Ok(())
}

/// A change of a class's target selector.
pub(crate) async fn configuration_change(fleet: &mut DemoFleet) -> SceneResult {
    print_heading(4, "An operator excludes the slow generation from briefings");
    print_line("class briefing: \"targets\": \"kind=engine, generation notin (g1)\"");
    let elapsed = fleet
        .edit(|document| {
            let class = document.classes.iter_mut().find(|c| c.name == "briefing");
            if let Some(class) = class {
                class.targets = "kind=engine, generation notin (g1)".to_owned();
            }
        })
        .await?;
    print_line(&format!(
        "In force on all three hosts after {}.",
        millis(elapsed)
    ));
    let calls = [(0, BRIEFING), (1, BRIEFING), (2, BRIEFING)];
    let records = fleet.call_all(&calls).await;
    print_calls(fleet, &records);
    Ok(())
}

/// An engine that is marked as leaving while it serves a request.
pub(crate) async fn engine_leaves(fleet: &mut DemoFleet) -> SceneResult {
    print_heading(5, "engine-1 leaves in the middle of a briefing");
    let id = new_request_id();
    let running = fleet.spawn_running_call(0, BRIEFING, &id).await?;
    let elapsed = fleet.set_engine_state(0, TargetState::Leaving).await?;
    print_line(&format!("In force on all hosts after {}.", millis(elapsed)));
    let after = fleet.call_all(&[(1, CARGO), (2, CARGO)]).await;
    let mut records = vec![running.await];
    records.extend(after);
    print_calls(fleet, &records);
    print_line("Running requests complete; new ones go to the other engine.");
    fleet.set_engine_state(0, TargetState::Live).await?;
    Ok(())
}

/// An engine that crashes while it serves a request.
pub(crate) async fn engine_crashes(fleet: &DemoFleet) -> SceneResult {
    print_heading(6, "engine-1 crashes in the middle of a briefing");
    let id = new_request_id();
    let running = fleet.spawn_running_call(0, BRIEFING, &id).await?;
    // About forty tokens have been sent by then.
    task::sleep(Duration::from_millis(100)).await;
    fleet.engines[0].crash();
    let cut = running.await;
    let again = fleet.spawn_call(1, BRIEFING, &id).await;
    let other = fleet.spawn_call(2, CARGO, &new_request_id()).await;
    let resend = again
        .answer
        .as_ref()
        .map_or_else(ToString::to_string, outcome_text);
    print_calls(fleet, &[cut, again, other]);
    print_line("The first caller sees a truncated message, never a short one that looks");
    print_line(&format!(
        "complete. It resends the same id and gets \"{resend}\": the request may have run",
    ));
    print_line(&format!(
        "and is not executed again (executions: {}). New work goes to engine-2.",
        fleet.execution_count(&id)
    ));
    fleet.engines[0].restart().await?;
    print_line("After a connection failure, hosts send a target no requests until it reports");
    print_line("its load again, which they poll once a second.");
    task::sleep(REPORT_WAIT).await;
    Ok(())
}

/// A host that stops while it serves a request.
pub(crate) async fn host_stops(fleet: &mut DemoFleet) -> SceneResult {
    print_heading(7, "entry-3 is stopped while it forwards a briefing");
    let id = new_request_id();
    let running = fleet.spawn_running_call(2, LONG_BRIEFING, &id).await?;
    let (name, host) = fleet.hosts.remove(2);
    let (record, ()) = zip(running, host.stop()).await;
    let whole = record
        .answer
        .as_ref()
        .is_ok_and(|answer| answer.is_complete);
    let after = fleet.spawn_call(0, BOOKING, &new_request_id()).await;
    print_calls(fleet, &[record, after]);
    print_line(&format!(
        "{name} stopped after completing its requests. Its last answer is complete: {}.",
        yes_or_no(whole)
    ));
    print_line("Two of three seats are a majority, so bookings continue.");
    Ok(())
}

/// Checks that no request was executed more than once.
pub(crate) fn print_totals(fleet: &DemoFleet) -> SceneResult {
    let mut ids: Vec<String> = fleet.executions().into_iter().map(|r| r.id).collect();
    ids.sort();
    let began = ids.len();
    ids.dedup();
    println!();
    print_line(&format!(
        "Executions on all targets: {began}, of {} requests: none was executed twice.",
        ids.len()
    ));
    match began == ids.len() {
        true => Ok(()),
        false => Err("a request was executed more than once".into()),
    }
}

fn print_group(name: &str, records: &[CallRecord]) {
    let done = records
        .iter()
        .filter(|record| {
            record
                .answer
                .as_ref()
                .is_ok_and(|answer| outcome_text(answer) == "done")
        })
        .count();
    let first = records.iter().filter_map(|record| {
        let answer = record.answer.as_ref().ok()?;
        answer.chunk_times.first().copied()
    });
    let whole = records.iter().map(|record| record.elapsed);
    print_line(&format!(
        "{name:<30} {done:>2} of {:<2} done; median: first token {:>8}, complete {:>8}",
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
