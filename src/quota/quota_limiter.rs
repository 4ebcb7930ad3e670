//! The allowances of accounts over all hosts.

use std::time::Duration;

use super::demand_track::DemandTrack;
use super::demand_track::add_demand;
use super::demand_track::subtract_demand;
use super::peer_usage::AccountUsage;
use super::peer_usage::PeerAccount;
use super::peer_usage::PeerUsage;
use super::peer_usage::SILENCE_BOUND;
use super::peer_usage::UnresponsiveHosts;
use super::peer_usage::UsageReport;
use super::peer_usage::UsageScope;
use super::peer_usage::untold_of;
use super::priority_split::ClassDemand;
use super::priority_split::PriorityClass;
use super::priority_split::share_by_priority;
use super::quota_tolerance::PhasedAllowance;
use super::quota_tolerance::QuotaRate;
use super::quota_tolerance::QuotaTolerance;
use super::usage_window::UsageWindow;
use crate::catalog::ClientAccount;
use crate::ids::AccountName;
use crate::ids::HostName;
use crate::ids::IncarnationId;
use crate::sorted::SortedMap;

/// The part of an allowance that is kept for silent peers evenly; the rest is kept by
/// what each was asked for before it fell silent. Callers may come to another host
/// once their own is cut off.
const EVEN_PART: f64 = 0.25;
/// The weight of a peer's newest report in the part that was asked of it: some seconds
/// of words count.
const PART_WEIGHT: f64 = 0.05;
/// Within which what was spent too much is made good: short against a window, so that
/// none is exceeded, and long against the delay of peers' reports, so that hosts don't
/// swing together.
const BALANCE_TIME: Duration = Duration::from_secs(2);
/// Within which what is left beyond the reserve may go. All of it at once would be admitted
/// by each host of a large fleet before any of them heard of the others: at 60 hosts a
/// hot account got a window's half every three seconds and nothing between.
const SURPLUS_TIME: Duration = Duration::from_secs(1);
/// How long the parts of the kinds of work are kept before they are worked out anew.
const PLAN_AGE: Duration = Duration::from_millis(25);

/// A request as its account's allowance sees it.
#[derive(Clone, Copy, Debug)]
pub struct QuotaRequest {
    /// Its kind.
    pub priority_class: PriorityClass,
    /// What it counts.
    pub cost: f64,
}

/// Whether a request is within its account's allowance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaDecision {
    /// It is, and was counted.
    Admitted,
    /// It is not.
    Rejected,
}

/// For how long sums over peers serve several reports.
const SUM_AGE: Duration = Duration::from_millis(50);
/// How old a sighting of a host may be before it counts as silent. Sightings are passed on
/// over two hops, some at a time.
const SIGHTING_BOUND: Duration = Duration::from_millis(3000);

/// Which part of each kind is admitted now.
#[derive(Debug)]
struct SharePlan {
    made: Duration,
    /// What may be spent at once, less what this host admitted since.
    left: f64,
    overdraft: f64,
    demands: Vec<ClassDemand>,
    parts: Vec<f64>,
}

#[derive(Debug)]
struct AccountState {
    window: UsageWindow,
    demand: DemandTrack,
    own_total: f64,
    /// What was counted of hosts that report here themselves, and of others.
    direct_total: f64,
    relayed_total: f64,
    /// The sum of what peers told that is asked of them, in tokens a second.
    told_demand: f64,
    /// `None` until the account is asked for here.
    phase: Option<PhasedAllowance>,
    plan: Option<SharePlan>,
}

/// The allowances of accounts over all hosts.
///
/// Each host knows what it admitted and was asked for, and what its peers told of both.
/// While there is enough left it admits everything. Below that each host admits
/// the same part of what it is asked for, by kind of work, so that all hosts together
/// keep the rate, and callers are served alike whichever host they come to. For a peer
/// that is silent though it was not said to have left, its part of the rate is taken
/// for spent, so that all sides of a split keep within the whole together.
#[derive(Debug)]
pub struct QuotaLimiter {
    tolerance: QuotaTolerance,
    /// When this host started.
    born: Duration,
    /// How many hosts there may be, this one included.
    hosts: usize,
    accounts: SortedMap<AccountName, AccountState>,
    peers: SortedMap<HostName, PeerUsage>,
    /// Whether hosts report by way of leaders.
    grouped: bool,
    /// When that last changed.
    regrouped: Option<Duration>,
    group_sums: Option<UsageSums>,
    fleet_sums: Option<UsageSums>,
}

/// What is asked of several hosts, for reports on behalf of them.
#[derive(Clone, Debug)]
struct UsageSums {
    made: Duration,
    accounts: Vec<AccountUsage>,
    unresponsive: UnresponsiveHosts,
}

impl QuotaLimiter {
    /// Makes the ledger of a host that starts now, among so many `hosts`.
    pub const fn new(tolerance: QuotaTolerance, hosts: usize, now: Duration) -> Self {
        Self {
            tolerance,
            born: now,
            hosts,
            accounts: SortedMap::new(),
            peers: SortedMap::new(),
            grouped: false,
            regrouped: None,
            group_sums: None,
            fleet_sums: None,
        }
    }

    /// Notes whether hosts report by way of leaders. What was counted by other ways before
    /// stays counted, and is not taken once more from the reports to come.
    pub fn set_grouped(&mut self, grouped: bool, now: Duration) {
        if self.grouped == grouped {
            return;
        }
        self.grouped = grouped;
        self.regrouped = Some(now);
        self.drop_peers(|_| true);
    }

    /// Notes how many hosts are known, this one included. Those that were never heard
    /// spend their part all the same.
    ///
    /// A host that has just started knows of fewer than there are.
    pub fn set_host_count(&mut self, hosts: usize, now: Duration) {
        if now.saturating_sub(self.born) >= SILENCE_BOUND || hosts > self.hosts {
            self.hosts = hosts;
        }
    }

    /// Counts a request if it is within the account's allowance; `spread` is 0 to 1,
    /// evenly.
    pub fn try_consume(
        &mut self,
        account: &ClientAccount,
        request: QuotaRequest,
        now: Duration,
        spread: f64,
    ) -> QuotaDecision {
        let Some(allowance) = account.allowance else {
            return QuotaDecision::Admitted;
        };
        let window = self.tolerance.window;
        let state = self.accounts.get_or_insert_with(account.name.clone(), || {
            AccountState::new(window, self.born)
        });
        state.demand.note(request.priority_class, request.cost, now);
        let phase = state.phase.get_or_insert(PhasedAllowance::new(allowance));
        let allowance = phase.now(allowance, window, now);
        let rate = self.tolerance.spend_rate(allowance);
        let made = state.plan.as_ref().map(|plan| plan.made);
        if made.is_none_or(|made| now.saturating_sub(made) >= PLAN_AGE) {
            self.make_plan(&account.name, rate, now);
        }
        match self.accounts.get_mut(&account.name) {
            Some(state) => state.try_consume(request, now, spread),
            None => QuotaDecision::Rejected,
        }
    }

    /// Returns what this host tells a peer: of the accounts that were asked for lately, or
    /// of `all`. To a peer that was told of all once, the totals of the others stand as they
    /// were.
    pub fn own_usage(&mut self, all: bool, now: Duration) -> Vec<AccountUsage> {
        let accounts = self.accounts.iter_mut();
        accounts
            .map(|(account, state)| AccountUsage {
                account: account.clone(),
                total: state.own_total,
                demands: state.demand.demands(now),
                unresponsive_share: 0.0,
            })
            .filter(|told| told.is_reported(all))
            .collect()
    }

    /// Returns what this host tells other leaders of the hosts that report to it.
    pub fn group_usage(
        &mut self,
        all: bool,
        now: Duration,
    ) -> (Vec<AccountUsage>, UnresponsiveHosts) {
        let sums = self.sums(UsageScope::Group, now);
        let wanted = sums.accounts.into_iter();
        let accounts = wanted.filter(|told| told.is_reported(all));
        (accounts.collect(), sums.unresponsive)
    }

    /// Returns what this host tells one that reports to it of all others.
    pub fn fleet_usage(
        &mut self,
        receiver: &str,
        all: bool,
        now: Duration,
    ) -> (Vec<AccountUsage>, UnresponsiveHosts) {
        let mut sums = self.sums(UsageScope::Fleet, now);
        let own = self.peers.get(receiver);
        for told in &mut sums.accounts {
            let Some(account) = own.and_then(|peer| peer.account(&told.account)) else {
                continue;
            };
            told.total = (told.total - account.counted).max(0.0);
            for demand in &account.told.demands {
                subtract_demand(&mut told.demands, *demand);
            }
        }
        let wanted = sums.accounts.into_iter();
        let accounts = wanted.filter(|told| told.is_reported(all));
        (accounts.collect(), sums.unresponsive)
    }

    /// Notes which hosts nobody has seen lately: those of a peer that fell silent may
    /// report elsewhere. `unseen_for` says for how long a host was not seen, and
    /// `unseen_part` which part of all hosts was not.
    pub fn set_unseen_hosts(
        &mut self,
        time_since_seen: impl Fn(u32) -> Option<Duration>,
        unseen_part: f64,
        now: Duration,
    ) {
        for (_, peer) in self.peers.iter_mut() {
            if !peer.is_silent(now) || !self.grouped {
                peer.unseen = 1.0;
            } else if peer.scope == UsageScope::Fleet {
                peer.unseen = unseen_part;
            } else if !peer.covered.is_empty() {
                let is_unseen =
                    |host: &&u32| time_since_seen(**host).is_none_or(|age| age > SIGHTING_BOUND);
                let unseen = peer.covered.iter().filter(is_unseen).count();
                peer.unseen = unseen as f64 / peer.covered.len() as f64;
            }
        }
    }

    /// Takes what a peer told of itself in its present life of `age`.
    pub fn record_host_usage(
        &mut self,
        host: HostName,
        incarnation: IncarnationId,
        uptime: Duration,
        usage: Vec<AccountUsage>,
        now: Duration,
    ) {
        self.record_report(host, UsageReport::of_host(incarnation, uptime, usage), now);
    }

    /// Takes a peer's report.
    pub fn record_report(&mut self, host: HostName, report: UsageReport, now: Duration) {
        let UsageReport {
            incarnation,
            uptime,
            ..
        } = report;
        let known = self.peers.remove(&host);
        let same_life = known
            .as_ref()
            .filter(|peer| peer.incarnation == incarnation && peer.scope == report.scope);
        // Another report has told of it before.
        let is_known_otherwise = (self.grouped || self.has_just_regrouped(now))
            && same_life.is_none()
            && uptime > SILENCE_BOUND
            && now.saturating_sub(self.born) > SILENCE_BOUND;
        let direct = report.scope == UsageScope::Host;
        self.drop_covered(report.scope);
        let mut accounts: Vec<PeerAccount> = Vec::with_capacity(report.accounts.len());
        for told in report.accounts {
            let before = known.as_ref().and_then(|peer| peer.account(&told.account));
            let counted = same_life.and(before);
            // Between two reports the later time counts: taken for evenly spent, a part of a
            // sudden demand would leave the window before it does so in truth. Behind a
            // silence, or at a host's first report, all of it can't have been spent just now.
            let since = match same_life {
                Some(peer) if peer.is_silent(now) => peer.heard,
                None if uptime > SILENCE_BOUND => now.saturating_sub(uptime),
                _ => now,
            };
            let window = self.tolerance.window;
            let born = self.born;
            let state = self
                .accounts
                .get_or_insert_with(told.account.clone(), || AccountState::new(window, born));
            let spent = told.total - counted.map_or(0.0, |before| before.told.total);
            let spent = match is_known_otherwise {
                true => 0.0,
                false => spent.max(0.0),
            };
            state.take_spent(spent, since, born, now);
            match direct {
                true => state.direct_total += spent,
                false => state.relayed_total += spent,
            }
            let part = state.take_demand(before, &told, now);
            let counted = before.map_or(0.0, |before| before.counted) + spent;
            accounts.push(PeerAccount {
                told,
                part,
                counted,
            });
        }
        let untold = untold_of(known.as_ref(), &accounts);
        for account in &untold {
            if let Some(state) = self.accounts.get_mut(&account.told.account) {
                state.told_demand = (state.told_demand - account.told.demand()).max(0.0);
            }
        }
        if same_life.is_some() {
            accounts.extend(untold.iter().map(PeerAccount::at_rest));
            accounts.sort_by(|left, right| left.told.account.cmp(&right.told.account));
        }
        let peer = PeerUsage {
            incarnation,
            scope: report.scope,
            covered: report.covered,
            hosts: report.hosts.max(1),
            unresponsive: report.unresponsive,
            heard: now,
            left: false,
            unseen: 1.0,
            accounts,
        };
        self.peers.insert(host, peer);
    }

    /// Drops the peers whose hosts a report of this scope covers: a leader's covers all
    /// others, and what a leader told covers those that report here now.
    fn drop_covered(&mut self, scope: UsageScope) {
        self.drop_peers(|peer| scope == UsageScope::Fleet || peer.scope == UsageScope::Fleet);
    }

    fn drop_peers(&mut self, is_dropped: impl Fn(&PeerUsage) -> bool) {
        let dropped = self.peers.values().filter(|peer| is_dropped(peer));
        for account in dropped.flat_map(|peer| &peer.accounts) {
            if let Some(state) = self.accounts.get_mut(&account.told.account) {
                state.told_demand = (state.told_demand - account.told.demand()).max(0.0);
            }
        }
        self.peers.retain(|_, peer| !is_dropped(peer));
    }

    /// Tells whether hosts have begun to report by another way and may not have done so yet.
    fn has_just_regrouped(&self, now: Duration) -> bool {
        let regrouped = self.regrouped;
        regrouped.is_some_and(|at| now.saturating_sub(at) < SIGHTING_BOUND)
    }

    /// Notes that a host has left: it spends nothing any more. What it spent still
    /// counts, and is not taken twice if it goes on telling until its end.
    pub fn mark_departed(&mut self, host: &str) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.left = true;
        }
    }

    /// Works out which part of each kind of an account's work is admitted.
    fn make_plan(&mut self, name: &str, rate: QuotaRate, now: Duration) {
        let silent = self.silent_parts(name, now);
        let unheard = |over: Duration| -> f64 {
            let spent = silent
                .iter()
                .map(|(part, age)| part * over.min(*age).as_secs_f64());
            spent.sum::<f64>() * rate.per_second
        };
        let Some(state) = self.accounts.get_mut(name) else {
            return;
        };
        let left = state.window.left(rate, self.born, now, unheard);
        let mut demands = state.demand.demands(now);
        for peer in self.peers.values().filter(|peer| !peer.is_silent(now)) {
            let told = peer.account(name).map(|account| &account.told.demands);
            for demand in told.into_iter().flatten() {
                add_demand(&mut demands, *demand);
            }
        }
        let silent: f64 = silent.iter().map(|(part, _)| part).sum();
        let own_part = (1.0 - silent).max(0.0);
        let available = rate.per_second * own_part + balance(left, rate);
        state.plan = Some(SharePlan {
            made: now,
            left,
            overdraft: rate.overdraft,
            parts: share_by_priority(available, &demands),
            demands,
        });
    }

    /// Returns the part of an account's work that silent hosts get, and for how long they
    /// have been silent.
    fn silent_parts(&self, name: &str, now: Duration) -> Vec<(f64, Duration)> {
        let counted: usize = self
            .peers
            .values()
            .filter(|peer| peer.counts(now))
            .map(|peer| peer.hosts)
            .sum();
        let hosts = self.hosts.max(counted + 1) as f64;
        let mut parts = self.silent_peer_parts(name, hosts, UsageScope::Fleet, now);
        let unheard = self.hosts.saturating_sub(counted + 1) as f64;
        if unheard > 0.0 && !self.has_just_regrouped(now) {
            parts.push((unheard / hosts, now.saturating_sub(self.born)));
        }
        parts
    }

    /// The same for those that peers of a scope tell of, where there are so many `hosts`.
    fn silent_peer_parts(
        &self,
        name: &str,
        hosts: f64,
        scope: UsageScope,
        now: Duration,
    ) -> Vec<(f64, Duration)> {
        let mut parts = Vec::new();
        for peer in self.peers_of(scope).filter(|peer| peer.counts(now)) {
            let account = peer.account(name);
            if peer.is_silent(now) {
                let asked = account.map_or(0.0, |account| account.part);
                let even = EVEN_PART * peer.hosts as f64 / hosts;
                let part = (even + (1.0 - EVEN_PART) * asked) * peer.unseen;
                parts.push((part, now.saturating_sub(peer.heard)));
            } else if peer.unresponsive.hosts > 0 {
                let asked = account.map_or(0.0, |account| account.told.unresponsive_share);
                let part = EVEN_PART * f64::from(peer.unresponsive.hosts) / hosts + asked;
                parts.push((
                    part,
                    Duration::from_millis(u64::from(peer.unresponsive.age_ms)),
                ));
            }
        }
        parts.retain(|(part, _)| *part > 0.0);
        parts
    }

    /// Returns the peers whose reports go into one of this scope.
    fn peers_of(&self, scope: UsageScope) -> impl Iterator<Item = &PeerUsage> {
        let peers = self.peers.values();
        peers.filter(move |peer| scope != UsageScope::Group || peer.scope == UsageScope::Host)
    }

    /// Returns what is asked of this host and of the peers of a scope together.
    fn sums(&mut self, scope: UsageScope, now: Duration) -> UsageSums {
        let held = match scope {
            UsageScope::Group => &self.group_sums,
            UsageScope::Host | UsageScope::Fleet => &self.fleet_sums,
        };
        if let Some(held) = held
            && now.saturating_sub(held.made) < SUM_AGE
        {
            return held.clone();
        }
        let sums = self.make_sums(scope, now);
        match scope {
            UsageScope::Group => self.group_sums = Some(sums.clone()),
            UsageScope::Host | UsageScope::Fleet => self.fleet_sums = Some(sums.clone()),
        }
        sums
    }

    fn make_sums(&mut self, scope: UsageScope, now: Duration) -> UsageSums {
        let mut accounts: Vec<AccountUsage> = self
            .accounts
            .iter_mut()
            .map(|(account, state)| AccountUsage {
                account: account.clone(),
                total: state.own_total
                    + state.direct_total
                    + match scope {
                        UsageScope::Group => 0.0,
                        UsageScope::Host | UsageScope::Fleet => state.relayed_total,
                    },
                demands: state.demand.demands(now),
                unresponsive_share: 0.0,
            })
            .collect();
        let hosts = self.hosts.max(1) as f64;
        let mut unresponsive = UnresponsiveHosts::default();
        for peer in self.peers_of(scope).filter(|peer| peer.counts(now)) {
            if peer.is_silent(now) {
                let age = now.saturating_sub(peer.heard).as_millis() as u32;
                unresponsive.hosts += (peer.hosts as f64 * peer.unseen).round() as u16;
                unresponsive.age_ms = unresponsive.age_ms.max(age);
            } else {
                unresponsive.hosts += peer.unresponsive.hosts;
                unresponsive.age_ms = unresponsive.age_ms.max(peer.unresponsive.age_ms);
            }
        }
        for sum in &mut accounts {
            for peer in self.peers_of(scope).filter(|peer| !peer.is_silent(now)) {
                let told = peer.account(&sum.account);
                for demand in told.into_iter().flat_map(|account| &account.told.demands) {
                    add_demand(&mut sum.demands, *demand);
                }
            }
            let parts = self.silent_peer_parts(&sum.account, hosts, scope, now);
            let even = EVEN_PART * f64::from(unresponsive.hosts) / hosts;
            let all: f64 = parts.iter().map(|(part, _)| part).sum();
            sum.unresponsive_share = (all - even).max(0.0);
        }
        UsageSums {
            made: now,
            accounts,
            unresponsive,
        }
    }
}

impl AccountState {
    fn new(window: Duration, born: Duration) -> Self {
        Self {
            window: UsageWindow::new(window),
            demand: DemandTrack::new(born),
            own_total: 0.0,
            direct_total: 0.0,
            relayed_total: 0.0,
            told_demand: 0.0,
            phase: None,
            plan: None,
        }
    }

    fn try_consume(&mut self, request: QuotaRequest, now: Duration, spread: f64) -> QuotaDecision {
        if let Some(plan) = &mut self.plan {
            let enough = plan.left + plan.overdraft >= request.cost;
            if !enough || spread >= plan.part(request.priority_class) {
                return QuotaDecision::Rejected;
            }
            plan.left -= request.cost;
        }
        self.window.add(request.cost, now);
        self.own_total += request.cost;
        QuotaDecision::Admitted
    }

    /// Counts what a peer spent since `since`, as far as it lies in this host's life.
    fn take_spent(&mut self, spent: f64, since: Duration, born: Duration, now: Duration) {
        if since >= born {
            return self.window.add_since(spent, since, now);
        }
        let length = now.saturating_sub(since).as_secs_f64();
        let lived = now.saturating_sub(born).as_secs_f64();
        self.window
            .add_since(spent * lived / length.max(0.001), born, now);
    }

    /// Takes what is asked of a peer; returns its part of all that is asked.
    fn take_demand(
        &mut self,
        before: Option<&PeerAccount>,
        told: &AccountUsage,
        now: Duration,
    ) -> f64 {
        let asked = told.demand();
        let asked_before = before.map_or(0.0, |before| before.told.demand());
        self.told_demand = (self.told_demand + asked - asked_before).max(0.0);
        let own: f64 = self
            .demand
            .demands(now)
            .iter()
            .map(|demand| demand.per_second)
            .sum();
        let part = asked / (self.told_demand + own).max(1.0);
        match before {
            Some(before) => before.part + PART_WEIGHT * (part - before.part),
            None => part,
        }
    }
}

impl SharePlan {
    /// Returns the part of a kind that is admitted, 0 to 1.
    fn part(&self, priority_class: PriorityClass) -> f64 {
        let found = self
            .demands
            .binary_search_by_key(&priority_class, |demand| demand.priority_class);
        // Nothing of the kind was asked for lately: it is not what asks too much.
        found.map_or(1.0, |index| self.parts[index])
    }
}

/// Returns how much more than the rate may be admitted now, in tokens a second; below 0
/// where it is less.
fn balance(left: f64, rate: QuotaRate) -> f64 {
    let surplus = left - rate.reserved;
    let time = match surplus > 0.0 {
        true => SURPLUS_TIME,
        false => BALANCE_TIME,
    };
    surplus / time.as_secs_f64()
}
