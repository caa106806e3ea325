//! The way to the targets' nodes: this node's own target, or a call connection.

use bytes::Bytes;
use crank_engine::balance::ChosenTarget;
use crank_mesh::call::{Peer, Pool, RequestHandler};
use crank_protocol::Name;
use crank_protocol::call::{RefusedRequest, RequestHead, Response};

use crate::entry::Transport;

/// Reaches every target's node.
///
/// ```
/// use crank_mesh::call::{Pool, RequestHandler};
/// use crank_node::transport::MeshTransport;
/// use crank_protocol::wire::Hello;
/// fn wire<T: RequestHandler>(hello: Hello, target: T) -> MeshTransport<T> {
///     MeshTransport::new(hello.member.id.clone(), target, Pool::new(hello))
/// }
/// ```
pub struct MeshTransport<T> {
    own: Name,
    target: T,
    pool: Pool,
}

impl<T: RequestHandler> MeshTransport<T> {
    /// The way from the node of this name, whose own target is `target`.
    ///
    /// ```
    /// # use crank_mesh::call::{Pool, RequestHandler};
    /// # use crank_node::transport::MeshTransport;
    /// # use crank_protocol::Name;
    /// fn wire<T: RequestHandler>(own: Name, target: T, pool: Pool) -> MeshTransport<T> {
    ///     MeshTransport::new(own, target, pool)
    /// }
    /// ```
    #[must_use]
    pub fn new(own: Name, target: T, pool: Pool) -> Self {
        Self { own, target, pool }
    }
}

impl<T: RequestHandler> Transport for MeshTransport<T> {
    async fn call(
        &self,
        target: &ChosenTarget,
        head: RequestHead,
        body: Bytes,
    ) -> Result<Response, RefusedRequest> {
        if target.id == self.own {
            return self.target.handle(head, body).await;
        }
        let peer = Peer {
            id: target.id.clone(),
            address: target.address,
        };
        self.pool.send_request(&peer, head, body).await
    }
}
