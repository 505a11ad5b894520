//! The HTTP client of the upstream.

use crate::connections::{Connection, Connections};
use crate::{CompanionEvent, RunKey, UpstreamFailure, UpstreamRequest};
use compact_str::CompactString;
use egretstage_runtime::EventSender;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HOST};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;

/// Number of chunks of an answer that may be read from the upstream ahead of those
/// sent to an entry.
const READ_AHEAD_CHUNKS: usize = 64;

/// A request whose task has been started.
struct RunningRequest {
    task: AbortHandle,
    chunk_permits: Arc<Semaphore>,
}

/// Sends requests to the upstream and reports its answers as events.
pub(crate) struct UpstreamClient {
    address: SocketAddr,
    runtime: Handle,
    events: EventSender<CompanionEvent>,
    connections: Connections,
    running: HashMap<RunKey, RunningRequest>,
}

impl UpstreamClient {
    pub(crate) fn new(
        address: SocketAddr,
        runtime: Handle,
        events: EventSender<CompanionEvent>,
    ) -> Self {
        Self {
            address,
            runtime,
            events,
            connections: Connections::new(address),
            running: HashMap::new(),
        }
    }

    /// Sends a request to the upstream.
    pub(crate) fn start(&mut self, run: RunKey, req: UpstreamRequest) {
        let chunk_permits = Arc::new(Semaphore::new(READ_AHEAD_CHUNKS));
        let exchange = Exchange {
            run,
            address: self.address,
            connections: self.connections.clone(),
            chunk_permits: Arc::clone(&chunk_permits),
            events: self.events.clone(),
        };
        let task = self.runtime.spawn(exchange.run(req)).abort_handle();
        self.running
            .retain(|_, running| !running.task.is_finished());
        self.running.insert(
            run,
            RunningRequest {
                task,
                chunk_permits,
            },
        );
    }

    /// Allows more chunks of an answer to be read.
    pub(crate) fn allow_chunks(&self, run: RunKey, chunks: u32) {
        if let Some(running) = self.running.get(&run) {
            running.chunk_permits.add_permits(chunks as usize);
        }
    }

    /// Aborts a request and closes its connection.
    pub(crate) fn cancel(&mut self, run: RunKey) {
        if let Some(running) = self.running.remove(&run) {
            running.task.abort();
        }
    }
}

/// A request and its answer.
struct Exchange {
    run: RunKey,
    address: SocketAddr,
    connections: Connections,
    chunk_permits: Arc<Semaphore>,
    events: EventSender<CompanionEvent>,
}

impl Exchange {
    async fn run(self, req: UpstreamRequest) {
        let run = self.run;
        match self.send_and_read(req).await {
            Ok(connection) => {
                self.events.send(CompanionEvent::UpstreamEnded { run });
                self.connections.release(connection).await;
            }
            Err(failure) => {
                let event = CompanionEvent::UpstreamFailed { run, failure };
                self.events.send(event);
            }
        }
    }

    async fn send_and_read(&self, req: UpstreamRequest) -> Result<Connection, UpstreamFailure> {
        let (repeatable, not_after) = (req.repeatable, req.not_after);
        let req = self.build_request(req).ok_or(UpstreamFailure::NotSent)?;
        let mut connection = self.connections.acquire(repeatable).await?;
        let resp = connection.send(req, not_after).await?;
        // Nobody asked the upstream for another protocol, and other interim answers aren't
        // final.
        if resp.status().is_informational() {
            return Err(UpstreamFailure::Broken);
        }
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
        self.read_body(resp.into_body()).await?;
        Ok(connection)
    }

    fn build_request(&self, req: UpstreamRequest) -> Option<Request<Full<Bytes>>> {
        let mut builder = Request::builder()
            .method(req.method.as_str())
            .uri(req.path.as_str())
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

    async fn read_body(&self, mut body: Incoming) -> Result<(), UpstreamFailure> {
        loop {
            let permit = self.chunk_permits.acquire().await;
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
