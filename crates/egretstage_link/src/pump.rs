//! Transfers frames between a WebSocket and the process.

use crate::{LinkId, LinkObserver};
use egretstage_wire::{Frame, decode, encode};
use futures_util::{SinkExt, StreamExt};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

/// Time between two pings from the side that dialled.
///
/// A pong shows that the peer is alive, and a ping shows the peer that this
/// side is.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a message after which a link is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of frames written before the socket is flushed.
const MAX_FRAMES_PER_FLUSH: usize = 64;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LinkEnd {
    /// This side closed the link.
    #[error("closed by this side")]
    Closed,
    /// The peer closed the link.
    #[error("closed by the peer")]
    PeerClosed,
    /// No message arrived for [`IDLE_TIMEOUT`].
    #[error("silent for {} ms", IDLE_TIMEOUT.as_millis())]
    Silent,
    /// The peer sent something that isn't a frame, or a frame to it was too large.
    #[error("{0}")]
    Malformed(String),
    /// The connection broke.
    #[error("connection broke: {0}")]
    Broken(String),
}

impl From<tokio_tungstenite::tungstenite::Error> for LinkEnd {
    fn from(e: tokio_tungstenite::tungstenite::Error) -> Self {
        Self::Broken(e.to_string())
    }
}

/// The side of a link on which this process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkSide {
    /// Has dialled the link and sends pings.
    Dialler,
    /// Has accepted the link and replies to pings.
    Acceptor,
}

/// Transfers frames in both directions until the link ends; returns the reason.
pub(crate) async fn run<S>(
    socket: WebSocketStream<S>,
    side: LinkSide,
    link: LinkId,
    rx: UnboundedReceiver<Frame>,
    observer: &dyn LinkObserver,
) -> LinkEnd
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let (sink, source) = socket.split();
    let end = tokio::select! {
        end = write_frames(sink, side, rx) => end,
        end = read_frames(source, link, observer) => end,
    };
    end.unwrap_or_else(|end| end)
}

async fn write_frames<S>(
    mut sink: futures_util::stream::SplitSink<WebSocketStream<S>, Message>,
    side: LinkSide,
    mut rx: UnboundedReceiver<Frame>,
) -> Result<LinkEnd, LinkEnd>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut pings = interval(PING_INTERVAL);
    pings.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut frames = Vec::with_capacity(MAX_FRAMES_PER_FLUSH);
    loop {
        tokio::select! {
            count = rx.recv_many(&mut frames, MAX_FRAMES_PER_FLUSH) => {
                if count == 0 {
                    sink.close().await?;
                    return Ok(LinkEnd::Closed);
                }
                for frame in frames.drain(..) {
                    let buf = encode(&frame).map_err(|e| LinkEnd::Malformed(e.to_string()))?;
                    sink.feed(Message::binary(buf)).await?;
                }
                sink.flush().await?;
            }
            _ = pings.tick(), if side == LinkSide::Dialler => sink.send(Message::Ping(Vec::new().into())).await?,
        }
    }
}

async fn read_frames<S>(
    mut source: futures_util::stream::SplitStream<WebSocketStream<S>>,
    link: LinkId,
    observer: &dyn LinkObserver,
) -> Result<LinkEnd, LinkEnd>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    loop {
        let message = timeout_at(Instant::now() + IDLE_TIMEOUT, source.next())
            .await
            .map_err(|_| LinkEnd::Silent)?
            .ok_or(LinkEnd::PeerClosed)??;
        match message {
            Message::Binary(buf) => {
                let frame = decode(&buf).map_err(|e| LinkEnd::Malformed(e.to_string()))?;
                observer.frame(link, frame);
            }
            Message::Ping(_) | Message::Pong(_) => {}
            Message::Close(_) => return Ok(LinkEnd::PeerClosed),
            Message::Text(_) | Message::Frame(_) => {
                return Err(LinkEnd::Malformed("a text message".to_owned()));
            }
        }
    }
}
