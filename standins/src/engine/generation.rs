//! Token generation, independent of client connections.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use async_std::task;

use super::engine_shared::EngineShared;
use super::prefix_cache::prompt_tokens;
use super::token_stream::TokenStream;

/// Starts a generation task; it continues even if no client reads the tokens.
pub(crate) fn spawn_generation(
    shared: &Arc<EngineShared>,
    prompt: String,
    stream: Arc<TokenStream>,
) {
    shared.batch.enter();
    shared.record_load();
    let shared = Arc::clone(shared);
    task::spawn(async move {
        prefill(&shared, &prompt).await;
        decode(&shared, &stream).await;
        shared.batch.leave();
        shared.record_load();
    });
}

/// Simulates the prefill of the prompt tokens that are not in the prefix cache.
async fn prefill(shared: &EngineShared, prompt: &str) {
    let total = prompt_tokens(prompt);
    let cached = shared.cache().lookup_and_insert(prompt);
    let uncached = total.saturating_sub(cached);
    shared
        .prefilled_tokens
        .fetch_add(u64::from(uncached), Ordering::Relaxed);
    shared
        .cached_tokens
        .fetch_add(u64::from(cached), Ordering::Relaxed);
    shared.batch.enter_prefill();
    let time = shared
        .batch
        .prefill_time(&shared.settings, uncached, shared.slowdown());
    task::sleep(time).await;
    shared.batch.leave_prefill();
}

/// Generates tokens at the rate that the current batch allows.
async fn decode(shared: &EngineShared, stream: &TokenStream) {
    let mut due = Instant::now();
    while !stream.is_complete() && !stream.is_cancelled() {
        due += shared.batch.token_time(&shared.settings, shared.slowdown());
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        stream.push_token();
    }
}
