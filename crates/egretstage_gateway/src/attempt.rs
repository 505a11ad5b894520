//! One sending of a call to an upstream.

use crate::dialect::{AnswerHead, ForwardHead, HttpDialect};
use crate::exchange::Gateway;
use crate::upstream_pool::{Connection, UpstreamPool};
use compact_str::CompactString;
use egretstage_dispatch::{
    Attempt, AttemptEnd, DispatchEvent, NotRunCause, UnknownCause, UpstreamNotice,
};
use egretstage_wire::RequestId;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderName, TE};
use hyper::header::{PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TRAILER, TRANSFER_ENCODING, UPGRADE};
use hyper::http::{request, response};
use hyper::{Request, Response, Uri};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Largest answer that is not a stream of events, in bytes: as much as callers
/// may send by default, several times over.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Bytes of all answers that are read at one moment: a part of the memory of
/// the smallest instances.
const MAX_HELD_BYTES: usize = 32 * 1024 * 1024;

/// Largest rest of an answer that is read only to keep its connection.
const MAX_DRAINED_BYTES: usize = 64 * 1024;

/// Longest time for that: a new connection takes a few milliseconds.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(250);

/// A caller's request, kept until its answer is passed on.
pub(crate) struct HeldRequest {
    pub(crate) request: RequestId,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
}

/// An upstream's answer whose head has been read.
pub(crate) struct OpenAnswer {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
}

/// An upstream's whole answer.
pub(crate) type WholeAnswer = Response<Bytes>;

/// How an attempt ended.
pub(crate) enum Attempted {
    /// The answer can be passed on.
    Open(OpenAnswer),
    /// The answer is an error; it can be passed on or replaced.
    Failed(Box<WholeAnswer>),
    /// There is no answer to pass on.
    Ended(AttemptEnd),
}

/// Sends a request to an upstream and reads the head of the answer.
pub(crate) async fn send(
    gateway: &Gateway,
    req: &HeldRequest,
    attempt: &Attempt,
    resume_after: Option<CompactString>,
) -> Attempted {
    let pool = &gateway.pool;
    let mut connection = match pool.checkout(&attempt.instance, attempt.address).await {
        Ok(connection) => connection,
        Err(cause) => return Attempted::Ended(AttemptEnd::NotSent { cause }),
    };
    let forwarded = forwarded(&*gateway.dialect, req, attempt, resume_after);
    let resp = match connection.sender.try_send_request(forwarded).await {
        Ok(resp) => resp,
        Err(mut e) => {
            let unsent = e.take_message().is_some();
            log::debug!(request:display = req.request, error:display = e.error(); "no answer");
            return Attempted::Ended(if unsent {
                let cause = NotRunCause::ConnectionClosed;
                AttemptEnd::NotSent { cause }
            } else {
                let cause = UnknownCause::ConnectionLost;
                AttemptEnd::Unknown { cause }
            });
        }
    };
    let (head, body) = resp.into_parts();
    connection.note_keep_alive(&head.headers);
    let answer = OpenAnswer {
        head,
        body,
        connection,
    };
    judge(gateway, req, attempt, answer).await
}

/// Decides whether an answer can be passed on.
async fn judge(
    gateway: &Gateway,
    req: &HeldRequest,
    attempt: &Attempt,
    answer: OpenAnswer,
) -> Attempted {
    let says = gateway.dialect.parse_answer_head(&answer.head);
    let status = answer.head.status;
    pass_notices(gateway, attempt, &says);
    if says.request.as_ref().is_some_and(|id| *id != req.request) {
        return foreign();
    }
    if let Some(cause) = says.not_run {
        drain(Rc::clone(&gateway.pool), attempt, answer);
        return Attempted::Ended(AttemptEnd::NotRun { cause });
    }
    if status.is_success() {
        if is_genuine(&says, &answer.head.headers) {
            return Attempted::Open(answer);
        }
        return foreign();
    }
    let promises_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    match finish(&gateway.pool, attempt, answer).await {
        // Such a status would promise the caller what the upstream didn't say.
        Some(_) if promises_not_run => {
            let cause = UnknownCause::ForeignAnswer;
            Attempted::Ended(AttemptEnd::Unknown { cause })
        }
        // A signed answer whose request isn't named may be a late copy of one
        // that was passed on before.
        Some(_) if says.signed && says.request.is_none() => foreign(),
        Some(whole) => Attempted::Failed(Box::new(whole)),
        None => {
            let cause = UnknownCause::ConnectionLost;
            Attempted::Ended(AttemptEnd::Unknown { cause })
        }
    }
}

/// Tells the dispatcher what the upstream says of itself.
///
/// What another upstream at the address says is not said by this one.
fn pass_notices(gateway: &Gateway, attempt: &Attempt, says: &AnswerHead) {
    if says.not_run == Some(NotRunCause::OtherUpstream) {
        return;
    }
    let leaving = says.leaving.then_some(UpstreamNotice::Leaving);
    let busy = says.back_off.map(UpstreamNotice::Busy);
    let upstream = attempt.upstream;
    for notice in leaving.into_iter().chain(busy) {
        let event = DispatchEvent::Said { upstream, notice };
        gateway.driver.event(event);
    }
}

/// Reads the rest of an answer that nobody needs, so that its connection can
/// be used again; one that doesn't end soon is closed.
fn drain(pool: Rc<UpstreamPool>, attempt: &Attempt, answer: OpenAnswer) {
    let instance = attempt.instance.clone();
    tokio::task::spawn_local(async move {
        let rest = Limited::new(answer.body, MAX_DRAINED_BYTES).collect();
        if let Ok(Ok(_)) = tokio::time::timeout(DRAIN_TIMEOUT, rest).await {
            pool.keep(&instance, answer.connection);
        }
    });
}

fn foreign() -> Attempted {
    let cause = UnknownCause::ForeignAnswer;
    Attempted::Ended(AttemptEnd::Unknown { cause })
}

fn is_genuine(says: &AnswerHead, headers: &HeaderMap) -> bool {
    says.signed && says.request.is_some() && !headers.contains_key(CONTENT_ENCODING)
}

/// Reads an answer to its end and keeps the connection; none if it is cut, or
/// larger than it may be.
pub(crate) async fn finish(
    pool: &UpstreamPool,
    attempt: &Attempt,
    answer: OpenAnswer,
) -> Option<WholeAnswer> {
    let OpenAnswer {
        head,
        body,
        connection,
    } = answer;
    let expires = tokio::time::Instant::from_std(attempt.expires);
    let body = tokio::time::timeout_at(expires, collect(pool, body)).await;
    let body = body.ok().flatten()?;
    pool.keep(&attempt.instance, connection);
    Some(Response::from_parts(head, body))
}

/// Reads a body within what one answer, and all at one moment, may take.
async fn collect(pool: &UpstreamPool, mut body: Incoming) -> Option<Bytes> {
    let mut held = pool.held_bytes();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > MAX_ANSWER_BYTES || !held.add(data.len(), MAX_HELD_BYTES) {
            log::warn!(bytes = bytes.len(); "an upstream's answer is too large");
            return None;
        }
        bytes.extend_from_slice(&data);
    }
    Some(Bytes::from(bytes))
}

fn forwarded(
    dialect: &dyn HttpDialect,
    req: &HeldRequest,
    attempt: &Attempt,
    resume_after: Option<CompactString>,
) -> Request<Full<Bytes>> {
    let mut forwarded = Request::new(Full::new(req.body.clone()));
    *forwarded.method_mut() = req.head.method.clone();
    let path = req.head.uri.path_and_query().cloned();
    *forwarded.uri_mut() = path.map_or_else(|| Uri::from_static("/"), Uri::from);
    let mut headers = req.head.headers.clone();
    strip_connection_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let forward = ForwardHead {
        budget: attempt.expires.saturating_duration_since(Instant::now()),
        instance: attempt.instance.clone(),
        organisation: attempt.organisation.clone(),
        resume_after,
    };
    dialect.rewrite_headers(&mut headers, &forward);
    *forwarded.headers_mut() = headers;
    forwarded
}

/// Removes the headers that concern one connection.
pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let always = [
        CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ];
    for name in always {
        headers.remove(name);
    }
}
