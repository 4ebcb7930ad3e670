//! Polls the platform's list of live and leaving hosts.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_std::task;
use futures_lite::future::or;

use crate::backoff::RetryBackoff;
use crate::documents::DocumentClient;
use crate::documents::HostList;

/// Poll interval. 320 daemons make 320 calls/s, out of the platform's 2,000; a leaving
/// target is noticed 1 s after it appears in the list.
const POLL_PERIOD: Duration = Duration::from_secs(1);
/// Width of the random spread of a poll interval, so that hosts started together do not
/// poll together.
const SPREAD: Duration = Duration::from_millis(200);
/// Maximum delay after failures.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// A running poller of the list; stops when dropped.
pub struct HostListWatch {
    stop: Sender<()>,
}

impl HostListWatch {
    /// Polls the list every second and passes each one to `listener`. The list lags and
    /// lists may arrive out of order; see [`super::LeavingTracker`].
    pub fn spawn(
        platform: Arc<DocumentClient>,
        listener: impl Fn(HostList) + Send + 'static,
    ) -> Self {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let stop_signal = async move {
            stopped.recv().await.ok();
        };
        task::spawn(or(stop_signal, poll_forever(platform, listener)));
        Self { stop }
    }
}

impl Drop for HostListWatch {
    fn drop(&mut self) {
        self.stop.close();
    }
}

async fn poll_forever(platform: Arc<DocumentClient>, listener: impl Fn(HostList)) {
    let mut backoff = RetryBackoff::new(POLL_PERIOD, MAX_RETRY_DELAY);
    loop {
        match platform.list_hosts().await {
            Ok(list) => {
                backoff.reset();
                listener(list);
                let spread: f64 = rand::random();
                task::sleep(POLL_PERIOD - SPREAD / 2 + SPREAD.mul_f64(spread)).await;
            }
            Err(_) => task::sleep(backoff.next_delay(rand::random())).await,
        }
    }
}
