//! One sending of a call to an upstream.

use crate::dialect::{AnswerHead, ForwardHead, HttpDialect};
use crate::upstream_pool::{Connection, UpstreamPool};
use compact_str::CompactString;
use egretstage_dispatch::{Attempt, AttemptEnd, NotRunCause, UnknownCause};
use egretstage_wire::RequestId;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderName, TE};
use hyper::header::{PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TRAILER, TRANSFER_ENCODING, UPGRADE};
use hyper::http::{request, response};
use hyper::{Request, Response, Uri};
use std::time::Instant;

/// Largest answer that is not a stream of events, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

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
    pool: &UpstreamPool,
    dialect: &dyn HttpDialect,
    req: &HeldRequest,
    attempt: &Attempt,
    resume_after: Option<CompactString>,
) -> Attempted {
    let mut connection = match pool.checkout(&attempt.instance, attempt.address).await {
        Ok(connection) => connection,
        Err(cause) => return Attempted::Ended(AttemptEnd::NotSent { cause }),
    };
    let forwarded = forwarded(dialect, req, attempt, resume_after);
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
    judge(pool, dialect, req, attempt, answer).await
}

/// Decides whether an answer can be passed on.
async fn judge(
    pool: &UpstreamPool,
    dialect: &dyn HttpDialect,
    req: &HeldRequest,
    attempt: &Attempt,
    answer: OpenAnswer,
) -> Attempted {
    let says = dialect.answer_head(&answer.head);
    let status = answer.head.status;
    if says.request.as_ref().is_some_and(|id| *id != req.request) {
        return foreign();
    }
    if says.not_run || says.other_upstream {
        let cause = if says.other_upstream {
            NotRunCause::OtherUpstream
        } else {
            NotRunCause::Full
        };
        // The body is read so that the connection can be used again.
        drop(finish(pool, attempt, answer).await);
        return Attempted::Ended(AttemptEnd::NotRun { cause });
    }
    if status.is_success() {
        if is_genuine(&says, &answer.head.headers) {
            return Attempted::Open(answer);
        }
        return foreign();
    }
    let promises_not_run = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    match finish(pool, attempt, answer).await {
        // Such a status would promise the caller what the upstream didn't say.
        Some(_) if promises_not_run => {
            let cause = UnknownCause::ForeignAnswer;
            Attempted::Ended(AttemptEnd::Unknown { cause })
        }
        Some(whole) => Attempted::Failed(Box::new(whole)),
        None => {
            let cause = UnknownCause::ConnectionLost;
            Attempted::Ended(AttemptEnd::Unknown { cause })
        }
    }
}

fn foreign() -> Attempted {
    let cause = UnknownCause::ForeignAnswer;
    Attempted::Ended(AttemptEnd::Unknown { cause })
}

fn is_genuine(says: &AnswerHead, headers: &HeaderMap) -> bool {
    says.signed && says.request.is_some() && !headers.contains_key(CONTENT_ENCODING)
}

/// Reads an answer to its end and keeps the connection; none if it is cut.
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
    let collected = Limited::new(body, MAX_ANSWER_BYTES).collect();
    let body = tokio::time::timeout_at(expires, collected)
        .await
        .ok()?
        .ok()?;
    pool.keep(&attempt.instance, connection);
    Some(Response::from_parts(head, body.to_bytes()))
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
    dialect.forward(&mut headers, &forward);
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
