//! A whole mesh of real processes on loopback: stand-ins, nodes and backend servers.

mod layout;
mod process;
mod start;

pub use layout::{InstancePlacement, Layout};
pub use process::{Process, Signal};
pub use start::{Fleet, Node, wait};
