//! The way from a target to the backend server beside it.

use bytes::Bytes;
use crank_protocol::call::{Answer, Head, Refusal};
use crank_server::Announcement;
use tokio::sync::watch;

use crate::target;

/// Forwards to the address that the backend server announced last.
#[derive(Debug, Clone)]
pub struct Forward {
    forwarder: crank_server::Forwarder,
    announcement: watch::Receiver<Option<Announcement>>,
}

impl Forward {
    /// A forwarder that follows announcements.
    ///
    /// ```
    /// let (_announce, announcements) = tokio::sync::watch::channel(None);
    /// let forward = crank_node::forward::Forward::new(crank_server::Forwarder::new()?, announcements);
    /// # let _ = forward;
    /// # Ok::<(), crank_server::Error>(())
    /// ```
    #[must_use]
    pub fn new(
        forwarder: crank_server::Forwarder,
        announcement: watch::Receiver<Option<Announcement>>,
    ) -> Self {
        Self {
            forwarder,
            announcement,
        }
    }
}

impl target::Forwarder for Forward {
    async fn forward(&self, head: Head, body: Bytes) -> Result<Answer, Refusal> {
        let address = self
            .announcement
            .borrow()
            .as_ref()
            .map(|announced| announced.address);
        let address = address.ok_or(Refusal::NotSent)?;
        let time_left = head.time_left;
        self.forwarder.run(address, &head, body, time_left).await
    }
}
