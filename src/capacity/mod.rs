//! What each target handles well, learned from its answers.
//!
//! Plain targets run a few requests, queue some more and reject the rest. Hosts send to them
//! without hearing each other, so each limits what it has outstanding at a target by the latency
//! of its own answers and by rejections. The module uses neither a clock nor the network.

mod concurrency_window;
mod latency_estimate;

pub use concurrency_window::ConcurrencyWindow;
pub use concurrency_window::WindowCause;
pub use latency_estimate::LatencyEstimate;
