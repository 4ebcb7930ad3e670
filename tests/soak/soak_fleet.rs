//! The processes, stand-ins and links of one soak, and what can be done to them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use rustix::process::Signal;
use standins::LinkMode;
use standins::LinkServer;

use super::platform_standin::ConfigSpec;
use super::platform_standin::StoreServer;
use super::platform_standin::TargetSpec;
use super::soak_caller::FLEETING_KEY;
use super::soak_caller::SPENDER_KEY;
use super::soak_caller::STEADY_KEY;
use super::soak_host::SoakHost;
use super::soak_ledger::SoakLedger;
use super::soak_plan::SoakStep;
use super::soak_routes::SoakRoute;
use super::soak_target::SLOTS;
use super::soak_target::SoakTarget;
use super::soak_target::TargetIdentity;
use super::soak_target::TargetMode;

/// How long a host may take beyond its grace of six seconds.
const END_LIMIT: Duration = Duration::from_millis(500);
/// How long a target serves on after it said that it leaves.
const LEAVE_TIME: Duration = Duration::from_secs(3);

/// A target, its registration and its link.
struct FleetTarget {
    target: SoakTarget,
    link: LinkServer,
    plan: TargetSpec,
    /// Which life it is in.
    life: u32,
    /// When it ends, while it leaves.
    ends: Option<Instant>,
    /// The disturbances that a crash, a behaviour and a link are.
    crash: Option<usize>,
    behaviour: Option<usize>,
    link_trouble: Option<usize>,
}

/// A host and its troubles.
struct FleetHost {
    host: SoakHost,
    trouble: Option<usize>,
    store_trouble: Option<usize>,
}

/// The processes, stand-ins and links of one soak.
pub(crate) struct SoakFleet {
    store: StoreServer,
    config: ConfigSpec,
    hosts: Vec<FleetHost>,
    targets: Vec<FleetTarget>,
    ledger: Arc<SoakLedger>,
    store_trouble: Option<usize>,
    key_gap: Option<usize>,
}

impl SoakFleet {
    /// Starts everything.
    pub(crate) fn start(
        run: u8,
        sizes: (usize, usize),
        directory: &std::path::Path,
        ledger: Arc<SoakLedger>,
    ) -> Self {
        let store = StoreServer::spawn();
        let (hosts, targets) = sizes;
        let mut fleet = Self {
            config: ConfigSpec {
                version: 1,
                service_pool: SoakRoute::POOLS[0].into(),
                engine_pool: SoakRoute::POOLS[1].into(),
                accounts: Vec::new(),
            },
            hosts: Vec::new(),
            targets: Vec::new(),
            store_trouble: None,
            key_gap: None,
            store,
            ledger,
        };
        fleet.write_config(true);
        for number in 0..targets {
            fleet.add_target(number);
        }
        fleet.add_hosts(run, hosts, directory);
        fleet
    }

    /// Returns where callers connect.
    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.iter();
        hosts
            .map(|held| held.host.settings.caller_address())
            .collect()
    }

    /// Takes one step.
    pub(crate) fn take(&mut self, step: SoakStep) {
        match step {
            SoakStep::PauseHost(index) => {
                self.disturb_host(index);
                self.hosts[index].host.signal(Signal::STOP);
            }
            SoakStep::ResumeHost(index) => {
                self.hosts[index].host.signal(Signal::CONT);
                self.calm_host(index);
            }
            SoakStep::KillHost(index) => {
                self.disturb_host(index);
                self.hosts[index].host.signal(Signal::KILL);
            }
            SoakStep::TerminateHost(index) => self.hosts[index].host.signal(Signal::TERM),
            SoakStep::StartHost(index) => self.restart_host(index),
            SoakStep::TearSettings(index) => {
                self.hosts[index].host.write_settings(true);
                self.hosts[index].host.signal(Signal::HUP);
            }
            SoakStep::MendSettings(index) => {
                self.hosts[index].host.write_settings(false);
                self.hosts[index].host.signal(Signal::HUP);
            }
            SoakStep::StoreDown(down) => {
                self.store.set_unavailable(down);
                set_trouble(&self.ledger, &mut self.store_trouble, down);
            }
            SoakStep::ForgetHistory => self.store.compact_history(),
            SoakStep::StoreLink(index, mode) => {
                let held = &mut self.hosts[index];
                held.host.store_link.set_mode(mode);
                let troubled = mode != LinkMode::Open;
                set_trouble(&self.ledger, &mut held.store_trouble, troubled);
            }
            SoakStep::StoreDelay(index, millis) => {
                let link = &self.hosts[index].host.store_link;
                link.set_delay(Duration::from_millis(millis));
            }
            SoakStep::SilenceStore(index) => self.hosts[index].host.store_link.silence_existing(),
            SoakStep::TakeKey => self.take_key(),
            SoakStep::GiveKey => self.give_key(),
            SoakStep::NewVersion => self.write_config(self.key_gap.is_none()),
            SoakStep::CrashTarget(index) => self.crash_target(index),
            SoakStep::ReplaceTarget(index) => {
                self.crash_target(index);
                self.remove_entry(index);
                self.revive_target(index);
            }
            SoakStep::RetireTarget(index) => self.retire_target(index),
            SoakStep::ReviveTarget(index) => self.revive_target(index),
            SoakStep::ModeOf(index, mode) => {
                let held = &mut self.targets[index];
                held.target.set_mode(mode);
                let troubled = mode != TargetMode::Sound;
                set_trouble(&self.ledger, &mut held.behaviour, troubled);
            }
            SoakStep::LimitOf(index, limit) => {
                let target = self.targets[index].target.set_limit(limit);
                self.ledger.note_limit(&target, limit);
            }
            SoakStep::TargetLink(index, mode) => self.set_target_link(index, mode),
            SoakStep::TargetDelay(index, millis) => {
                let link = &self.targets[index].link;
                link.set_delay(Duration::from_millis(millis));
            }
        }
    }

    /// Ends every trouble.
    pub(crate) fn heal(&mut self) {
        self.take(SoakStep::StoreDown(false));
        self.give_key();
        for index in 0..self.targets.len() {
            self.revive_target(index);
            self.take(SoakStep::ModeOf(index, TargetMode::Sound));
            self.take(SoakStep::LimitOf(index, None));
            self.take(SoakStep::TargetLink(index, LinkMode::Open));
            self.take(SoakStep::TargetDelay(index, 0));
        }
        for index in 0..self.hosts.len() {
            self.take(SoakStep::StoreLink(index, LinkMode::Open));
            self.take(SoakStep::StoreDelay(index, 0));
            self.take(SoakStep::MendSettings(index));
            self.take(SoakStep::ResumeHost(index));
            self.take(SoakStep::StartHost(index));
        }
    }

    /// Lets leaving targets end, and returns what is wrong with the processes.
    pub(crate) fn look(&mut self) -> Vec<String> {
        for index in 0..self.targets.len() {
            let ends = self.targets[index].ends;
            if ends.is_some_and(|ends| ends <= Instant::now()) {
                self.targets[index].ends = None;
                self.targets[index].link.set_mode(LinkMode::Cut);
                self.remove_entry(index);
            }
        }
        let hosts = self.hosts.iter_mut();
        hosts.filter_map(|held| held.host.check_process()).collect()
    }

    /// Ends all hosts as operators do; returns what is wrong with their ends and output.
    pub(crate) fn end(&mut self) -> Vec<String> {
        let mut faults = Vec::new();
        for held in &mut self.hosts {
            if !held.host.serves_metrics() {
                faults.push(format!("{} has no metrics", held.host.settings.host));
            }
            held.host.signal(Signal::TERM);
        }
        for held in &mut self.hosts {
            if !held.host.wait_for_exit(Duration::from_secs(6) + END_LIMIT) {
                faults.push(format!("{} outlived its grace", held.host.settings.host));
            }
            faults.extend(held.host.check_output());
        }
        faults
    }

    fn add_hosts(&mut self, run: u8, count: usize, directory: &std::path::Path) {
        for number in 0..count {
            let directory = PathBuf::from(directory);
            let host = SoakHost::open(run, number, self.store.address(), directory);
            self.hosts.push(FleetHost {
                host,
                trouble: None,
                store_trouble: None,
            });
        }
        let hosts = self.hosts.iter();
        let seeds: Vec<SocketAddr> = hosts
            .map(|held| held.host.settings.peer_address())
            .collect();
        for held in &mut self.hosts {
            // As at the platform: some names, this host's own among them.
            held.host.settings.seeds.clone_from(&seeds);
            held.host.start();
        }
    }

    fn disturb_host(&mut self, index: usize) {
        set_trouble(&self.ledger, &mut self.hosts[index].trouble, true);
    }

    fn calm_host(&mut self, index: usize) {
        set_trouble(&self.ledger, &mut self.hosts[index].trouble, false);
    }

    /// Starts a host whose end was asked for; one that runs on is left alone.
    fn restart_host(&mut self, index: usize) {
        if !self.hosts[index].host.is_ending() {
            return;
        }
        // What still runs is killed, as the platform would at last.
        let overdue = self.hosts[index].host.is_overdue();
        if !overdue {
            self.disturb_host(index);
        }
        let ended = self.hosts[index].host.wait_for_exit(END_LIMIT);
        if !ended && overdue {
            let fault = format!("host {index} outlived its grace");
            self.ledger.note_fault(fault);
        }
        self.hosts[index].host.start();
        self.calm_host(index);
    }

    fn take_key(&mut self) {
        if self.key_gap.is_some() {
            return;
        }
        self.write_config(false);
        self.key_gap = Some(self.ledger.begin_key_gap());
    }

    fn give_key(&mut self) {
        let Some(gap) = self.key_gap.take() else {
            return;
        };
        self.ledger.end_key_gap(gap);
        self.write_config(true);
    }

    fn write_config(&mut self, with_key: bool) {
        self.config.version += 3;
        let account = |name: &str, key: &str, rate| (name.to_owned(), key.to_owned(), rate);
        self.config.accounts = vec![
            account("steady", STEADY_KEY, 0.0),
            account(SoakRoute::SPENDER, SPENDER_KEY, SoakRoute::SPENDER_RATE),
        ];
        if with_key {
            let fleeting = account("fleeting", FLEETING_KEY, 0.0);
            self.config.accounts.push(fleeting);
        }
        let document = self.config.document();
        self.store.write(ConfigSpec::KEY, Some(&document));
    }

    fn add_target(&mut self, number: usize) {
        let identity = TargetIdentity {
            name: target_name(number, 0),
            pool: SoakRoute::POOLS[number % 2].into(),
        };
        let target = SoakTarget::spawn(identity.clone(), Arc::clone(&self.ledger));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let link = task::block_on(LinkServer::bind(any, target.address)).unwrap();
        let plan = TargetSpec {
            name: identity.name,
            pool: identity.pool,
            address: link.address(),
            leaving: false,
            slots: SLOTS as u32,
            born_ms: 1,
        };
        self.store.write(&plan.key(), Some(&plan.document()));
        self.targets.push(FleetTarget {
            target,
            link,
            plan,
            life: 0,
            ends: None,
            crash: None,
            behaviour: None,
            link_trouble: None,
        });
    }

    fn crash_target(&mut self, index: usize) {
        let held = &mut self.targets[index];
        held.link.set_mode(LinkMode::Cut);
        held.ends = None;
        set_trouble(&self.ledger, &mut held.crash, true);
    }

    fn set_target_link(&mut self, index: usize, mode: LinkMode) {
        let held = &mut self.targets[index];
        // Nothing listens at a crashed target, whatever its link does.
        if held.crash.is_none() {
            held.link.set_mode(mode);
        }
        let troubled = mode != LinkMode::Open;
        set_trouble(&self.ledger, &mut held.link_trouble, troubled);
    }

    fn retire_target(&mut self, index: usize) {
        let held = &mut self.targets[index];
        if held.plan.leaving {
            return;
        }
        held.plan.leaving = true;
        held.ends = Some(Instant::now() + LEAVE_TIME);
        self.store
            .write(&held.plan.key(), Some(&held.plan.document()));
    }

    fn remove_entry(&mut self, index: usize) {
        self.store.write(&self.targets[index].plan.key(), None);
    }

    /// Lets a target that is gone come back at its address as another one, at times of
    /// the other pool.
    fn revive_target(&mut self, index: usize) {
        let held = &mut self.targets[index];
        let gone = held.ends.is_none() && (held.plan.leaving || held.crash.is_some());
        if !gone {
            return;
        }
        self.store.write(&held.plan.key(), None);
        held.life += 1;
        held.plan.name = target_name(index, held.life);
        held.plan.leaving = false;
        held.plan.born_ms += 1;
        // The first two stay, so that each pool always has a target.
        if index > 1 {
            let place = (index + held.life as usize) % 2;
            held.plan.pool = SoakRoute::POOLS[place].into();
        }
        held.target.set_identity(TargetIdentity {
            name: held.plan.name.clone(),
            pool: held.plan.pool.clone(),
        });
        held.target.set_mode(TargetMode::Sound);
        held.link.set_mode(LinkMode::Open);
        held.link.set_delay(Duration::ZERO);
        set_trouble(&self.ledger, &mut held.crash, false);
        set_trouble(&self.ledger, &mut held.behaviour, false);
        set_trouble(&self.ledger, &mut held.link_trouble, false);
        self.store
            .write(&held.plan.key(), Some(&held.plan.document()));
    }
}

fn target_name(number: usize, life: u32) -> String {
    format!("i{number}-{life}")
}

/// Notes that a trouble begins or ends; one that lasts is not begun twice.
fn set_trouble(ledger: &SoakLedger, trouble: &mut Option<usize>, begins: bool) {
    match (trouble.take(), begins) {
        (None, true) => *trouble = Some(ledger.begin_disturbance()),
        (Some(number), true) => *trouble = Some(number),
        (Some(number), false) => ledger.end_disturbance(number),
        (None, false) => {}
    }
}
