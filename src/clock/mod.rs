//! The clocks of the process: wall-clock time for request ids, boot time for ages.

use std::time::Duration;
use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use crate::ids::UnixMillis;

/// Returns the wall-clock time. Used only for the time in request ids.
pub fn unix_now() -> UnixMillis {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as UnixMillis)
}

/// Returns the time since the machine's boot, including time suspended.
///
/// Ages measured by this clock show a process that resumes after a pause that its view
/// is outdated; the monotonic clock doesn't advance in a suspended guest.
pub fn boot_now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
