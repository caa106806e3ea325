//! The way to the targets' nodes: this node's own target, or a call connection.

use bytes::Bytes;
use crank_engine::balance::ChosenTarget;
use crank_mesh::call::{Peer, Pool, RequestHandler};
use crank_protocol::Name;
use crank_protocol::call::{RefusedRequest, RequestHead, Response};

use crate::entry::Links;

/// Reaches every target's node.
///
/// ```
/// use crank_mesh::call::{Pool, RequestHandler};
/// use crank_node::wire::Wire;
/// use crank_protocol::wire::Hello;
/// fn wire<T: RequestHandler>(hello: Hello, target: T) -> Wire<T> {
///     Wire::new(hello.member.id.clone(), target, Pool::new(hello))
/// }
/// ```
pub struct Wire<T> {
    own: Name,
    target: T,
    pool: Pool,
}

impl<T: RequestHandler> Wire<T> {
    /// The way from the node of this name, whose own target is `target`.
    ///
    /// ```
    /// # use crank_mesh::call::{Pool, RequestHandler};
    /// # use crank_node::wire::Wire;
    /// # use crank_protocol::Name;
    /// fn wire<T: RequestHandler>(own: Name, target: T, pool: Pool) -> Wire<T> {
    ///     Wire::new(own, target, pool)
    /// }
    /// ```
    #[must_use]
    pub fn new(own: Name, target: T, pool: Pool) -> Self {
        Self { own, target, pool }
    }
}

impl<T: RequestHandler> Links for Wire<T> {
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
