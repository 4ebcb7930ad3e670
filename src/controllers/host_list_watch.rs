//! Reads the platform's list of live and leaving hosts, again and again.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use async_std::task;
use futures_lite::future::or;

use crate::backoff::RetryBackoff;
use crate::documents::DocumentClient;
use crate::documents::HostList;

/// How often the list is read. 320 daemons make 320 calls a second of the
/// platform's 2,000; a target that leaves is seen 1 s after the list says so.
const PERIOD: Duration = Duration::from_secs(1);
/// How far one period is spread, so that hosts started together do not read together.
const SPREAD: Duration = Duration::from_millis(200);
/// The longest wait after failures.
const LONGEST_RETRY: Duration = Duration::from_secs(5);

/// A running reader of the list; dropping it ends it.
pub struct HostListWatch {
    stop: Sender<()>,
}

impl HostListWatch {
    /// Reads the list each second from now on and hands each one to `listener`.
    /// The list lags and may come in the wrong order; see [`super::LeavingTracker`].
    pub fn spawn(
        platform: Arc<DocumentClient>,
        listener: impl Fn(HostList) + Send + 'static,
    ) -> Self {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let stop_signal = async move {
            stopped.recv().await.ok();
        };
        task::spawn(or(stop_signal, read_forever(platform, listener)));
        Self { stop }
    }
}

impl Drop for HostListWatch {
    fn drop(&mut self) {
        self.stop.close();
    }
}

async fn read_forever(platform: Arc<DocumentClient>, listener: impl Fn(HostList)) {
    let mut backoff = RetryBackoff::new(PERIOD, LONGEST_RETRY);
    loop {
        match platform.list_hosts().await {
            Ok(list) => {
                backoff.reset();
                listener(list);
                let spread: f64 = rand::random();
                task::sleep(PERIOD - SPREAD / 2 + SPREAD.mul_f64(spread)).await;
            }
            Err(_) => task::sleep(backoff.next_wait(rand::random())).await,
        }
    }
}
