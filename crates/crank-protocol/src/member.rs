//! The nodes of the mesh and the backend servers beside them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Where a node stands.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Its region.
    pub region: Name,
    /// Its data centre.
    pub data_centre: Name,
}

/// What the mesh believes of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer, and may still refute.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It said that it leaves.
    Left,
}

/// The stage of life of a backend server, as it announces it to its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It runs and takes no work yet.
    Starting,
    /// It takes work.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is not there.
    Gone,
}

/// A backend server as its node announces it to the mesh.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The service it runs.
    pub service: Name,
    /// Its stage of life.
    pub stage: Stage,
    /// Requests it runs at once.
    pub slots: u32,
}

/// What is known of a node; only the node itself says anything but `Suspect` and `Dead`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Its name, from its settings.
    pub id: Name,
    /// Where it stands.
    pub place: Place,
    /// Where it takes probes (UDP) and connections from other nodes (TCP).
    pub address: SocketAddr,
    /// Raised by the node with everything new that it says of itself.
    pub incarnation: u64,
    /// What its link carries, in Mbit/s; 0 where its settings do not say.
    pub link: u32,
    /// What is believed of it.
    pub state: State,
    /// The backend server beside it, once that has announced itself.
    pub endpoint: Option<Endpoint>,
}
