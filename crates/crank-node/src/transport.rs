//! Sends attempts to the nodes of their targets: directly to this node's own target, over a call
//! connection to others.

use bytes::Bytes;
use crank_engine::balance::ChosenTarget;
use crank_mesh::call::{Peer, Pool, RequestHandler};
use crank_protocol::Name;
use crank_protocol::call::{RefusedRequest, RequestHead, Response};

use crate::entry::Transport;

/// Sends attempts to every target's node, this one included.
///
/// ```
/// use crank_mesh::call::{Pool, RequestHandler};
/// use crank_node::transport::MeshTransport;
/// use crank_protocol::wire::Hello;
/// fn transport<T: RequestHandler>(hello: Hello, target: T) -> MeshTransport<T> {
///     MeshTransport::new(hello.member.id.clone(), target, Pool::new(hello))
/// }
/// ```
pub struct MeshTransport<T> {
    node: Name,
    target: T,
    pool: Pool,
}

impl<T: RequestHandler> MeshTransport<T> {
    /// Creates the transport of the node `node`, whose own target is `target`.
    ///
    /// ```
    /// # use crank_mesh::call::{Pool, RequestHandler};
    /// # use crank_node::transport::MeshTransport;
    /// # use crank_protocol::Name;
    /// fn transport<T: RequestHandler>(own: Name, target: T, pool: Pool) -> MeshTransport<T> {
    ///     MeshTransport::new(own, target, pool)
    /// }
    /// ```
    #[must_use]
    pub fn new(node: Name, target: T, pool: Pool) -> Self {
        Self { node, target, pool }
    }
}

impl<T: RequestHandler> Transport for MeshTransport<T> {
    async fn call(
        &self,
        target: &ChosenTarget,
        head: RequestHead,
        body: Bytes,
    ) -> Result<Response, RefusedRequest> {
        if target.id == self.node {
            return self.target.handle(head, body).await;
        }
        let peer = Peer {
            id: target.id.clone(),
            address: target.address,
        };
        self.pool.send_request(&peer, head, body).await
    }
}
