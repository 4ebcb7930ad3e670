//! An HTTP client that reuses connections.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future;

use super::CallerAnswer;
use super::CallerConnection;
use super::CallerError;
use super::CallerRequest;

/// Default time limit for a complete answer.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// A client that sends one request at a time.
pub struct CallerClient {
    idle: Vec<CallerConnection>,
    timeout: Duration,
}

impl Default for CallerClient {
    fn default() -> Self {
        Self::new(DEFAULT_TIMEOUT)
    }
}

impl CallerClient {
    /// Creates a client that abandons a request after `timeout`.
    pub const fn new(timeout: Duration) -> Self {
        Self {
            idle: Vec::new(),
            timeout,
        }
    }

    /// Sends `request` to `host`, on an idle connection if there is one.
    ///
    /// A closed idle connection is reported as an error: the client cannot tell whether the
    /// request was executed, so it never resends by itself.
    pub async fn call(
        &mut self,
        host: SocketAddr,
        request: &CallerRequest,
    ) -> Result<CallerAnswer, CallerError> {
        let idle = self.take_idle(host);
        let exchange = async {
            let mut connection = match idle {
                Some(connection) => connection,
                None => CallerConnection::open(host).await?,
            };
            let answer = connection.call(request).await?;
            Ok((connection, answer))
        };
        let (connection, answer) = future::timeout(self.timeout, exchange)
            .await
            .map_err(|_| CallerError::TimedOut)??;
        if answer.reusable {
            self.idle.push(connection);
        }
        Ok(answer)
    }

    fn take_idle(&mut self, host: SocketAddr) -> Option<CallerConnection> {
        let index = self.idle.iter().position(|idle| idle.host() == host)?;
        Some(self.idle.swap_remove(index))
    }
}
