//! The callers' HTTP server.

use crate::answer::{AnswerBody, CallerGuard};
use crate::responses::{ResponseBody, invalid, refused, tag};
use crate::{
    AnswerPart, CallKey, CallRequest, EntryEvent, InvalidRequest, RawRequest, Refusal, RefusalKind,
    RequestLimits,
};
use egretstage_runtime::EventSender;
use egretstage_wire::{Incarnation, RequestId};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;

/// Longest wait for the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait for the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Most bytes beyond the limit of a body that are read and dropped.
const MAX_DROPPED_BYTES: usize = 16 * 1024 * 1024;

/// Largest size of all headers of a request, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Most headers of a request.
const MAX_HEADERS: usize = 64;

/// Pause after a connection that couldn't be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Wait for one more connection from the listener's backlog at a stop.
const BACKLOG_WAIT: Duration = Duration::from_millis(20);

/// Wait for the last bytes of answers beyond their deadline.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

type AnswerSenders = Arc<Mutex<HashMap<CallKey, UnboundedSender<AnswerPart>>>>;

/// Passes parts of answers to the callers' connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answers(AnswerSenders);

impl Answers {
    /// Passes a part on; a part for a caller who hung up is dropped.
    pub(crate) fn send(&self, call: CallKey, part: AnswerPart) {
        let last = matches!(
            part,
            AnswerPart::End | AnswerPart::Cut | AnswerPart::Refused(_)
        );
        let mut senders = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(tx) = senders.get(&call) {
            let _ = tx.send(part);
        }
        if last {
            senders.remove(&call);
        }
    }

    fn open(&self, call: CallKey) -> UnboundedReceiver<AnswerPart> {
        let (tx, rx) = unbounded_channel();
        let mut senders = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        senders.insert(call, tx);
        rx
    }

    fn forget(&self, call: CallKey) {
        let mut senders = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        senders.remove(&call);
    }
}

/// What all connections of the server share.
pub(crate) struct CallerServer {
    pub(crate) events: EventSender<EntryEvent>,
    pub(crate) answers: Answers,
    pub(crate) incarnation: Incarnation,
    pub(crate) limits: RequestLimits,
    pub(crate) max_body_bytes: usize,
    pub(crate) max_connections: usize,
    next_call: AtomicU64,
}

impl CallerServer {
    pub(crate) fn new(
        events: EventSender<EntryEvent>,
        answers: Answers,
        incarnation: Incarnation,
        settings: &egretstage_config::settings::CallerSettings,
    ) -> Self {
        Self {
            events,
            answers,
            incarnation,
            limits: RequestLimits {
                default_budget: Duration::from_millis(settings.default_budget_ms),
                max_budget: Duration::from_millis(settings.max_budget_ms),
            },
            max_body_bytes: settings.max_body_bytes,
            max_connections: settings.max_connections,
            next_call: AtomicU64::new(0),
        }
    }

    /// Accepts connections until told to stop, then serves those that are
    /// open to their end.
    pub(crate) async fn run(
        self: Arc<Self>,
        listener: TcpListener,
        mut stop: watch::Receiver<bool>,
    ) {
        let places = Arc::new(Semaphore::new(self.max_connections));
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stopped(&mut stop) => break,
            };
            match accepted {
                Ok((tcp, _)) => self.start_connection(tcp, &places, &stop),
                Err(e) => {
                    log::warn!(error:display = e; "a connection can't be accepted");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        self.accept_backlog(&listener, &places, &stop).await;
        drop(listener);
        let all = u32::try_from(self.max_connections).unwrap_or(u32::MAX);
        let longest = HEADER_TIMEOUT + BODY_TIMEOUT + self.limits.max_budget + FLUSH_TIMEOUT;
        if timeout(longest, places.acquire_many(all)).await.is_err() {
            log::warn!("callers that don't read their answers are cut off");
        }
    }

    /// Accepts what the kernel holds for the listener, which would be reset
    /// otherwise.
    async fn accept_backlog(
        self: &Arc<Self>,
        listener: &TcpListener,
        places: &Arc<Semaphore>,
        stop: &watch::Receiver<bool>,
    ) {
        while let Ok(Ok((tcp, _))) = timeout(BACKLOG_WAIT, listener.accept()).await {
            self.start_connection(tcp, places, stop);
        }
    }

    fn start_connection(
        self: &Arc<Self>,
        tcp: TcpStream,
        places: &Arc<Semaphore>,
        stop: &watch::Receiver<bool>,
    ) {
        let Ok(place) = Arc::clone(places).try_acquire_owned() else {
            log::warn!(limit = self.max_connections; "connection refused: too many");
            return;
        };
        let server = Arc::clone(self);
        let stop = stop.clone();
        tokio::spawn(async move {
            server.connection(tcp, stop).await;
            drop(place);
        });
    }

    async fn connection(self: Arc<Self>, tcp: TcpStream, mut stop: watch::Receiver<bool>) {
        let _ = tcp.set_nodelay(true);
        let service = service_fn(|req| {
            let server = Arc::clone(&self);
            async move { Ok::<_, Infallible>(server.serve(req).await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(MAX_HEADER_BYTES)
            .max_headers(MAX_HEADERS)
            .serve_connection(TokioIo::new(tcp), service);
        tokio::pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = stopped(&mut stop) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(e) = ended {
            log::debug!("a caller's connection ended: {e}");
        }
    }

    async fn serve(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let sequence = self.next_call.fetch_add(1, Ordering::Relaxed);
        let text = format!("{:016x}-{sequence:x}", self.incarnation.0);
        let request = RequestId::try_from(text.as_str()).expect("hexadecimal digits are allowed");
        let call = CallKey(sequence);
        match self.read(req, call, &request).await {
            Ok(checked) => self.answer(checked, &request).await,
            Err(refused) => refused,
        }
    }

    async fn read(
        &self,
        req: Request<Incoming>,
        call: CallKey,
        request: &RequestId,
    ) -> Result<CallRequest, Response<ResponseBody>> {
        let (head, body) = req.into_parts();
        if head.version < Version::HTTP_11 {
            let text =
                "HTTP/1.1 is needed: older versions can't tell a cut answer from a whole one";
            return Err(invalid(505, "http_version", text, request));
        }
        let body = read_body(body, self.max_body_bytes);
        let body = match timeout(BODY_TIMEOUT, body).await {
            Ok(Ok(Some(body))) => body,
            Ok(Ok(None)) => {
                let text = format!("the body is over {} bytes", self.max_body_bytes);
                return Err(invalid(413, "body_too_large", &text, request));
            }
            Ok(Err(e)) => return Err(invalid(400, "body_broken", &e.to_string(), request)),
            Err(_) => {
                let text = "the body did not arrive in time";
                return Err(invalid(408, "body_too_slow", text, request));
            }
        };
        let text = |name: &str| header(&head.headers, name);
        let raw = RawRequest {
            method: head.method.to_string(),
            path: head
                .uri
                .path_and_query()
                .map(ToString::to_string)
                .unwrap_or_default(),
            authorization: text("authorization"),
            budget_ms: text("egret-budget-ms"),
            priority: text("egret-priority"),
            key: text("idempotency-key"),
            content_type: text("content-type"),
            body,
        };
        CallRequest::check(raw, call, request.clone(), &self.limits).map_err(|e| {
            let code = match e {
                InvalidRequest::Token => "no_token",
                _ => "invalid_request",
            };
            invalid(e.status(), code, &e.to_string(), request)
        })
    }

    async fn answer(&self, req: CallRequest, request: &RequestId) -> Response<ResponseBody> {
        let call = req.call;
        let mut rx = self.answers.open(call);
        let mut guard = CallerGuard::new(call, self.events.clone());
        let forget = scope_end(|| self.answers.forget(call));
        self.events.send(EntryEvent::RequestArrived(Box::new(req)));
        match rx.recv().await {
            Some(AnswerPart::Head {
                status,
                content_type,
            }) => {
                forget.keep();
                let body = AnswerBody::new(rx, guard).boxed_unsync();
                let mut resp = Response::new(body);
                *resp.status_mut() =
                    StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                if let Some(value) = content_type.and_then(|t| HeaderValue::try_from(&*t).ok()) {
                    resp.headers_mut().insert(CONTENT_TYPE, value);
                }
                tag(&mut resp, request, "completed");
                resp
            }
            Some(AnswerPart::Refused(refusal)) => {
                guard.disarm();
                refused(&refusal, request)
            }
            _ => {
                guard.disarm();
                let kind = RefusalKind::Unknown(egretstage_wire::UnknownReason::UpstreamCut);
                let retry_after = None;
                refused(&Refusal { kind, retry_after }, request)
            }
        }
    }
}

/// Reads a body; none stands for one that is too large.
///
/// What exceeds the limit is read and dropped, up to a bound, because a caller
/// that is still sending would not see the answer.
async fn read_body(mut body: Incoming, limit: usize) -> hyper::Result<Option<Vec<u8>>> {
    let mut held = Vec::new();
    let mut read = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        read += data.len();
        if read <= limit {
            held.extend_from_slice(&data);
        } else if read > limit.saturating_add(MAX_DROPPED_BYTES) {
            break;
        }
    }
    Ok((read <= limit).then_some(held))
}

/// Waits until the server is told to stop.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stop| *stop).await.is_ok();
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

/// Runs a closure at the end of the scope, also when a future is dropped.
struct ScopeEnd<F: FnMut()>(Option<F>);

fn scope_end<F: FnMut()>(f: F) -> ScopeEnd<F> {
    ScopeEnd(Some(f))
}

impl<F: FnMut()> ScopeEnd<F> {
    fn keep(mut self) {
        self.0 = None;
    }
}

impl<F: FnMut()> Drop for ScopeEnd<F> {
    fn drop(&mut self) {
        if let Some(f) = &mut self.0 {
            f();
        }
    }
}
