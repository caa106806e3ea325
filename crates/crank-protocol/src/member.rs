//! The nodes of the mesh and their backend servers.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Name;

/// The region and data centre of a node.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The region.
    pub region: Name,
    /// The data centre.
    pub data_centre: Name,
}

/// The membership state of a node, as the mesh sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The node answers probes.
    Alive,
    /// The node did not answer a probe, and can still refute the suspicion.
    Suspect,
    /// The node did not refute the suspicion in time.
    Dead,
    /// The node announced that it leaves.
    Left,
}

/// The lifecycle stage of a backend server, as the server announces it to its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The server runs but does not accept requests yet.
    Starting,
    /// The server accepts requests.
    Ready,
    /// The server finishes its requests and accepts no new ones.
    Draining,
    /// The server has stopped or does not respond.
    Gone,
}

/// A backend server, as its node announces it to the mesh.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The service that the server runs.
    pub service: Name,
    /// The lifecycle stage of the server.
    pub stage: Stage,
    /// How many requests the server runs at once.
    pub slots: u32,
    /// The release of the software that the server runs, if it reports one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub release: Option<Arc<str>>,
}

/// The membership entry of a node.
///
/// Other nodes only ever set the state to `Suspect` or `Dead`; everything else comes from the node
/// itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The node's name, from its settings.
    pub id: Name,
    /// The node's region and data centre.
    pub place: Place,
    /// The address for probes (UDP) and for connections from other nodes (TCP).
    pub address: SocketAddr,
    /// The incarnation number, which the node increments whenever it changes its own entry.
    pub incarnation: u64,
    /// The bandwidth of the node's network link in Mbit/s; 0 if its settings do not state it.
    pub link: u32,
    /// The membership state of the node.
    pub state: State,
    /// The node's backend server, once that has announced itself.
    pub endpoint: Option<Endpoint>,
}
