//! Handlers for the signals of a host's process.

use std::io;

use async_std::stream::StreamExt;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook_async_std::Signals;

/// A signal that the process received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessSignal {
    /// SIGHUP: an operator's request to reload, or the end of the terminal or shell that started
    /// the process. The kernel also sends it to a stopped process whose process group loses its
    /// last parent in the session.
    HangUp,
    /// SIGTERM or SIGINT.
    Shutdown,
}

/// The handlers of a process's signals; see [`ProcessSignal`].
pub struct ProcessSignals(Signals);

impl ProcessSignals {
    /// Registers the handlers. Register them before anything slow: by default, each of these
    /// signals ends the process at once. Signals that arrive before [`ProcessSignals::next`] are
    /// kept for it.
    ///
    /// # Errors
    ///
    /// The handlers can't be registered.
    pub fn register() -> io::Result<Self> {
        Ok(Self(Signals::new([SIGHUP, SIGINT, SIGTERM])?))
    }

    /// Waits for the next signal. Signals of one kind that arrive together count as one.
    pub async fn next(&mut self) -> ProcessSignal {
        match self.0.next().await {
            Some(SIGHUP) => ProcessSignal::HangUp,
            // The stream ends only if its handle is closed, which this type never does.
            Some(_) | None => ProcessSignal::Shutdown,
        }
    }
}
