//! Configuration: applied by all hosts, never replaced by an older one, refused as a whole.

#![allow(clippy::unwrap_used, reason = "fixtures fail by panics")]

mod support;

use std::time::Duration;

use async_std::task;
use standins::LinkMode;
use standins::PlatformMode;
use standins::new_request_id;
use support::FleetPlan;
use support::TestFleet;
use support::booking;
use support::call;
use support::wait_until;

/// Long enough for a wrong version to show up if it were applied.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);

async fn service_fleet() -> TestFleet {
    TestFleet::start(FleetPlan {
        engines: 0,
        ..FleetPlan::default()
    })
    .await
}

/// The document is edited while one host can't reach the platform, but can reach its peers.
#[async_std::test]
async fn a_host_cut_from_the_platform_follows_its_peers() {
    let mut fleet = service_fleet().await;

    fleet.set_platform_link(0, LinkMode::Cut);
    fleet.edit(|document| document.limits.max_waiting = 77);

    for index in 0..fleet.hosts.len() {
        fleet.wait_for_version(index, fleet.document.version).await;
    }
}

/// The platform serves an older document again, and a host restarts while it does.
#[async_std::test]
async fn a_restart_into_a_stale_platform_takes_nothing_older() {
    let mut fleet = service_fleet().await;
    let stale = fleet.document.clone();
    fleet.edit(|document| document.limits.max_waiting = 77);
    for index in 0..fleet.hosts.len() {
        fleet.wait_for_version(index, fleet.document.version).await;
    }

    fleet.platform.publish("fleet", &stale).unwrap();
    fleet.hosts[0].process.kill();
    fleet.restart_host(0);
    fleet.hosts[0].process.wait_ready().await;

    fleet.wait_for_version(0, fleet.document.version).await;
    task::sleep(OBSERVATION_TIME).await;
    for index in 0..fleet.hosts.len() {
        let version = fleet.version_in_force(index).await;
        assert_eq!(version, Some(fleet.document.version));
    }
}

/// A host starts while the platform is down, and gets the document from its peers.
#[async_std::test]
async fn a_host_starts_while_the_platform_is_down() {
    let mut fleet = service_fleet().await;
    let addresses = fleet.hosts.iter().skip(1);
    let peers = addresses.map(|host| host.peer_link.address()).collect();
    fleet.hosts[0].process.settings.peer_addresses = peers;

    fleet.platform.set_mode(PlatformMode::Down);
    fleet.hosts[0].process.kill();
    fleet.restart_host(0);

    fleet.hosts[0].process.wait_ready().await;
    fleet.wait_for_version(0, fleet.document.version).await;
}

/// The platform refuses every other call.
#[async_std::test]
async fn a_flapping_platform_still_brings_edits() {
    let mut fleet = service_fleet().await;

    fleet.platform.set_mode(PlatformMode::Flapping);
    fleet.edit(|document| document.limits.max_waiting = 77);

    for index in 0..fleet.hosts.len() {
        fleet.wait_for_version(index, fleet.document.version).await;
    }
}

/// A document with a fault in one selector is published. No part of it may be applied by any
/// host, the previous one stays in force, and the status shows why it was refused.
#[async_std::test]
async fn an_invalid_document_is_refused_as_a_whole() {
    let mut fleet = service_fleet().await;
    let good = fleet.document.version;

    fleet.edit(|document| {
        document.accounts.clear();
        document.classes[0].targets = "kind=".to_owned() + "(service";
    });

    for index in 0..fleet.hosts.len() {
        wait_until("the refusal", || async {
            let status = fleet.hosts[index].process.status().await;
            !status["configuration"]["last_refused"].is_null()
        })
        .await;
        assert_eq!(fleet.version_in_force(index).await, Some(good));
        let id = new_request_id();
        let answer = call(fleet.caller_address(index), &booking(&id))
            .await
            .unwrap();
        assert_eq!(answer.outcome(), "done", "{}", answer.text());
    }
}

/// Two operators edit version 1 concurrently and both publish a version 2. Hosts that have
/// already applied one of them must not switch to the other.
#[async_std::test]
async fn two_edits_of_one_version_never_replace_each_other() {
    let mut fleet = service_fleet().await;
    fleet.edit(|document| document.limits.max_waiting = 77);
    for index in 0..fleet.hosts.len() {
        fleet.wait_for_version(index, fleet.document.version).await;
    }
    let mut digests = Vec::new();
    for host in &fleet.hosts {
        let status = host.process.status().await;
        digests.push(status["configuration"]["digest"].clone());
    }

    fleet.document.limits.max_waiting = 78;
    fleet.publish();
    task::sleep(OBSERVATION_TIME).await;

    for (host, digest) in fleet.hosts.iter().zip(&digests) {
        let status = host.process.status().await;
        assert_eq!(status["configuration"]["digest"], *digest);
        assert_eq!(*digest, digests[0]);
    }
}
