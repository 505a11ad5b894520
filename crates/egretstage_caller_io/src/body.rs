//! Reads the bodies of requests within their bounds.

use crate::bounds::{CallerBounds, GrowingBody, HeldBody, TurnedAway};
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};

/// Why a body can't be read to its end. The rest of the request isn't read.
#[derive(Debug, thiserror::Error)]
pub enum UnreadBody {
    /// The body is over the limit.
    #[error("the body is over {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
        /// Whether the body was read to its end and discarded.
        is_discarded: bool,
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
    fill(&mut body, &mut growing, limit, bounds).await?;
    growing.complete().ok_or(UnreadBody::NoRoom)
}

/// Reads a body as [`read_body`] does. Of one over the limit, it discards up to
/// `discarded_bytes` more, so that a caller that is still sending reads the answer.
///
/// # Errors
///
/// Returns the errors of [`read_body`].
pub async fn read_body_discarding(
    mut body: Incoming,
    mut growing: GrowingBody,
    limit: usize,
    discarded_bytes: usize,
    bounds: &CallerBounds,
) -> Result<(Vec<u8>, HeldBody), UnreadBody> {
    let mut filled = fill(&mut body, &mut growing, limit, bounds).await;
    if let Err(UnreadBody::TooLarge { is_discarded, .. }) = &mut filled {
        let mut discarded = 0;
        while discarded < discarded_bytes {
            match next_data(&mut body, &growing, bounds).await {
                Ok(Some(data)) => discarded += data.len(),
                Ok(None) => {
                    *is_discarded = true;
                    break;
                }
                Err(_) => break,
            }
        }
    }
    filled?;
    growing.complete().ok_or(UnreadBody::NoRoom)
}

async fn fill(
    body: &mut Incoming,
    growing: &mut GrowingBody,
    limit: usize,
    bounds: &CallerBounds,
) -> Result<(), UnreadBody> {
    let too_large = || {
        bounds.record(TurnedAway::BodyTooLarge);
        UnreadBody::TooLarge {
            limit,
            is_discarded: false,
        }
    };
    let announced = body.size_hint().exact();
    let announced = announced.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if announced.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let max_bytes = announced.unwrap_or(limit);
    while let Some(data) = next_data(body, growing, bounds).await? {
        if data.len() > limit - growing.len() {
            return Err(too_large());
        }
        if !growing.extend(&data, max_bytes) {
            bounds.record(TurnedAway::NoRoomForBody);
            return Err(UnreadBody::NoRoom);
        }
    }
    Ok(())
}

/// Returns the next bytes of a body, `None` at its end.
async fn next_data(
    body: &mut Incoming,
    growing: &GrowingBody,
    bounds: &CallerBounds,
) -> Result<Option<Bytes>, UnreadBody> {
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
            return Ok(None);
        };
        if let Ok(data) = frame?.into_data() {
            return Ok(Some(data));
        }
    }
}
