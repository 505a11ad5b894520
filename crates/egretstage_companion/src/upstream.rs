//! The HTTP client of the upstream.

use crate::{CompanionEvent, RunKey, UpstreamFailure, UpstreamRequest};
use compact_str::CompactString;
use egretstage_runtime::EventSender;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio::time::timeout;

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
            pooled: client(),
            running: HashMap::new(),
        }
    }

    /// Sends a request to the upstream.
    pub(crate) fn start(&mut self, run: RunKey, req: UpstreamRequest) {
        let permits = Arc::new(Semaphore::new(READ_AHEAD_CHUNKS));
        let exchange = Exchange {
            run,
            address: self.address,
            client: self.pooled.clone(),
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

fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .retry_canceled_requests(false)
        .build(connector)
}

/// Checks that a request may still be started; the process may have been
/// paused since it was handed over.
fn check_time(not_after: Instant) -> Result<(), UpstreamFailure> {
    if Instant::now() < not_after {
        Ok(())
    } else {
        Err(UpstreamFailure::TooLate)
    }
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
        let (repeatable, not_after) = (req.repeatable, req.not_after);
        let req = self.request(req).ok_or(UpstreamFailure::NotSent)?;
        let resp = if repeatable {
            self.send_pooled(req, not_after).await?
        } else {
            self.send_once(req, not_after).await?
        };
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

    async fn send_pooled(
        &self,
        req: Request<Full<Bytes>>,
        not_after: Instant,
    ) -> Result<Response<Incoming>, UpstreamFailure> {
        check_time(not_after)?;
        self.client.request(req).await.map_err(|e| {
            if e.is_connect() {
                UpstreamFailure::NotSent
            } else {
                UpstreamFailure::Broken
            }
        })
    }

    /// Sends a call that may not be repeated on a connection of its own.
    ///
    /// Up to the check of the time nothing has been written, which proves that
    /// a call that failed before did not run; after it nothing is proved.
    async fn send_once(
        &self,
        req: Request<Full<Bytes>>,
        not_after: Instant,
    ) -> Result<Response<Incoming>, UpstreamFailure> {
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let Ok(Ok(tcp)) = connect else {
            return Err(UpstreamFailure::NotSent);
        };
        let _ = tcp.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(tcp)).await;
        let (mut sender, connection) = handshake.map_err(|_| UpstreamFailure::NotSent)?;
        tokio::spawn(connection);
        sender.ready().await.map_err(|_| UpstreamFailure::NotSent)?;
        check_time(not_after)?;
        let resp = sender.send_request(req).await;
        resp.map_err(|_| UpstreamFailure::Broken)
    }

    fn request(&self, req: UpstreamRequest) -> Option<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(req.method.as_str())
            .uri(self.uri(&req))
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

    /// Returns the target: absolute for the pool, which connects by it.
    fn uri(&self, req: &UpstreamRequest) -> String {
        if req.repeatable {
            format!("http://{}{}", self.address, req.path)
        } else {
            req.path.to_string()
        }
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
