//! The way from an entry to the targets' nodes, this one included.

use bytes::Bytes;
use crank_engine::balance::Choice;
use crank_mesh::call::{Peer, Pool};
use crank_platform_client::Platform;
use crank_protocol::Name;
use crank_protocol::call::{Answer, Head, Refused};

use crate::entry;
use crate::target::{Forwarder, Target};

/// Call connections to other nodes, and a short way to the backend server beside this one.
#[derive(Clone)]
pub struct Links<P, F> {
    own: Name,
    target: Target<P, F>,
    pool: Pool,
}

impl<P: Platform, F: Forwarder> Links<P, F> {
    /// Links of a node by the name of `own`.
    ///
    /// ```
    /// use crank_mesh::call::Pool;
    /// use crank_node::links::Links;
    /// use crank_node::target::{Forwarder, Target};
    /// use crank_platform_client::Platform;
    /// use crank_protocol::Name;
    /// fn links<P: Platform, F: Forwarder>(target: Target<P, F>, pool: Pool) -> Links<P, F> {
    ///     Links::new(Name::new("node-1").unwrap(), target, pool)
    /// }
    /// ```
    #[must_use]
    pub fn new(own: Name, target: Target<P, F>, pool: Pool) -> Self {
        Self { own, target, pool }
    }
}

impl<P: Platform, F: Forwarder> entry::Links for Links<P, F> {
    async fn call(&self, target: &Choice, head: Head, body: Bytes) -> Result<Answer, Refused> {
        if target.id == self.own {
            return self.target.run(head, body).await;
        }
        let peer = Peer {
            id: target.id.clone(),
            address: target.address,
        };
        self.pool.run(&peer, head, body).await
    }
}
