//! Requests with parts of prompts that crash the targets that run them, and sound ones that share
//! their other parts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::platform_standin::headers;
use super::raw_link::RawHead;
use super::soak_caller::PERMANENT_KEY;
use super::soak_history::RequestArrival;
use super::soak_history::SentRequest;
use super::soak_history::SoakHistory;
use super::soak_poison::call;
use super::soak_routes::SoakRoute;
use super::soak_statements::HostInterruption;

/// Start of the id of a part that crashes targets, and of the names of the requests.
const BAD_PART: &str = "bad";
const BAD_NAME: &str = "partbad";
const SOUND_NAME: &str = "partsound";
/// Part that nearly all requests share, and the number of further sound ones.
const COMMON_PART: &str = "c0";
const SUBJECTS: u32 = 20;
/// Time from the caller's start until it sends requests that crash targets, and their share.
const CALM_TIME: Duration = Duration::from_secs(3);
const BAD_SHARE: f64 = 0.15;
const PAUSE_MS: std::ops::Range<u64> = 20..120;
/// Crashes of a part after which few more requests with it may reach targets, the time for that, and
/// their number.
const MAX_CRASHES: usize = 5;
const CONTACT_TIME: Duration = Duration::from_secs(3);
const MAX_LATER: usize = 3;
/// Least number of sound requests that are compared, and the least ratio of those served.
const MIN_REQUESTS: usize = 20;
const MIN_RATIO: f64 = 0.5;

/// The crash of a target by a part.
#[derive(Clone, Debug)]
pub(crate) struct PartCrash {
    pub(crate) part: String,
    pub(crate) at: Instant,
}

/// Everything that the checks of parts depend on. `requests` are sorted by request.
pub(crate) struct PartRecord<'a> {
    pub(crate) crashes: &'a [PartCrash],
    pub(crate) requests: &'a [SentRequest],
    pub(crate) arrivals: &'a [RequestArrival],
    pub(crate) interruptions: &'a [HostInterruption],
}

/// A caller that sends requests of one route, some of which crash targets.
pub(crate) struct PartCaller {
    pub(crate) name: String,
    pub(crate) hosts: Vec<SocketAddr>,
    pub(crate) route: SoakRoute,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) history: Arc<SoakHistory>,
    pub(crate) stop: Arc<AtomicBool>,
}

/// Returns the part of a request that crashes the target; `None` if there is none.
pub(crate) fn crashing_part(head: &RawHead) -> Option<&str> {
    let list = head.header(headers::PROMPT_PARTS)?;
    let ids = list.split(',').filter_map(|entry| entry.split(':').next());
    let mut bad = ids.filter(|id| id.starts_with(BAD_PART));
    bad.next()
}

/// Returns the crashing part of the requests of a pool.
fn bad_part_of(pool: &str) -> String {
    let index = SoakRoute::POOLS.iter().position(|held| *held == pool);
    format!("{BAD_PART}{}", index.unwrap())
}

impl PartCaller {
    /// Sends requests until stopped, no two with the same body or last part.
    pub(crate) fn run(mut self) {
        let started_at = Instant::now();
        let mut count = 0;
        while !self.stop.load(Ordering::Acquire) {
            let pause = self.rng.random_range(PAUSE_MS);
            std::thread::sleep(Duration::from_millis(pause));
            count += 1;
            let is_bad = self.rng.random_bool(BAD_SHARE) && started_at.elapsed() > CALM_TIME;
            let host = self.rng.random_range(0..self.hosts.len());
            let second = match is_bad {
                true => bad_part_of(self.route.pool()),
                false => format!("{:x}", 0x5000 + self.rng.random_range(0..SUBJECTS)),
            };
            let own = self.rng.random::<u64>();
            let more = format!(
                "{}: {COMMON_PART}:800,{second}:400,{own:x}:100\r\n",
                headers::PROMPT_PARTS
            );
            let name = if is_bad { BAD_NAME } else { SOUND_NAME };
            let request = format!("{name}-{}-{}-{count}", self.route.pool(), self.name);
            let sent = Instant::now();
            let body = format!("{own:016x}");
            let status = call(self.hosts[host], self.route, &request, &body, &more);
            self.history.record_request(SentRequest {
                request,
                route: self.route,
                host,
                key: PERMANENT_KEY.to_owned(),
                sent,
                ended: Instant::now(),
                status,
                // Many targets are down meanwhile; the record of parts has its own check.
                abandoned: true,
                complete: status == 200,
            });
        }
    }
}

impl PartRecord<'_> {
    /// Checks that few requests with a part that crashes targets reach them once it has crashed
    /// some, and that sound requests that share its other parts are served meanwhile.
    pub(crate) fn check(&self) -> Vec<String> {
        let pools = SoakRoute::POOLS.into_iter();
        pools.flat_map(|pool| self.check_pool(pool)).collect()
    }

    fn check_pool(&self, pool: &str) -> Vec<String> {
        let part = bad_part_of(pool);
        let of_part = self.crashes.iter().filter(|crash| crash.part == part);
        let mut times: Vec<Instant> = of_part.map(|crash| crash.at).collect();
        times.sort_unstable();
        let Some(last) = times.get(MAX_CRASHES - 1).or(times.last()).copied() else {
            return Vec::new();
        };
        let mut violations = Vec::new();
        if times.len() >= MAX_CRASHES {
            let from = last + CONTACT_TIME;
            let later = self.count_arrivals(pool, from);
            if later > MAX_LATER {
                violations.push(format!(
                    "{later} requests with part {part} reached targets after the fifth crash, {} in all",
                    times.len()
                ));
            }
        }
        let before = self.served_share(pool, |sent| sent < times[0]);
        let during = self.served_share(pool, |sent| sent > last + CONTACT_TIME * 2);
        if let (Some(before), Some(during)) = (before, during)
            && during < before * MIN_RATIO
        {
            violations.push(format!(
                "served {during:.2} of the sound requests beside part {part}, {before:.2} before"
            ));
        }
        violations
    }

    /// Counts the requests with a crashing part that reached targets from `from` on, by hosts that
    /// were not interrupted shortly before.
    fn count_arrivals(&self, pool: &str, from: Instant) -> usize {
        let name = format!("{BAD_NAME}-{pool}-");
        let arrivals = self.arrivals.iter().filter(|arrival| {
            arrival.ran && arrival.at >= from && arrival.request.starts_with(&name)
        });
        let in_touch = arrivals.filter(|arrival| {
            let found = self
                .requests
                .binary_search_by(|held| held.request.cmp(&arrival.request));
            found.is_ok_and(|index| !self.was_interrupted(self.requests[index].host, arrival.at))
        });
        in_touch.count()
    }

    fn was_interrupted(&self, host: usize, at: Instant) -> bool {
        let mut interruptions = self.interruptions.iter();
        interruptions.any(|held| {
            held.host == host && held.at <= at && at.duration_since(held.at) < CONTACT_TIME
        })
    }

    fn served_share(&self, pool: &str, is_counted: impl Fn(Instant) -> bool) -> Option<f64> {
        let name = format!("{SOUND_NAME}-{pool}-");
        let counted = self.requests.iter().filter(|request| {
            let in_touch = !self.was_interrupted(request.host, request.sent);
            request.request.starts_with(&name) && is_counted(request.sent) && in_touch
        });
        let counted: Vec<&SentRequest> = counted.collect();
        let served = counted.iter().filter(|request| request.complete).count();
        (counted.len() >= MIN_REQUESTS).then(|| served as f64 / counted.len() as f64)
    }
}
