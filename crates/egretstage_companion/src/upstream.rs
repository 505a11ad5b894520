//! The HTTP client of the upstream.

use crate::{CompanionEvent, RunKey, UpstreamFailure, UpstreamRequest};
use compact_str::CompactString;
use egretstage_runtime::EventSender;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;

/// Chunks of an answer that are read ahead of the entry's credit.
const READ_AHEAD_CHUNKS: usize = 64;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 64;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

struct Running {
    task: AbortHandle,
    permits: Arc<Semaphore>,
}

/// Sends requests to the upstream and reports its answers as events.
pub(crate) struct UpstreamClient {
    address: SocketAddr,
    io: Handle,
    events: EventSender<CompanionEvent>,
    pooled: HttpClient,
    /// A call that may not be repeated gets a connection of its own, so that
    /// a failed connect proves that it did not run.
    unpooled: HttpClient,
    running: HashMap<RunKey, Running>,
}

impl UpstreamClient {
    pub(crate) fn new(
        address: SocketAddr,
        io: Handle,
        events: EventSender<CompanionEvent>,
    ) -> Self {
        Self {
            address,
            io,
            events,
            pooled: client(MAX_IDLE_CONNECTIONS),
            unpooled: client(0),
            running: HashMap::new(),
        }
    }

    /// Sends a request to the upstream.
    pub(crate) fn start(&mut self, run: RunKey, req: UpstreamRequest) {
        let client = if req.repeatable {
            self.pooled.clone()
        } else {
            self.unpooled.clone()
        };
        let permits = Arc::new(Semaphore::new(READ_AHEAD_CHUNKS));
        let exchange = Exchange {
            run,
            address: self.address,
            client,
            permits: Arc::clone(&permits),
            events: self.events.clone(),
        };
        let task = self.io.spawn(exchange.run(req)).abort_handle();
        self.running
            .retain(|_, running| !running.task.is_finished());
        self.running.insert(run, Running { task, permits });
    }

    /// Lets more chunks of an answer in.
    pub(crate) fn read_more(&self, run: RunKey, chunks: u32) {
        if let Some(running) = self.running.get(&run) {
            running.permits.add_permits(chunks as usize);
        }
    }

    /// Breaks a request off; its connection is closed.
    pub(crate) fn cancel(&mut self, run: RunKey) {
        if let Some(running) = self.running.remove(&run) {
            running.task.abort();
        }
    }
}

fn client(max_idle: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(max_idle)
        .retry_canceled_requests(false)
        .build(connector)
}

/// One request and its answer.
struct Exchange {
    run: RunKey,
    address: SocketAddr,
    client: HttpClient,
    permits: Arc<Semaphore>,
    events: EventSender<CompanionEvent>,
}

impl Exchange {
    async fn run(self, req: UpstreamRequest) {
        let run = self.run;
        let event = match self.exchange(req).await {
            Ok(()) => CompanionEvent::UpstreamEnded { run },
            Err(failure) => CompanionEvent::UpstreamFailed { run, failure },
        };
        self.events.send(event);
    }

    async fn exchange(&self, req: UpstreamRequest) -> Result<(), UpstreamFailure> {
        let req = self.request(req).ok_or(UpstreamFailure::NotSent)?;
        let resp = self.client.request(req).await.map_err(|e| {
            if e.is_connect() {
                UpstreamFailure::NotSent
            } else {
                UpstreamFailure::Broken
            }
        })?;
        let content_type = resp
            .headers()
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .map(CompactString::from);
        self.events.send(CompanionEvent::UpstreamHead {
            run: self.run,
            status: resp.status().as_u16(),
            content_type,
        });
        self.read(resp.into_body()).await
    }

    fn request(&self, req: UpstreamRequest) -> Option<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(req.method.as_str())
            .uri(format!("http://{}{}", self.address, req.path))
            .header(HOST, self.address.to_string())
            .header("egret-request-id", req.request.as_str())
            .header("egret-priority", u16::from(req.priority));
        if let Some(content_type) = &req.content_type {
            builder = builder.header(CONTENT_TYPE, content_type.as_str());
        }
        if let Some(key) = &req.key {
            builder = builder.header("idempotency-key", key.as_str());
        }
        builder.body(Full::new(Bytes::from(req.body))).ok()
    }

    async fn read(&self, mut body: Incoming) -> Result<(), UpstreamFailure> {
        loop {
            let permit = self.permits.acquire().await;
            permit.map_err(|_| UpstreamFailure::Broken)?.forget();
            let Some(frame) = body.frame().await else {
                return Ok(());
            };
            let frame = frame.map_err(|_| UpstreamFailure::Broken)?;
            if let Ok(bytes) = frame.into_data() {
                self.events.send(CompanionEvent::UpstreamBytes {
                    run: self.run,
                    bytes: bytes.into(),
                });
            }
        }
    }
}
