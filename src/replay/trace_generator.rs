//! Generates the trace of a deployment under a load pattern from a seed.

use std::f64::consts::LN_2;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::TargetKind;

use super::LoadPattern;
use super::ReplayTrace;
use super::TRACE_FORMAT;
use super::TraceAccount;
use super::TraceArrival;
use super::TraceClass;
use super::TraceDeployment;
use super::TraceFault;
use super::TraceHeader;
use super::TraceTarget;
use super::offline_bound::engine_speed;
use super::trace_deployment::ClassShape;
use super::work_cost;

/// The fraction of the load that each account sends: a few accounts are large.
const ACCOUNT_SHARES: [f64; 5] = [0.35, 0.30, 0.15, 0.10, 0.10];
/// The same, with most of the load from two accounts.
const HOT_ACCOUNT_SHARES: [f64; 5] = [0.45, 0.35, 0.07, 0.07, 0.06];
/// Number of prompt prefixes of each account in each class.
const PREFIXES_PER_ACCOUNT: u64 = 4;
/// The fraction of the hot accounts' requests that have the hot prefix.
const HOT_PREFIX_SHARE: f64 = 0.7;
/// The length of the shared prefix, as a fraction of a class's mean prompt.
const PREFIX_SHARE: f64 = 0.5;
/// The fraction of the load that is long requests, in `LongAmongShort`.
const LONG_SHARE: f64 = 0.95;
/// The age of load reports on arrival in `LateReports`, in milliseconds.
const LATE_REPORT_MS: u64 = 5_000;

/// Generates the trace of a deployment under a load pattern.
pub fn generate_trace(
    deployment: TraceDeployment,
    pattern: LoadPattern,
    length: Duration,
    seed: u64,
) -> ReplayTrace {
    let header = make_header(deployment, pattern, length);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    // Each seed uses other prefixes, so that runs with several seeds show the effect of the
    // prefixes' placement on engines.
    let salt = u64::from(rng.random::<u32>());
    for shape in deployment.classes() {
        let load = ClassLoad {
            shape,
            pattern,
            length,
            salt,
        };
        add_class(&mut arrivals, &header, &load, &mut rng);
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    ReplayTrace { header, arrivals }
}

fn make_header(deployment: TraceDeployment, pattern: LoadPattern, length: Duration) -> TraceHeader {
    let hosts: Vec<String> = (1..=deployment.host_count())
        .map(|number| format!("entry-{number}"))
        .collect();
    let targets = deployment.targets();
    let classes = deployment.classes().iter().map(|shape| TraceClass {
        name: shape.name.to_string(),
        targets: targets
            .iter()
            .filter(|target| target.kind == shape.kind)
            .map(|target| target.name.clone())
            .collect(),
    });
    let accounts = (1..=ACCOUNT_SHARES.len()).map(|number| TraceAccount {
        name: format!("account-{number}"),
        weight: 1,
    });
    let late = pattern == LoadPattern::LateReports;
    TraceHeader {
        format: TRACE_FORMAT,
        name: format!("{deployment} {pattern} {} s", length.as_secs()),
        classes: classes.collect(),
        accounts: accounts.collect(),
        faults: make_faults(pattern, &hosts, length),
        hosts,
        targets,
        network_ms: 1,
        report_lag_ms: if late { LATE_REPORT_MS } else { 500 },
        list_lag_ms: 3000,
    }
}

fn make_faults(pattern: LoadPattern, hosts: &[String], length: Duration) -> Vec<TraceFault> {
    let length_ms = length.as_millis() as u64;
    let half = hosts[..hosts.len() / 2].to_vec();
    match pattern {
        // The first engine is one of the fastest, so it has the highest load.
        LoadPattern::SlowEngine => vec![TraceFault::SlowTarget {
            target: "engine-01".to_string(),
            factor: 10,
            from_ms: length_ms / 3,
            to_ms: length_ms * 2 / 3,
        }],
        LoadPattern::HalfLost => vec![TraceFault::LostHosts {
            hosts: half,
            at_ms: length_ms / 2,
        }],
        LoadPattern::Partition => vec![TraceFault::Partition {
            hosts: half,
            from_ms: length_ms / 3,
            to_ms: length_ms * 2 / 3,
        }],
        _ => Vec::new(),
    }
}

/// The parameters of the load of one class.
struct ClassLoad<'a> {
    shape: &'a ClassShape,
    pattern: LoadPattern,
    length: Duration,
    salt: u64,
}

/// Adds the arrivals of one class: a Poisson process, thinned to the load of the pattern.
fn add_class(
    arrivals: &mut Vec<TraceArrival>,
    header: &TraceHeader,
    load: &ClassLoad<'_>,
    rng: &mut ChaCha8Rng,
) {
    let rate = rate_at_full_load(header, load.shape, load.pattern);
    let peak = 4.0;
    let mut at = 0.0;
    loop {
        let uniform: f64 = rng.random();
        at -= (1.0 - uniform).ln() / (rate * peak);
        let fraction = at / load.length.as_secs_f64();
        if fraction >= 1.0 {
            return;
        }
        if rng.random::<f64>() < load.pattern.load_at(fraction) / peak {
            arrivals.push(make_arrival(header, load, at, rng));
        }
    }
}

/// Returns the requests per second of the class at a load of 1.
fn rate_at_full_load(header: &TraceHeader, shape: &ClassShape, pattern: LoadPattern) -> f64 {
    let targets = header.targets.iter().filter(|t| t.kind == shape.kind);
    if shape.kind == TargetKind::Service {
        let calls =
            |target: &TraceTarget| 1e6 * f64::from(target.slots) / target.pace.call_us as f64;
        return shape.capacity_share * targets.map(calls).sum::<f64>();
    }
    let capacity: f64 = targets.map(engine_speed).sum();
    let mean = TraceArrival {
        prompt_tokens: shape.prompt_tokens,
        output_tokens: shape.output_tokens,
        ..empty_arrival()
    };
    let long = shape.tier == 2;
    let share = match pattern {
        LoadPattern::LongAmongShort if long => LONG_SHARE,
        LoadPattern::LongAmongShort if shape.tier == 1 => return 1e-9,
        LoadPattern::LongAmongShort => 1.0 - LONG_SHARE,
        _ => shape.capacity_share,
    };
    // Lengths are log-uniform between half and twice the mean; this is their expected value,
    // relative to it.
    let spread = 1.5 / (2.0 * LN_2);
    share * capacity / (work_cost(&mean).as_secs_f64() * spread)
}

fn make_arrival(
    header: &TraceHeader,
    load: &ClassLoad<'_>,
    at: f64,
    rng: &mut ChaCha8Rng,
) -> TraceArrival {
    let shape = load.shape;
    let hot = load.pattern == LoadPattern::HotAccounts;
    let shares = if hot {
        HOT_ACCOUNT_SHARES
    } else {
        ACCOUNT_SHARES
    };
    let account = pick_index(&shares, rng.random());
    // The load balancer is slightly uneven: the first host gets twice the share of the others.
    let host = rng.random_range(0..=header.hosts.len()).saturating_sub(1);
    let engine = shape.kind == TargetKind::Engine;
    let spread = |rng: &mut ChaCha8Rng, ratio: f64| ratio.powf(rng.random_range(-1.0..1.0));
    let scale = if engine { spread(rng, 2.0) } else { 1.0 };
    let estimate_ratio = if engine { spread(rng, 1.4) } else { 1.0 };
    let output = (f64::from(shape.output_tokens) * scale).max(1.0);
    let prompt_scale = if engine { spread(rng, 1.5) } else { 1.0 };
    let prompt = f64::from(shape.prompt_tokens) * prompt_scale;
    let prefix_tokens = if engine {
        (f64::from(shape.prompt_tokens) * PREFIX_SHARE) as u32
    } else {
        0
    };
    let shared = hot && account < 2 && rng.random::<f64>() < HOT_PREFIX_SHARE;
    let number = if shared {
        0
    } else {
        1 + account as u64 * PREFIXES_PER_ACCOUNT + rng.random_range(0..PREFIXES_PER_ACCOUNT)
    };
    let number = number + load.salt;
    let class = header.classes.iter().position(|c| c.name == shape.name);
    TraceArrival {
        at_us: (at * 1e6) as u64,
        host: header.hosts[host].clone(),
        account: header.accounts[account].name.clone(),
        class: shape.name.to_string(),
        tier: shape.tier,
        prompt_tokens: prompt.max(1.0) as u32,
        output_tokens: output as u32,
        expected_tokens: (output * estimate_ratio).max(1.0) as u32,
        prefix: xxh3_64_with_seed(&number.to_le_bytes(), 1 + class.unwrap_or(0) as u64),
        prefix_tokens,
        deadline_ms: shape.deadline_ms,
        first_token_goal_ms: shape.first_token_goal_ms,
    }
}

/// Returns the index of the fraction into which a uniform random number falls.
fn pick_index(shares: &[f64], uniform: f64) -> usize {
    let mut sum = 0.0;
    for (index, fraction) in shares.iter().enumerate() {
        sum += fraction;
        if uniform < sum {
            return index;
        }
    }
    shares.len() - 1
}

const fn empty_arrival() -> TraceArrival {
    TraceArrival {
        at_us: 0,
        host: String::new(),
        account: String::new(),
        class: String::new(),
        tier: 0,
        prompt_tokens: 0,
        output_tokens: 0,
        expected_tokens: 0,
        prefix: 0,
        prefix_tokens: 0,
        deadline_ms: 0,
        first_token_goal_ms: None,
    }
}
