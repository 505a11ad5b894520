//! The open links of a process.

use egretstage_wire::{Frame, Hello};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum number of open links of a process.
const MAX_LINKS: u32 = 16_384;

/// Longest wait for the queued frames to be sent when all links are closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Identifies a link within a process; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// Receives the events of the links of a process.
pub trait LinkObserver: Send + Sync + 'static {
    /// Called when a link is open and the peer's `Hello` has arrived.
    fn link_up(&self, link: LinkId, hello: Hello);
    /// Called when a frame has arrived.
    fn frame(&self, link: LinkId, frame: Frame);
    /// Called when a link has ended; no more of its frames arrive.
    fn link_down(&self, link: LinkId, reason: String);
}

/// Sends frames on the open links of a process.
///
/// Each link has a queue without a limit of its own: the flow control of the
/// streams limits how many frames wait in it.
#[derive(Clone, Debug)]
pub struct LinkTable {
    senders: Arc<Mutex<HashMap<LinkId, UnboundedSender<Frame>>>>,
    next_id: Arc<AtomicU64>,
    free_slots: Arc<Semaphore>,
}

impl Default for LinkTable {
    fn default() -> Self {
        Self {
            senders: Arc::default(),
            next_id: Arc::default(),
            free_slots: Arc::new(Semaphore::new(MAX_LINKS as usize)),
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

    /// Closes a link after its queued frames have been sent.
    pub fn close(&self, link: LinkId) {
        self.lock().remove(&link);
    }

    /// Closes all links and waits, for at most 2 s, until their queued frames have
    /// been sent.
    pub async fn close_all(&self) {
        let slots = self.free_slots.clone();
        self.lock().clear();
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, slots.acquire_many(MAX_LINKS)).await;
    }

    /// Waits for a free slot, which a link occupies until it ends.
    pub(crate) async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.free_slots).acquire_owned().await.ok()
    }

    /// Adds an open link, whose frames go to `tx`, and returns its ID.
    pub(crate) fn register(&self, tx: UnboundedSender<Frame>) -> LinkId {
        let link = LinkId(self.next_id.fetch_add(1, Ordering::Relaxed));
        self.lock().insert(link, tx);
        link
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<LinkId, UnboundedSender<Frame>>> {
        self.senders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
