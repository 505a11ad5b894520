//! Stand-in for a model engine.
//!
//! It batches continuously, streams tokens at a fixed interval, queues by
//! priority when its slots are full, prefills the part of a prompt that its
//! prefix cache doesn't hold, and drops a stream when its client disconnects.
//! The tokens depend on the prompt alone, so that a test can check that an
//! answer is complete and belongs to its request.

use crate::engine_cache::{PrefixCache, PrefixCacheOptions};
use crate::server::{Reply, StandInHandler, StandInRequest, serve};
use egretstage_routing::PrefixFingerprint;
use hyper::body::Bytes;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{Sender, channel};
use tokio::sync::oneshot;

/// Number of chunks buffered for a slow client before generation stalls.
const STREAM_BUFFER_CHUNKS: usize = 16;

/// Number of tokens for a request without a limit.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Options of the engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineOptions {
    /// Maximum number of concurrent streams.
    pub slots: usize,
    /// Time between two tokens of a stream.
    pub token_interval: Duration,
    /// Prefill rate, in prompt tokens per second.
    pub prefill_tokens_per_second: u32,
    /// Maximum age of the load that `GET /load` returns.
    pub load_lag: Duration,
    /// Options of the prefix cache.
    pub cache: PrefixCacheOptions,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            slots: 64,
            token_interval: Duration::from_millis(35),
            prefill_tokens_per_second: 20_000,
            load_lag: Duration::from_millis(200),
            cache: PrefixCacheOptions::default(),
        }
    }
}

/// A stream that the engine executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutedStream {
    /// The `Egret-Request-Id` header of the request.
    pub request: Option<String>,
    /// Number of tokens sent.
    pub tokens: u32,
    /// Whether all tokens and the final event were sent.
    pub finished: bool,
}

/// Load of the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number of running streams.
    pub running: usize,
    /// Number of streams that wait for a slot.
    pub waiting: usize,
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: serde_json::Value,
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Default)]
struct State {
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<(Reverse<u8>, u64), oneshot::Sender<()>>,
    executed: Vec<ExecutedStream>,
    load_report: EngineLoad,
    load_measured_at: Option<Instant>,
}

/// Stand-in for a model engine.
#[derive(Debug)]
pub struct EngineStandIn {
    options: EngineOptions,
    state: Arc<Mutex<State>>,
    cache: Mutex<PrefixCache>,
}

/// Slot of a running stream, released when dropped.
struct Slot(Arc<Mutex<State>>);

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = lock(&self.0);
        state.running -= 1;
        while let Some((_, tx)) = state.waiting.pop_first() {
            if tx.send(()).is_ok() {
                state.running += 1;
                return;
            }
        }
    }
}

fn lock<T>(state: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EngineStandIn {
    /// Starts the engine on the current runtime.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the address can't be used.
    pub fn start(
        address: SocketAddr,
        options: EngineOptions,
    ) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let engine = Arc::new(Self {
            options,
            state: Arc::default(),
            cache: Mutex::new(PrefixCache::new(options.cache)),
        });
        let address = serve(address, Arc::clone(&engine))?;
        Ok((engine, address))
    }

    /// Returns the number of running streams.
    #[must_use]
    pub fn running(&self) -> usize {
        lock(&self.state).running
    }

    /// Returns the streams that the engine executed.
    #[must_use]
    pub fn executed_streams(&self) -> Vec<ExecutedStream> {
        lock(&self.state).executed.clone()
    }

    /// Waits for a free slot; a higher priority goes first, then the earlier
    /// arrival.
    async fn acquire_slot(&self, priority: u8) -> Slot {
        let wait = {
            let mut state = lock(&self.state);
            if state.running < self.options.slots {
                state.running += 1;
                None
            } else {
                let (tx, rx) = oneshot::channel();
                let arrival = state.arrivals;
                state.arrivals += 1;
                state.waiting.insert((Reverse(priority), arrival), tx);
                Some(rx)
            }
        };
        if let Some(rx) = wait {
            let _ = rx.await;
        }
        Slot(Arc::clone(&self.state))
    }

    async fn chat(&self, request: &StandInRequest) -> Reply {
        let chat: ChatBody = match serde_json::from_slice(&request.body) {
            Ok(chat) => chat,
            Err(e) => return Reply::error(400, &e.to_string()),
        };
        let priority = request
            .header("egret-priority")
            .and_then(|p| p.parse().ok());
        let slot = self.acquire_slot(priority.unwrap_or(0)).await;
        let prompt = chat.messages.to_string();
        let prefill_tokens = f64::from(self.uncached_tokens(&chat.messages));
        let rate = f64::from(self.options.prefill_tokens_per_second);
        tokio::time::sleep(Duration::from_secs_f64(prefill_tokens / rate)).await;
        let (tx, mut rx) = channel(STREAM_BUFFER_CHUNKS);
        let token_stream = TokenStream {
            state: Arc::clone(&self.state),
            slot,
            request: request.header("egret-request-id").map(ToOwned::to_owned),
            tokens: expected_tokens(&prompt, chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)),
            model: chat.model.clone(),
            interval: self.options.token_interval,
        };
        if chat.stream {
            tokio::spawn(token_stream.send(tx));
            return Reply::Events(rx);
        }
        let text = token_stream.tokens.concat();
        tokio::spawn(token_stream.send(tx));
        while rx.recv().await.is_some() {}
        complete_answer(&chat.model, &text)
    }

    /// Stores a prompt in the prefix cache and returns the number of tokens to
    /// prefill.
    fn uncached_tokens(&self, messages: &serde_json::Value) -> u32 {
        let parts = messages.as_array().into_iter().flatten();
        let prompt: String = parts.map(ToString::to_string).collect();
        let tokens = u32::try_from(prompt.len() / 4).unwrap_or(u32::MAX);
        let fingerprint = PrefixFingerprint::from_text(prompt.as_bytes());
        let cached = lock(&self.cache).prefill(Instant::now(), &fingerprint);
        tokens.saturating_sub(cached)
    }

    /// Returns the cache events after the sequence number that ends the path.
    fn cache_events(&self, path: &str) -> Reply {
        let after = path.rsplit('/').next().and_then(|after| after.parse().ok());
        Reply::ok(&lock(&self.cache).events(Instant::now(), after.unwrap_or(0)))
    }

    fn load_report(&self) -> EngineLoad {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let lag = self.options.load_lag;
        if state.load_measured_at.is_none_or(|at| now - at >= lag) {
            state.load_measured_at = Some(now);
            state.load_report = EngineLoad {
                running: state.running,
                waiting: state.waiting.len(),
            };
        }
        state.load_report
    }
}

/// Returns the tokens that the engine generates for a prompt.
#[must_use]
pub fn expected_tokens(prompt: &str, count: u32) -> Vec<String> {
    let seed = prompt
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
    (0..u64::from(count))
        .map(|i| format!("{:x}.{i} ", seed & 0xffff))
        .collect()
}

/// Returns the body of a complete streamed answer.
#[must_use]
pub fn expected_stream(model: &str, prompt: &str, count: u32) -> String {
    let tokens = expected_tokens(prompt, count);
    let mut text = String::new();
    for token in &tokens {
        let _ = write!(text, "{}", event(model, token));
    }
    text + DONE_EVENT
}

/// Final event of a streamed answer.
const DONE_EVENT: &str = "data: [DONE]\n\n";

fn event(model: &str, token: &str) -> String {
    let chunk = serde_json::json!({
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{"index": 0, "delta": {"content": token}}],
    });
    format!("data: {chunk}\n\n")
}

fn complete_answer(model: &str, text: &str) -> Reply {
    Reply::ok(&serde_json::json!({
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }],
    }))
}

/// The tokens of one stream, with the slot that the stream holds.
struct TokenStream {
    state: Arc<Mutex<State>>,
    slot: Slot,
    request: Option<String>,
    tokens: Vec<String>,
    model: String,
    interval: Duration,
}

impl TokenStream {
    async fn send(self, tx: Sender<Bytes>) {
        let mut sent = 0;
        for token in &self.tokens {
            let bytes = Bytes::from(event(&self.model, token));
            if tx.send(bytes).await.is_err() {
                break;
            }
            sent += 1;
            tokio::time::sleep(self.interval).await;
        }
        let all_sent = sent as usize == self.tokens.len();
        let finished = all_sent
            && tx
                .send(Bytes::from_static(DONE_EVENT.as_bytes()))
                .await
                .is_ok();
        drop(self.slot);
        lock(&self.state).executed.push(ExecutedStream {
            request: self.request,
            tokens: sent,
            finished,
        });
    }
}

impl StandInHandler for EngineStandIn {
    async fn answer(&self, request: StandInRequest) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/chat/completions") => self.chat(&request).await,
            ("GET", "/load") => Reply::ok(&self.load_report()),
            ("GET", "/ran") => Reply::ok(&self.executed_streams()),
            ("GET", path) if path.starts_with("/cache-events/") => self.cache_events(path),
            _ => Reply::error(404, "no such path"),
        }
    }
}
