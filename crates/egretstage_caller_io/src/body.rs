//! Reads the bodies of requests within their bounds.

use crate::bounds::{CallerBounds, GrowingBody, HeldBody, TurnedAway};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Why a body can't be read to its end. The rest of the request isn't read.
#[derive(Debug, thiserror::Error)]
pub enum UnreadBody {
    /// The body is over the limit.
    #[error("the body is over {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body made no progress.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// There is no room for the body, or no longer.
    #[error("there is no room for the body")]
    NoRoom,
    /// The body isn't valid, or the connection is lost.
    #[error("the body is broken: {0}")]
    Broken(#[from] hyper::Error),
}

/// Reads a body of at most `limit` bytes into one buffer, which grows up to the length that is
/// announced.
///
/// # Errors
///
/// Returns an error when the body is over the limit, too slow or broken, or when there is no
/// room for it.
pub async fn read_body(
    mut body: Incoming,
    mut growing: GrowingBody,
    limit: usize,
    bounds: &CallerBounds,
) -> Result<(Vec<u8>, HeldBody), UnreadBody> {
    let too_large = || {
        bounds.record(TurnedAway::BodyTooLarge);
        UnreadBody::TooLarge { limit }
    };
    let announced = body.size_hint().exact();
    let announced = announced.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if announced.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let max_bytes = announced.unwrap_or(limit);
    loop {
        let expires = tokio::time::Instant::from_std(growing.expires());
        let frame = tokio::select! {
            biased;
            () = growing.given_up() => return Err(UnreadBody::NoRoom),
            frame = tokio::time::timeout_at(expires, body.frame()) => frame,
        };
        let Ok(frame) = frame else {
            bounds.record(TurnedAway::BodyTooSlow);
            return Err(UnreadBody::TooSlow);
        };
        let Some(frame) = frame else {
            break;
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if data.len() > limit - growing.len() {
            return Err(too_large());
        }
        if !growing.extend(&data, max_bytes) {
            bounds.record(TurnedAway::NoRoomForBody);
            return Err(UnreadBody::NoRoom);
        }
    }
    growing.complete().ok_or(UnreadBody::NoRoom)
}
