//! The making of tokens, apart from any connection.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use async_std::task;

use super::engine_shared::EngineShared;
use super::prefix_cache::prompt_tokens;
use super::token_stream::TokenStream;

/// Starts a request's generation; it goes on whether or not anyone reads it.
pub(crate) fn spawn_generation(
    shared: &Arc<EngineShared>,
    prompt: String,
    stream: Arc<TokenStream>,
) {
    shared.batch.enter();
    shared.note_load();
    let shared = Arc::clone(shared);
    task::spawn(async move {
        prefill(&shared, &prompt).await;
        decode(&shared, &stream).await;
        shared.batch.leave();
        shared.note_load();
    });
}

/// Processes the part of the prompt that the cache does not hold.
async fn prefill(shared: &EngineShared, prompt: &str) {
    let whole = prompt_tokens(prompt);
    let cached = shared.cache().take_in(prompt);
    let rest = whole.saturating_sub(cached);
    shared
        .prefilled_tokens
        .fetch_add(u64::from(rest), Ordering::Relaxed);
    shared
        .cached_tokens
        .fetch_add(u64::from(cached), Ordering::Relaxed);
    shared.batch.enter_prefill();
    let time = shared
        .batch
        .prefill_time(&shared.settings, rest, shared.slow());
    task::sleep(time).await;
    shared.batch.leave_prefill();
}

/// Makes tokens at the pace that the batch allows.
async fn decode(shared: &EngineShared, stream: &TokenStream) {
    let mut due = Instant::now();
    while !stream.is_complete() && !stream.is_cancelled() {
        due += shared.batch.token_time(&shared.settings, shared.slow());
        task::sleep(due.saturating_duration_since(Instant::now())).await;
        stream.grow();
    }
}
