//! Messages between the same part of two nodes.

use crank_protocol::Name;
use crank_protocol::wire::{MAX_PEER_MESSAGE_BYTES, PeerMessage};
use tokio::sync::broadcast;

use super::Handle;
use crate::Error;
use crate::actor::SendMessage;

/// A message that another node, or this node itself, has sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// The name of the sender.
    pub from: Name,
    /// The message.
    pub message: PeerMessage,
}

impl Handle {
    /// Sends a message to a member, which may be this node. The message may get lost.
    ///
    /// # Errors
    /// Returns [`Error::Oversized`] if the payload exceeds [`MAX_PEER_MESSAGE_BYTES`], and
    /// [`Error::Stopped`] after [`Handle::leave`].
    ///
    /// ```
    /// use crank_protocol::wire::{PeerMessage, Topic};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let id = Name::new("node-1")?;
    /// # let settings = crank_mesh::Settings::new(Name::new("lenha")?, id.clone(), place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = crank_mesh::start(settings, calls).await?;
    /// let mut received = mesh.messages();
    /// let message = PeerMessage { topic: Topic::Quota, payload: vec![1].into() };
    /// mesh.send_message(id, message.clone()).await?;
    /// assert_eq!(received.recv().await?.message, message);
    /// # Ok(())
    /// # }
    /// ```
    pub async fn send_message(&self, to: Name, message: PeerMessage) -> Result<(), Error> {
        let bytes = message.payload.len();
        if bytes > MAX_PEER_MESSAGE_BYTES {
            let limit = MAX_PEER_MESSAGE_BYTES;
            return Err(Error::Oversized { bytes, limit });
        }
        let outgoing = SendMessage { to, message };
        self.mesh.send(outgoing).await.map_err(|_| Error::Stopped)
    }

    /// Returns a channel with the messages of all topics that arrive from now on.
    ///
    /// A receiver that falls behind loses the oldest messages.
    #[must_use]
    pub fn messages(&self) -> broadcast::Receiver<ReceivedMessage> {
        self.messages.subscribe()
    }
}
