//! Communication with other nodes: membership, configuration distribution and call connections.
//!
//! [`start`] makes a process a member of the mesh. One actor holds the member table and the
//! configuration in force; it receives datagrams, frames and ticks, and carries out the decisions
//! of `crank_engine`. A node listens on one address: UDP for probes, TCP for WebSocket connections
//! with the path `/control` or `/call`. Call connections are passed on to the caller of [`start`].

pub mod call;

mod actor;
mod codec;
mod control;
mod error;
mod handle;
mod listen;
mod newcomer;
mod settings;
mod traffic;
mod view;

pub use crank_engine::spread::{Step, StoreCheck, StoreHead};
pub use error::Error;
pub use handle::{ErrorCounters, Handle, LocalStatus, ReceivedMessage, Rollout};
pub use listen::{CALL_PATH, CONTROL_PATH, Socket};
pub use settings::{BlockedAddresses, Settings};
pub use traffic::{ByteCount, Direction, Reach, Traffic, TrafficKind};
pub use view::View;

use tokio::sync::mpsc;

use call::Inbound;

/// Joins the mesh, and sends the call connections that other nodes open to `calls`.
///
/// # Errors
/// Returns [`Error::Bind`] if the address cannot be bound.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// use crank_mesh::{Settings, start};
/// use crank_protocol::{Name, member::Place};
/// let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
/// let listen = "127.0.0.1:0".parse()?;
/// let settings = Settings::new(Name::new("lenha-viva")?, Name::new("node-1")?, place, listen);
/// let (calls, _accepted) = tokio::sync::mpsc::channel(16);
/// let mesh = start(settings, calls).await?;
/// assert_eq!(mesh.view().borrow().members().count(), 1);
/// mesh.leave().await;
/// # Ok(())
/// # }
/// ```
pub async fn start(settings: Settings, calls: mpsc::Sender<Inbound>) -> Result<Handle, Error> {
    let listener = listen::bind(settings.listen_address).await?;
    Ok(actor::spawn(settings, listener, calls))
}
