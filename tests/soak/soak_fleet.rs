//! The processes, stand-ins and links of one soak, and the faults that are injected into them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use rustix::process::Signal;
use standins::LinkMode;
use standins::LinkServer;
use standins::PathMode;

use super::platform_standin::ConfigSpec;
use super::platform_standin::StoreServer;
use super::platform_standin::TargetSpec;
use super::rejoin_plan::FIRST_ENGINE;
use super::soak_caller::LIMITED_KEY;
use super::soak_caller::PERMANENT_KEY;
use super::soak_caller::REVOCABLE_KEY;
use super::soak_history::SoakHistory;
use super::soak_host::SoakHost;
use super::soak_paths::HostPaths;
use super::soak_plan::SoakStep;
use super::soak_routes::SoakRoute;
use super::soak_target::SLOTS;
use super::soak_target::SoakTarget;
use super::soak_target::TargetIdentity;
use super::soak_target::TargetMode;
use super::soak_versions::version_of;

/// Tolerance for a host's exit beyond its grace period of six seconds.
const EXIT_LIMIT: Duration = Duration::from_millis(500);
/// How long a target keeps serving after it is marked as leaving.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// The same for a target that announces it to the store only.
const QUIET_DRAIN_TIME: Duration = Duration::from_secs(9);

/// A target with its registration and its link.
struct FleetTarget {
    target: SoakTarget,
    link: LinkServer,
    spec: TargetSpec,
    /// Number of restarts under a new name.
    generation: u32,
    /// When it stops serving, while it is leaving.
    drain_end: Option<Instant>,
    /// Open disturbances by a crash, by the target's mode and by its link.
    crash_disturbance: Option<usize>,
    mode_disturbance: Option<usize>,
    link_disturbance: Option<usize>,
}

/// A host and its open disturbances.
struct FleetHost {
    host: SoakHost,
    disturbance: Option<usize>,
    store_disturbance: Option<usize>,
}

/// How hosts reach the targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TargetRoutes {
    /// At their addresses. A link would accept connections for a target that has crashed.
    Direct,
    /// Over one link for each target.
    Links,
    /// Over a path for each host and target, in front of the target's link. Each path needs file
    /// descriptors and a thread, so a large fleet has none unless its plan changes them.
    Paths,
}

/// Software versions of the targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TargetVersions {
    /// All have the same.
    Single,
    /// Two versions; a target that restarts has the other one.
    Mixed,
    /// All that run streams have the first one, and half of their places are free until targets
    /// of the next one join. Each start of a target has an address of its own.
    Released,
}

/// The processes, stand-ins and links of one soak.
pub(crate) struct SoakFleet {
    store: StoreServer,
    config: ConfigSpec,
    hosts: Vec<FleetHost>,
    targets: Vec<FleetTarget>,
    history: Arc<SoakHistory>,
    store_disturbance: Option<usize>,
    key_removal: Option<usize>,
    /// Keys of the changes that the store has lost and that were not written again, and the
    /// disturbance until then.
    lost_keys: Vec<String>,
    rewind_disturbance: Option<usize>,
    routes: TargetRoutes,
    versions: TargetVersions,
    /// The paths of each host to each target, by the address that the target registers.
    paths: Vec<Arc<HostPaths>>,
    path_cuts: Vec<Option<usize>>,
}

impl SoakFleet {
    /// Starts the store, the targets and the hosts.
    pub(crate) fn start(
        run: u8,
        sizes: (usize, usize),
        routes: TargetRoutes,
        versions: TargetVersions,
        directory: &std::path::Path,
        history: Arc<SoakHistory>,
    ) -> Self {
        let store = StoreServer::new();
        let (hosts, targets) = sizes;
        let mut fleet = Self {
            config: ConfigSpec {
                version: 1,
                service_pool: SoakRoute::POOLS[0].into(),
                engine_pool: SoakRoute::POOLS[1].into(),
                accounts: Vec::new(),
                max_body_bytes: None,
            },
            hosts: Vec::new(),
            targets: Vec::new(),
            store_disturbance: None,
            key_removal: None,
            lost_keys: Vec::new(),
            rewind_disturbance: None,
            routes,
            versions,
            paths: Vec::new(),
            path_cuts: vec![None; hosts],
            store,
            history,
        };
        fleet.write_config(true);
        for number in 0..targets {
            fleet.add_target(number);
        }
        fleet.add_hosts(run, hosts, directory);
        fleet
    }

    /// Returns the caller addresses of all hosts.
    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.iter();
        hosts
            .map(|entry| entry.host.settings.caller_address())
            .collect()
    }

    /// Applies one step.
    pub(crate) fn apply(&mut self, step: SoakStep) {
        if let SoakStep::PauseHost(index)
        | SoakStep::ResumeHost(index)
        | SoakStep::KillHost(index)
        | SoakStep::TerminateHost(index)
        | SoakStep::StartHost(index) = step
        {
            self.history.record_interruption(index);
        }
        if let SoakStep::PauseHost(index)
        | SoakStep::KillHost(index)
        | SoakStep::TerminateHost(index) = step
        {
            self.history.serving.lock().unwrap().end_host(index);
        }
        match step {
            SoakStep::PauseHost(index) => {
                self.begin_host_disturbance(index);
                self.hosts[index].host.signal(Signal::STOP);
            }
            SoakStep::ResumeHost(index) => {
                self.hosts[index].host.signal(Signal::CONT);
                self.end_host_disturbance(index);
                if !self.hosts[index].host.is_exit_requested() {
                    self.history.serving.lock().unwrap().begin_host(index);
                }
            }
            SoakStep::KillHost(index) => {
                self.begin_host_disturbance(index);
                self.hosts[index].host.signal(Signal::KILL);
            }
            SoakStep::TerminateHost(index) => self.hosts[index].host.signal(Signal::TERM),
            SoakStep::StartHost(index) => self.restart_host(index),
            SoakStep::TruncateSettings(index) => {
                self.hosts[index].host.write_settings(true);
                self.hosts[index].host.signal(Signal::HUP);
            }
            SoakStep::RestoreSettings(index) => {
                self.hosts[index].host.write_settings(false);
                self.hosts[index].host.signal(Signal::HUP);
            }
            SoakStep::SetStoreDown(down) => {
                self.store.set_unavailable(down);
                set_disturbed(&self.history, &mut self.store_disturbance, down);
            }
            SoakStep::CompactHistory => self.store.compact_history(),
            SoakStep::SetStoreLink(index, mode) => {
                let entry = &mut self.hosts[index];
                entry.host.store_link.set_mode(mode);
                let disturbed = mode != LinkMode::Open;
                set_disturbed(&self.history, &mut entry.store_disturbance, disturbed);
            }
            SoakStep::SetStoreDelay(index, millis) => {
                let link = &self.hosts[index].host.store_link;
                link.set_delay(Duration::from_millis(millis));
            }
            SoakStep::SilenceStoreLink(index) => {
                self.hosts[index].host.store_link.silence_existing()
            }
            SoakStep::RemoveKey => self.remove_key(),
            SoakStep::RestoreKey => self.restore_key(),
            SoakStep::PublishVersion => self.write_config(self.key_removal.is_none()),
            SoakStep::CrashTarget(index) => self.crash_target(index),
            SoakStep::ReplaceTarget(index) => {
                self.crash_target(index);
                self.remove_entry(index);
                self.restart_target(index);
            }
            SoakStep::RetireTarget(index) => self.retire_target(index),
            SoakStep::LeaveQuietly(index) => self.leave_quietly(index),
            SoakStep::RewindStore(lost) => self.rewind_store(Duration::from_millis(lost)),
            SoakStep::RewriteStore => self.rewrite_store(),
            SoakStep::RestartTarget(index) => self.restart_target(index),
            SoakStep::JoinTarget(index, version) => self.join_target(index, version),
            SoakStep::SetTargetMode(index, mode) => {
                let entry = &mut self.targets[index];
                entry.target.set_mode(mode);
                let disturbed = mode != TargetMode::Healthy;
                set_disturbed(&self.history, &mut entry.mode_disturbance, disturbed);
            }
            SoakStep::SetTargetLimit(index, limit) => {
                let target = self.targets[index].target.set_limit(limit);
                self.history.record_limit(&target, limit);
            }
            SoakStep::SetTargetLink(index, mode) => self.set_target_link(index, mode),
            SoakStep::SetBrittle(rejections) => {
                for entry in &self.targets {
                    entry.target.set_brittle(rejections);
                }
            }
            SoakStep::CrowdHost(host) => self.history.set_crowded_host(host),
            SoakStep::SetPaths(index, mode) => {
                let cut = &mut self.path_cuts[index];
                if mode != PathMode::Open && cut.is_none() {
                    *cut = Some(self.history.begin_cut(index));
                }
                self.paths[index].set_mode(mode);
                if mode == PathMode::Open
                    && let Some(number) = cut.take()
                {
                    self.history.end_cut(number);
                }
            }
            SoakStep::SetTargetDelay(index, millis) => {
                let link = &self.targets[index].link;
                link.set_delay(Duration::from_millis(millis));
            }
        }
    }

    /// Ends all injected faults and restarts what has stopped.
    pub(crate) fn clear_faults(&mut self) {
        self.apply(SoakStep::SetStoreDown(false));
        self.rewrite_store();
        self.restore_key();
        self.apply(SoakStep::SetBrittle(None));
        self.apply(SoakStep::CrowdHost(None));
        for index in 0..self.targets.len() {
            self.restart_target(index);
            self.apply(SoakStep::SetTargetMode(index, TargetMode::Healthy));
            self.apply(SoakStep::SetTargetLimit(index, None));
            self.apply(SoakStep::SetTargetLink(index, LinkMode::Open));
            self.apply(SoakStep::SetTargetDelay(index, 0));
        }
        for index in 0..self.hosts.len() {
            self.apply(SoakStep::SetPaths(index, PathMode::Open));
            self.apply(SoakStep::SetStoreLink(index, LinkMode::Open));
            self.apply(SoakStep::SetStoreDelay(index, 0));
            self.apply(SoakStep::RestoreSettings(index));
            self.apply(SoakStep::ResumeHost(index));
            self.apply(SoakStep::StartHost(index));
        }
    }

    /// Stops leaving targets whose drain time is over, and returns violations by the hosts.
    pub(crate) fn check_processes(&mut self) -> Vec<String> {
        for index in 0..self.targets.len() {
            let drain_end = self.targets[index].drain_end;
            // A target serves until the store has accepted that it is leaving.
            let is_reported = self.store_disturbance.is_none();
            if is_reported && drain_end.is_some_and(|drain_end| drain_end <= Instant::now()) {
                self.targets[index].drain_end = None;
                self.targets[index].link.set_mode(LinkMode::Cut);
                if self.versions == TargetVersions::Released {
                    // A run that lasts longer is broken off.
                    let disturbance = self.history.begin_disturbance();
                    self.targets[index].target.stop();
                    self.history.end_disturbance(disturbance);
                }
                self.remove_entry(index);
            }
        }
        let hosts = self.hosts.iter_mut();
        hosts
            .filter_map(|entry| entry.host.check_process())
            .collect()
    }

    /// Stops all hosts with SIGTERM, as operators do; returns violations in their exit and output.
    pub(crate) fn shut_down(&mut self) -> Vec<String> {
        let mut violations = Vec::new();
        for entry in &mut self.hosts {
            if !entry.host.serves_metrics() {
                violations.push(format!(
                    "{} did not serve metrics",
                    entry.host.settings.host
                ));
            }
            entry.host.signal(Signal::TERM);
        }
        for entry in &mut self.hosts {
            if !entry
                .host
                .wait_for_exit(Duration::from_secs(6) + EXIT_LIMIT)
            {
                violations.push(format!(
                    "{} did not exit within its grace period",
                    entry.host.settings.host
                ));
            }
            violations.extend(entry.host.check_output());
        }
        violations
    }

    fn add_hosts(&mut self, run: u8, count: usize, directory: &std::path::Path) {
        for number in 0..count {
            let directory = PathBuf::from(directory);
            let paths = Arc::new(HostPaths::default());
            let held = Arc::clone(&paths);
            let routes = self.routes;
            let address_to = move |target| match routes {
                TargetRoutes::Paths => held.address_to(target),
                TargetRoutes::Direct | TargetRoutes::Links => target,
            };
            let store = self.store.spawn(Arc::new(address_to));
            let host = SoakHost::open(run, number, store, directory);
            self.paths.push(paths);
            self.hosts.push(FleetHost {
                host,
                disturbance: None,
                store_disturbance: None,
            });
        }
        let hosts = self.hosts.iter();
        let seeds: Vec<SocketAddr> = hosts
            .map(|entry| entry.host.settings.peer_address())
            .collect();
        for entry in &mut self.hosts {
            // As on the platform, the seed list contains this host's own address.
            entry.host.settings.seeds.clone_from(&seeds);
            entry.host.start();
        }
        for number in 0..count {
            self.history.serving.lock().unwrap().begin_host(number);
        }
    }

    fn begin_host_disturbance(&mut self, index: usize) {
        set_disturbed(&self.history, &mut self.hosts[index].disturbance, true);
    }

    fn end_host_disturbance(&mut self, index: usize) {
        set_disturbed(&self.history, &mut self.hosts[index].disturbance, false);
    }

    /// Restarts a host whose exit was requested; other hosts are left running.
    fn restart_host(&mut self, index: usize) {
        if !self.hosts[index].host.is_exit_requested() {
            return;
        }
        // A process that is still running is killed, as the platform does after the grace period.
        let overdue = self.hosts[index].host.is_overdue();
        if !overdue {
            self.begin_host_disturbance(index);
        }
        let ended = self.hosts[index].host.wait_for_exit(EXIT_LIMIT);
        if !ended && overdue {
            let violation = format!("host {index} did not exit within its grace period");
            self.history.record_violation(violation);
        }
        self.hosts[index].host.start();
        self.end_host_disturbance(index);
        self.history.serving.lock().unwrap().begin_host(index);
    }

    fn remove_key(&mut self) {
        if self.key_removal.is_some() {
            return;
        }
        self.write_config(false);
        self.key_removal = Some(self.history.begin_key_removal());
    }

    fn restore_key(&mut self) {
        let Some(removal) = self.key_removal.take() else {
            return;
        };
        self.history.end_key_removal(removal);
        self.write_config(true);
    }

    fn write_config(&mut self, with_key: bool) {
        self.config.version += 3;
        let account = |name: &str, key: &str, rate| (name.to_owned(), key.to_owned(), rate);
        self.config.accounts = vec![
            account("steady", PERMANENT_KEY, 0.0),
            account(
                SoakRoute::LIMITED_ACCOUNT,
                LIMITED_KEY,
                SoakRoute::LIMITED_RATE,
            ),
        ];
        if with_key {
            let revocable = account("fleeting", REVOCABLE_KEY, 0.0);
            self.config.accounts.push(revocable);
        }
        let document = self.config.document();
        self.store.write(ConfigSpec::KEY, Some(&document));
    }

    fn add_target(&mut self, number: usize) {
        let identity = TargetIdentity {
            name: target_name(number, 0),
            pool: self.first_pool(number).into(),
            version: self.version_at(number, 0).into(),
        };
        let is_free =
            self.versions == TargetVersions::Released && number >= FIRST_ENGINE && number % 2 == 1;
        let target = SoakTarget::spawn(identity.clone(), Arc::clone(&self.history));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let link = task::block_on(LinkServer::bind(any, target.address)).unwrap();
        let spec = TargetSpec {
            name: identity.name,
            pool: identity.pool,
            address: match self.routes {
                TargetRoutes::Direct => target.address,
                TargetRoutes::Links | TargetRoutes::Paths => link.address(),
            },
            leaving: is_free,
            slots: SLOTS as u32,
            version: identity.version,
            born_ms: 1,
        };
        if is_free {
            target.stop();
        } else {
            self.store.write(&spec.key(), Some(&spec.document()));
            // Only targets that run streams count for their version.
            if number >= FIRST_ENGINE {
                let mut serving = self.history.serving.lock().unwrap();
                serving.begin_target(&spec.name, &spec.version);
            }
        }
        self.targets.push(FleetTarget {
            target,
            link,
            spec,
            generation: 0,
            drain_end: None,
            crash_disturbance: None,
            mode_disturbance: None,
            link_disturbance: None,
        });
    }

    /// Returns the software version of a target.
    const fn version_at(&self, number: usize, generation: u32) -> &'static str {
        match self.versions {
            TargetVersions::Mixed => version_of(number, generation),
            TargetVersions::Single | TargetVersions::Released => "v1",
        }
    }

    /// Returns the pool that a target joins first.
    const fn first_pool(&self, number: usize) -> &'static str {
        match self.versions {
            TargetVersions::Released => SoakRoute::POOLS[(number >= FIRST_ENGINE) as usize],
            TargetVersions::Single | TargetVersions::Mixed => SoakRoute::POOLS[number % 2],
        }
    }

    /// Starts a target where one has left or crashed, or where none was yet: a process with its
    /// own name and address.
    fn join_target(&mut self, index: usize, version: u32) {
        let entry = &mut self.targets[index];
        entry.target.stop();
        self.history.serving.lock().unwrap().end(&entry.spec.name);
        self.store.write(&entry.spec.key(), None);
        entry.generation += 1;
        entry.drain_end = None;
        entry.spec.name = target_name(index, entry.generation);
        entry.spec.version = format!("v{version}");
        entry.spec.leaving = false;
        entry.spec.born_ms += 1;
        let identity = TargetIdentity {
            name: entry.spec.name.clone(),
            pool: entry.spec.pool.clone(),
            version: entry.spec.version.clone(),
        };
        entry.target = SoakTarget::spawn(identity, Arc::clone(&self.history));
        entry.spec.address = entry.target.address;
        set_disturbed(&self.history, &mut entry.crash_disturbance, false);
        set_disturbed(&self.history, &mut entry.mode_disturbance, false);
        self.store
            .write(&entry.spec.key(), Some(&entry.spec.document()));
        let mut serving = self.history.serving.lock().unwrap();
        serving.begin_target(&entry.spec.name, &entry.spec.version);
    }

    /// Restarts a target that has crashed, with the software version that it had. One that has
    /// left stays away.
    fn restart_release(&mut self, index: usize) {
        let entry = &self.targets[index];
        if entry.crash_disturbance.is_none() || entry.spec.leaving {
            return;
        }
        let version = entry.spec.version.trim_start_matches('v').parse();
        self.join_target(index, version.unwrap());
    }

    fn crash_target(&mut self, index: usize) {
        let entry = &mut self.targets[index];
        if self.versions == TargetVersions::Released && entry.spec.leaving {
            return;
        }
        entry.link.set_mode(LinkMode::Cut);
        entry.drain_end = None;
        self.history.serving.lock().unwrap().end(&entry.spec.name);
        if self.versions == TargetVersions::Released {
            entry.target.stop();
        }
        set_disturbed(&self.history, &mut entry.crash_disturbance, true);
    }

    fn set_target_link(&mut self, index: usize, mode: LinkMode) {
        let entry = &mut self.targets[index];
        // The link of a crashed target stays cut.
        if entry.crash_disturbance.is_none() {
            entry.link.set_mode(mode);
        }
        let disturbed = mode != LinkMode::Open;
        set_disturbed(&self.history, &mut entry.link_disturbance, disturbed);
    }

    fn retire_target(&mut self, index: usize) {
        let entry = &mut self.targets[index];
        if entry.spec.leaving {
            return;
        }
        entry.spec.leaving = true;
        entry.drain_end = Some(Instant::now() + DRAIN_TIME);
        entry.target.set_leaving();
        self.history.serving.lock().unwrap().end(&entry.spec.name);
        self.store
            .write(&entry.spec.key(), Some(&entry.spec.document()));
    }

    fn leave_quietly(&mut self, index: usize) {
        let entry = &mut self.targets[index];
        entry.spec.leaving = true;
        entry.drain_end = Some(Instant::now() + QUIET_DRAIN_TIME);
        self.store
            .write(&entry.spec.key(), Some(&entry.spec.document()));
        self.history.record_leaving(&entry.spec.name);
    }

    fn rewind_store(&mut self, lost: Duration) {
        set_disturbed(&self.history, &mut self.rewind_disturbance, true);
        self.lost_keys.extend(self.store.rewind(lost));
    }

    /// Writes the present state of what the store lost.
    fn rewrite_store(&mut self) {
        for key in std::mem::take(&mut self.lost_keys) {
            if key == ConfigSpec::KEY {
                self.store.write(&key, Some(&self.config.document()));
                continue;
            }
            let mut targets = self.targets.iter();
            let registered = targets.find(|entry| entry.spec.key() == key);
            let document = registered
                .filter(|entry| !entry.spec.leaving || entry.drain_end.is_some())
                .map(|entry| entry.spec.document());
            self.store.write(&key, document.as_ref());
        }
        set_disturbed(&self.history, &mut self.rewind_disturbance, false);
    }

    fn remove_entry(&mut self, index: usize) {
        self.store.write(&self.targets[index].spec.key(), None);
    }

    /// Restarts a target that has stopped, at the same address and under a new name. Depending on
    /// the generation, it joins the other pool.
    fn restart_target(&mut self, index: usize) {
        if self.versions == TargetVersions::Released {
            self.restart_release(index);
            return;
        }
        let generation = self.targets[index].generation + 1;
        let version = self.version_at(index, generation);
        let entry = &mut self.targets[index];
        let has_stopped =
            entry.drain_end.is_none() && (entry.spec.leaving || entry.crash_disturbance.is_some());
        if !has_stopped {
            return;
        }
        self.store.write(&entry.spec.key(), None);
        entry.generation += 1;
        entry.spec.name = target_name(index, entry.generation);
        entry.spec.leaving = false;
        entry.spec.born_ms += 1;
        entry.spec.version = version.into();
        // The first two targets keep their pools, so that each pool always has a target.
        if index > 1 {
            let pool_index = (index + entry.generation as usize) % 2;
            entry.spec.pool = SoakRoute::POOLS[pool_index].into();
        }
        entry.target.set_identity(TargetIdentity {
            name: entry.spec.name.clone(),
            pool: entry.spec.pool.clone(),
            version: entry.spec.version.clone(),
        });
        entry.target.set_mode(TargetMode::Healthy);
        entry.link.set_mode(LinkMode::Open);
        entry.link.set_delay(Duration::ZERO);
        set_disturbed(&self.history, &mut entry.crash_disturbance, false);
        set_disturbed(&self.history, &mut entry.mode_disturbance, false);
        set_disturbed(&self.history, &mut entry.link_disturbance, false);
        self.store
            .write(&entry.spec.key(), Some(&entry.spec.document()));
    }
}

fn target_name(number: usize, generation: u32) -> String {
    format!("i{number}-{generation}")
}

/// Records that a disturbance begins or ends; an open one is not begun again.
fn set_disturbed(history: &SoakHistory, disturbance: &mut Option<usize>, begins: bool) {
    match (disturbance.take(), begins) {
        (None, true) => *disturbance = Some(history.begin_disturbance()),
        (Some(number), true) => *disturbance = Some(number),
        (Some(number), false) => history.end_disturbance(number),
        (None, false) => {}
    }
}
