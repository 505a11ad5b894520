//! Multiplexed WebSocket links between the system's own processes.
//!
//! An entry [dials](dial) a companion; a companion [serves](serve) its links.
//! Both sides prove the shared key in the handshake's `Authorization` header,
//! then exchange a `Hello`. A [`LinkObserver`] is notified of each link's start,
//! its frames and its end. A link without a message for [`IDLE_TIMEOUT`] is
//! closed, which detects half-open connections.

mod handshake;
mod pump;
mod table;

pub use handshake::{LinkError, LinkIdentity, dial, serve};
pub use pump::{IDLE_TIMEOUT, PING_INTERVAL};
pub use table::{LinkId, LinkObserver, LinkTable};

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::{LinkError, LinkId, LinkIdentity, LinkObserver, LinkTable};
}
