//! A simulation of one host's policy with engines and work, in virtual time.

use std::sync::Arc;
use std::time::Duration;

use cardamomgw::errors::ErrorKind;
use cardamomgw::fleet::TargetKind;
use cardamomgw::fleet::TargetState;
use cardamomgw::policy::DispatchPolicy;
use cardamomgw::policy::PolicyAction;
use cardamomgw::policy::PolicySettings;
use cardamomgw::policy::TargetFacts;
use cardamomgw::policy::WorkItem;
use cardamomgw::policy::WorkOutcome;

/// The time per token of a healthy engine.
const TOKEN: Duration = Duration::from_millis(20);

/// A simulation of one host's policy with engines and work.
pub(crate) struct PolicyBench {
    pub(crate) policy: DispatchPolicy,
    pub(crate) now: Duration,
    allowed: Arc<Vec<String>>,
    work: u64,
    /// Running work: id, target and tokens so far.
    running: Vec<(u64, String, u32)>,
    dispatched: Vec<String>,
}

/// The parameters of a request.
pub(crate) struct WorkShape {
    pub(crate) tier: u8,
    pub(crate) account: String,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    pub(crate) deadline: Duration,
}

impl PolicyBench {
    /// Creates a single host with engines.
    pub(crate) fn new(engines: usize, slots: u32) -> Self {
        Self::with_hosts("entry-1", &["entry-1"], engines, slots, 4096)
    }

    /// Creates a single host with a short queue.
    pub(crate) fn with_queue(engines: usize, slots: u32, queue: u32) -> Self {
        Self::with_hosts("entry-1", &["entry-1"], engines, slots, queue)
    }

    /// Creates one of two hosts.
    pub(crate) fn in_cell(host: &str, engines: usize, slots: u32) -> Self {
        Self::with_hosts(host, &["entry-1", "entry-2"], engines, slots, 4096)
    }

    fn with_hosts(host: &str, hosts: &[&str], engines: usize, slots: u32, queue: u32) -> Self {
        let settings = PolicySettings {
            max_waiting: queue,
            ..PolicySettings::default()
        };
        let names: Vec<String> = (1..=engines).map(|n| format!("engine-{n}")).collect();
        let facts = names.iter().map(|name| TargetFacts {
            name: name.clone(),
            kind: TargetKind::Engine,
            slots,
            state: TargetState::Live,
            availability_zone: "zone-a".to_string(),
        });
        let mut policy = DispatchPolicy::new(host.to_string(), settings);
        policy.set_targets(Duration::ZERO, facts.collect());
        let hosts = hosts.iter().map(|host| (*host).to_string());
        policy.set_hosts(Duration::ZERO, hosts.collect());
        Self {
            policy,
            now: Duration::from_secs(1),
            allowed: Arc::new(names),
            work: 0,
            running: Vec::new(),
            dispatched: Vec::new(),
        }
    }

    /// Returns the id of the next arrival.
    pub(crate) fn next_work(&self) -> u64 {
        self.work + 1
    }

    pub(crate) fn arrive(&mut self, shape: WorkShape) -> Vec<PolicyAction> {
        self.work += 1;
        let item = WorkItem {
            work: self.work,
            tier: shape.tier,
            account: shape.account,
            weight: 1,
            class: "class".to_string(),
            prompt_tokens: shape.prompt_tokens,
            output_tokens: shape.output_tokens,
            prefix: self.work,
            deadline: self.now + shape.deadline,
            first_token_goal: None,
            allowed: self.allowed.clone(),
        };
        let actions = self.policy.arrive(self.now, item);
        self.record(&actions);
        actions
    }

    /// Runs the policy's periodic decisions.
    pub(crate) fn tick(&mut self) {
        let actions = self.policy.tick(self.now);
        self.record(&actions);
    }

    /// Returns whether any work runs.
    pub(crate) fn has_running(&self) -> bool {
        !self.running.is_empty()
    }

    /// Ends the work that was dispatched first; returns the work dispatched as a result.
    pub(crate) fn end_oldest(&mut self, end: WorkOutcome) -> Vec<u64> {
        let (work, _, _) = self.running.remove(0);
        let actions = self.policy.record_end(self.now, work, end);
        self.record(&actions);
        let works = actions.iter().filter_map(|action| match action {
            PolicyAction::Dispatch { work, .. } => Some(*work),
            _ => None,
        });
        works.collect()
    }

    /// Returns the target of the last dispatch.
    pub(crate) fn last_target(&self) -> Option<String> {
        self.dispatched.last().cloned()
    }

    /// Returns how much work was dispatched to a target.
    pub(crate) fn dispatched_to(&self, target: &str) -> usize {
        self.dispatched
            .iter()
            .filter(|name| *name == target)
            .count()
    }

    /// Simulates arrivals of medium work every 200 ms and the engines' tokens; the engine `slow`
    /// is slower by a factor.
    pub(crate) fn run_streams(&mut self, length: Duration, slow: &str, factor: u32) {
        let end = self.now + length;
        let mut step = 0;
        while self.now < end {
            self.now += TOKEN;
            step += 1;
            if step % 10 == 0 {
                self.arrive(WorkShape {
                    tier: 1,
                    account: "account-1".to_string(),
                    prompt_tokens: 200,
                    output_tokens: 150,
                    deadline: Duration::from_secs(60),
                });
            }
            self.generate_tokens(step, slow, factor);
            let actions = self.policy.tick(self.now);
            self.record(&actions);
        }
    }

    fn generate_tokens(&mut self, step: u32, slow: &str, factor: u32) {
        let mut ended = Vec::new();
        for (work, target, tokens) in &mut self.running {
            if target == slow && !step.is_multiple_of(factor) {
                continue;
            }
            *tokens += 1;
            self.policy.record_progress(self.now, *work, *tokens);
            if *tokens >= 150 {
                ended.push(*work);
            }
        }
        self.running.retain(|(work, _, _)| !ended.contains(work));
        for work in ended {
            let actions = self
                .policy
                .record_end(self.now, work, WorkOutcome::Finished);
            self.record(&actions);
        }
    }

    fn record(&mut self, actions: &[PolicyAction]) {
        for action in actions {
            if let PolicyAction::Dispatch { work, target } = action {
                self.running.push((*work, target.clone(), 0));
                self.dispatched.push(target.clone());
            }
        }
    }
}

/// Returns the refusals among some actions.
pub(crate) fn refusals(actions: &[PolicyAction]) -> Vec<(u64, ErrorKind, Duration)> {
    let refusals = actions.iter().filter_map(|action| match action {
        PolicyAction::Refuse {
            work,
            kind,
            retry_after,
        } => Some((*work, *kind, *retry_after)),
        _ => None,
    });
    refusals.collect()
}
