//! Hosts that follow the configuration from the platform and from each other.

mod config_support;

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use cardamomgw::clock::boot_now;
use cardamomgw::controllers::HostListWatch;
use cardamomgw::controllers::UnreadyReason;
use cardamomgw::documents::DocumentClient;
use config_support::FleetMember;
use config_support::bind_members;
use config_support::document;
use config_support::no_platform;
use config_support::open_platform;
use config_support::publish;
use standins::HostEntry;
use standins::PlatformMode;
use standins::TargetState;

/// Time limit for a condition to become true on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);

async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let poll = async {
        while !condition() {
            task::sleep(Duration::from_millis(5)).await;
        }
    };
    let result = async_std::future::timeout(TIMEOUT, poll).await;
    assert!(result.is_ok(), "timed out: {what}");
}

async fn all_at(version: u64, members: &[FleetMember]) {
    eventually(&format!("version {version} everywhere"), || {
        members.iter().all(|member| member.version() == version)
    })
    .await;
}

/// One of three hosts reaches the platform, and the others are disconnected from it. An
/// edit must be in force on all three, and all of them must serve.
#[async_std::test]
async fn hosts_disconnected_from_the_platform_follow_their_peers() {
    let platform = open_platform().await;
    let members = bind_members(&["a", "b", "c"]).await;
    publish(&platform, &document(1, &members));
    members[0].start(platform.address(), &[]);
    members[1].start(no_platform(), &[&members[0]]);
    members[2].start(no_platform(), &[&members[0]]);
    all_at(1, &members).await;

    publish(&platform, &document(2, &members));

    all_at(2, &members).await;
    eventually("all ready", || members.iter().all(FleetMember::is_ready)).await;
    eventually("all fresh", || {
        let now = boot_now();
        members
            .iter()
            .all(|member| member.controller().is_fresh(now))
    })
    .await;
}

/// A host is restarted while its platform is stale: it reads version 1 there first,
/// while its peers have version 2. It must not serve by version 1 or return to it
/// later.
#[async_std::test]
async fn restart_into_a_stale_platform_does_not_serve_the_older_document() {
    let platform = open_platform().await;
    let stale = open_platform().await;
    let members = bind_members(&["a", "b", "c"]).await;
    publish(&stale, &document(1, &members));
    stale.set_mode(PlatformMode::Stale);
    publish(&platform, &document(2, &members));
    members[0].start(platform.address(), &[]);
    members[1].start(platform.address(), &[]);
    all_at(2, &members[..2]).await;

    let restarted = &members[2];
    restarted.start(stale.address(), &[]);
    eventually("ready", || {
        let ready = restarted.is_ready();
        assert!(!ready || restarted.version() == 2, "ready by version 1");
        ready
    })
    .await;

    assert_eq!(restarted.version(), 2);
}

/// An operator publishes an invalid document. Every host refuses it completely, reports
/// it, does not poll the platform in a busy loop, and accepts the corrected one.
#[async_std::test]
async fn invalid_document_is_refused_everywhere_and_the_corrected_one_accepted() {
    let platform = open_platform().await;
    let members = bind_members(&["a", "b"]).await;
    publish(&platform, &document(1, &members));
    for member in &members {
        member.start(platform.address(), &[]);
    }
    all_at(1, &members).await;
    let mut broken = document(2, &members);
    broken.targets[0].slots = 0;

    publish(&platform, &broken);
    eventually("refused everywhere", || {
        members
            .iter()
            .all(|member| member.refusal().contains("targets"))
    })
    .await;
    let before = platform.call_count();
    task::sleep(Duration::from_secs(1)).await;
    let calls = platform.call_count() - before;
    let versions: Vec<u64> = members.iter().map(FleetMember::version).collect();
    publish(&platform, &document(3, &members));

    assert_eq!(versions, [1, 1]);
    assert!(calls < 40, "{calls} calls in a second by two hosts");
    all_at(3, &members).await;
    assert!(members.iter().all(|member| member.refusal().is_empty()));
}

/// Two operators' edits raced at two replicas of the platform and got the same version.
/// Each host keeps the one that it received first, and both report the conflict.
#[async_std::test]
async fn same_version_with_another_content_is_reported_on_both_sides() {
    let platforms = [open_platform().await, open_platform().await];
    let members = bind_members(&["a", "b"]).await;
    let mut other = document(1, &members);
    other.targets[0].slots += 1;
    publish(&platforms[0], &document(1, &members));
    publish(&platforms[1], &other);

    members[0].start(platforms[0].address(), &[]);
    members[1].start(platforms[1].address(), &[]);

    eventually("conflict reported on both", || {
        members
            .iter()
            .all(|member| member.refusal().contains("another content"))
    })
    .await;
    let slots = |member: &FleetMember| {
        let view = member.controller().view().unwrap();
        view.document().targets[0].slots
    };
    assert_eq!(slots(&members[1]), slots(&members[0]) + 1);
}

#[async_std::test]
async fn host_that_reaches_nobody_is_not_ready_and_does_not_refresh() {
    let members = bind_members(&["a"]).await;

    members[0].start(no_platform(), &[]);

    let reason = members[0].controller().readiness(boot_now());
    assert_eq!(reason, Err(UnreadyReason::NoDocument));
    assert!(!members[0].controller().refresh().await);
}

#[async_std::test]
async fn host_list_is_polled() {
    let platform = open_platform().await;
    let entry = HostEntry {
        name: "engine-01".to_owned(),
        state: TargetState::Leaving,
    };
    let client = DocumentClient::new(vec![platform.address()], "fleet".to_owned());
    let (sender, lists) = async_channel::unbounded();

    let watch = HostListWatch::spawn(Arc::new(client), move |list| {
        sender.try_send(list).ok();
    });
    let next = async || async_std::future::timeout(TIMEOUT, lists.recv()).await;
    let first = next().await.unwrap().unwrap();
    platform.set_hosts(vec![entry]);
    let mut second = first.clone();
    while second.hosts.is_empty() {
        second = next().await.unwrap().unwrap();
    }

    assert!(first.hosts.is_empty());
    assert_eq!(second.hosts[0].name, "engine-01");
    assert!(second.taken_ms >= first.taken_ms);
    drop(watch);
    // The poller drops its listener, and with it the sender of the channel.
    while let Ok(list) = next().await.unwrap() {
        assert!(list.taken_ms >= second.taken_ms);
    }
}

#[async_std::test]
async fn refresh_asks_the_peers_and_succeeds() {
    let platform = open_platform().await;
    let members = bind_members(&["a", "b", "c"]).await;
    publish(&platform, &document(1, &members));
    for member in &members {
        member.start(platform.address(), &[]);
    }
    all_at(1, &members).await;
    eventually("connected", || members[0].is_ready()).await;

    assert!(members[0].controller().refresh().await);
}
