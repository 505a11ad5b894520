//! The open links of a process.

use egretstage_wire::{Frame, Hello};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Most links of a process.
const MAX_LINKS: u32 = 16_384;

/// Longest wait for the last frames to leave.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Identifies a link within a process; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// Hears what happens on the links of a process.
pub trait LinkObserver: Send + Sync + 'static {
    /// A link is open and the peer has said who it is.
    fn link_up(&self, link: LinkId, hello: Hello);
    /// A frame has arrived.
    fn frame(&self, link: LinkId, frame: Frame);
    /// A link has ended; no more of its frames will come.
    fn link_down(&self, link: LinkId, reason: String);
}

/// Sends frames on the open links of a process.
///
/// The flow control of the streams bounds what waits here.
#[derive(Clone, Debug)]
pub struct LinkTable {
    links: Arc<Mutex<HashMap<LinkId, UnboundedSender<Frame>>>>,
    next: Arc<AtomicU64>,
    open_links: Arc<Semaphore>,
}

impl Default for LinkTable {
    fn default() -> Self {
        Self {
            links: Arc::default(),
            next: Arc::default(),
            open_links: Arc::new(Semaphore::new(MAX_LINKS as usize)),
        }
    }
}

impl LinkTable {
    /// Queues a frame; a frame for a link that has ended is dropped.
    pub fn send(&self, link: LinkId, frame: Frame) {
        if let Some(tx) = self.lock().get(&link) {
            let _ = tx.send(frame);
        }
    }

    /// Closes a link after the frames that wait have been sent.
    pub fn close(&self, link: LinkId) {
        self.lock().remove(&link);
    }

    /// Closes all links and waits until their last frames have been sent.
    pub async fn close_all(&self) {
        let open = self.open_links.clone();
        self.lock().clear();
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, open.acquire_many(MAX_LINKS)).await;
    }

    /// Takes a place for the whole life of a link.
    pub(crate) async fn place(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.open_links).acquire_owned().await.ok()
    }

    pub(crate) fn open(&self, tx: UnboundedSender<Frame>) -> LinkId {
        let link = LinkId(self.next.fetch_add(1, Ordering::Relaxed));
        self.lock().insert(link, tx);
        link
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<LinkId, UnboundedSender<Frame>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
