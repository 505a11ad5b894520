//! Answers that the entry generates itself: refusals and errors, as JSON.

use crate::answer::AnswerCut;
use crate::{Refusal, RefusalKind};
use egretstage_wire::{NotRunReason, RequestId};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

/// The body of any answer to a caller.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, AnswerCut>;

pub(crate) fn invalid_response(
    status: u16,
    code: &str,
    message: &str,
    request: &RequestId,
) -> Response<ResponseBody> {
    error_response(status, code, message, request, "not-run")
}

/// Returns an answer after which the connection is closed.
pub(crate) fn closing_response(
    status: u16,
    code: &str,
    message: &str,
    request: &RequestId,
) -> Response<ResponseBody> {
    let mut resp = invalid_response(status, code, message, request);
    let close = HeaderValue::from_static("close");
    resp.headers_mut().insert(CONNECTION, close);
    resp
}

pub(crate) fn refusal_response(refusal: &Refusal, request: &RequestId) -> Response<ResponseBody> {
    let mut resp = match refusal.kind {
        RefusalKind::UnknownToken => {
            invalid_response(401, "unknown_token", "the token belongs to nobody", request)
        }
        RefusalKind::UnknownService => {
            invalid_response(404, "unknown_service", "no such service or model", request)
        }
        RefusalKind::NotRun(reason) => {
            let text = format!("the request was not run: {reason}");
            let status = if reason == NotRunReason::KeyReused {
                422
            } else {
                503
            };
            error_response(status, <&str>::from(reason), &text, request, "not-run")
        }
        RefusalKind::Unknown(reason) => {
            let advice = if refusal.retry_after.is_some() {
                "ask again with the same Idempotency-Key"
            } else {
                "it had no Idempotency-Key: look whether it ran before asking again"
            };
            let text = format!("the request may or may not have run ({reason}); {advice}");
            error_response(504, <&str>::from(reason), &text, request, "unknown")
        }
    };
    if let Some(retry_after) = refusal.retry_after {
        let seconds = retry_after.as_millis().div_ceil(1000);
        if let Ok(value) = HeaderValue::try_from(seconds.to_string()) {
            resp.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    resp
}

pub(crate) fn error_response(
    status: u16,
    code: &str,
    message: &str,
    request: &RequestId,
    outcome: &'static str,
) -> Response<ResponseBody> {
    let body = json!({"error": {
        "code": code, "message": message, "request_id": request.as_str(), "outcome": outcome,
    }});
    let body = Full::new(Bytes::from(body.to_string()))
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut resp = Response::new(body);
    *resp.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let json = HeaderValue::from_static("application/json");
    resp.headers_mut().insert(CONTENT_TYPE, json);
    set_outcome_headers(&mut resp, request, outcome);
    resp
}

pub(crate) fn set_outcome_headers(
    resp: &mut Response<ResponseBody>,
    request: &RequestId,
    outcome: &'static str,
) {
    let headers = resp.headers_mut();
    if let Ok(value) = HeaderValue::try_from(request.as_str()) {
        headers.insert("egret-request-id", value);
    }
    headers.insert("egret-outcome", HeaderValue::from_static(outcome));
}
