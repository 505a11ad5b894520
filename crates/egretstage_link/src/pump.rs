//! Moves frames between a WebSocket and the process.

use crate::{LinkId, LinkObserver};
use egretstage_wire::{Frame, decode, encode};
use futures_util::{SinkExt, StreamExt};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

/// Time between two pings of the side that dialled; the answers tell it that
/// the peer lives, the pings tell the peer.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);

/// A link without a message for this long is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Most frames written before the socket is flushed.
const MAX_WRITE_BATCH: usize = 64;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LinkEnd {
    /// This side closed it.
    #[error("closed by this side")]
    Closed,
    /// The peer closed it.
    #[error("closed by the peer")]
    PeerClosed,
    /// Nothing was heard for [`IDLE_TIMEOUT`].
    #[error("silent for {} ms", IDLE_TIMEOUT.as_millis())]
    Silent,
    /// The peer sent something that isn't a frame.
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

/// Which end of a link this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkSide {
    /// It has dialled and sends pings.
    Dialler,
    /// It has accepted the link and answers pings.
    Acceptor,
}

/// Runs a link until it ends and returns the reason.
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
        end = write(sink, side, rx) => end,
        end = read(source, link, observer) => end,
    };
    end.unwrap_or_else(|end| end)
}

async fn write<S>(
    mut sink: futures_util::stream::SplitSink<WebSocketStream<S>, Message>,
    side: LinkSide,
    mut rx: UnboundedReceiver<Frame>,
) -> Result<LinkEnd, LinkEnd>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut pings = interval(PING_INTERVAL);
    pings.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut frames = Vec::with_capacity(MAX_WRITE_BATCH);
    loop {
        tokio::select! {
            count = rx.recv_many(&mut frames, MAX_WRITE_BATCH) => {
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

async fn read<S>(
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
