//! Answer bodies, and the answers that the entry generates itself.

use compact_str::CompactString;
use egretstage_dispatch::Refusal;
use egretstage_wire::RequestId;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::{Body, Bytes, Frame};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::Receiver;

/// Ends an answer early: the connection is aborted, so that the caller doesn't
/// consider the answer complete.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer was aborted")]
pub(crate) struct AnswerAborted;

/// Body of an answer to a caller.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, AnswerAborted>;

/// A body whose chunks arrive over a channel.
pub(crate) struct ChannelBody(pub(crate) Receiver<Result<Bytes, AnswerAborted>>);

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        self.0
            .poll_recv(cx)
            .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}

/// Returns a body that is complete from the start.
pub(crate) fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a plain-text answer that the entry generates itself.
pub(crate) fn own_answer(status: u16, text: &str) -> Response<AnswerBody> {
    let mut resp = Response::new(full_body(Bytes::from(format!("{text}\n"))));
    *resp.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    resp.headers_mut().insert(CONTENT_TYPE, plain);
    resp
}

/// Returns an answer of the entry's own after which the connection is closed, because the rest
/// of the request isn't read.
pub(crate) fn closing_answer(status: u16, text: &str) -> Response<AnswerBody> {
    let mut resp = own_answer(status, text);
    let value = HeaderValue::from_static("close");
    resp.headers_mut().insert(CONNECTION, value);
    resp
}

/// Returns the answer to a refused call; `close` asks the caller to close the
/// connection.
pub(crate) fn refusal_answer(
    refusal: &Refusal,
    request: &RequestId,
    close: bool,
) -> Response<AnswerBody> {
    let reason: &'static str = refusal.kind.into();
    let text = format!("request {request}: {reason}");
    let mut resp = own_answer(refusal.kind.status(), &text);
    if let Some(delay) = refusal.retry_after {
        let seconds = CompactString::from(format!("{:.3}", delay.as_secs_f64()));
        if let Ok(value) = HeaderValue::try_from(seconds.as_str()) {
            resp.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    if close {
        let value = HeaderValue::from_static("close");
        resp.headers_mut().insert(CONNECTION, value);
    }
    resp
}
