//! The interface of the mesh to the rest of the node.

mod messages;
mod rollouts;
mod store;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crank_engine::spread::StoreCheck;
use crank_protocol::Name;
use crank_protocol::config::Snapshot;
use crank_protocol::member::{Endpoint, Member, State};
use crank_protocol::status::{NodeReport, NodeStatus};
use tokio::sync::{broadcast, mpsc, watch};
use tokio::time::{Instant, timeout_at};
use xtra::Address;

use crate::actor::{AnnounceEndpoint, EndQuery, Leave, Mesh, SendQueries, SetSeeds, StartQuery};
use crate::{Error, Traffic, View};

pub use messages::ReceivedMessage;
pub use rollouts::Rollout;

/// How long each of the two rounds of a status query waits for answers.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// The number of nodes queried at once; the answers of more would overrun the receive buffer.
const QUERY_BATCH_SIZE: usize = 64;
/// The pause between two batches of queries.
const QUERY_BATCH_PAUSE: Duration = Duration::from_millis(5);
/// How long the mesh keeps running after it announced that the node leaves, so that the
/// announcement is sent.
const LEAVE_DELAY: Duration = Duration::from_millis(200);

/// The status that a node reports when it is queried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LocalStatus {
    /// Whether the node accepts requests.
    pub ready: bool,
    /// The number of requests that run in the node's backend server or are queued for it.
    pub in_flight: u32,
    /// The address of the node's operator interface.
    pub operator_address: Option<SocketAddr>,
}

/// Counters of errors that should not occur in a correctly set up mesh.
#[derive(Debug, Default)]
pub struct ErrorCounters {
    pub(crate) version_conflicts: AtomicU64,
    pub(crate) malformed_messages: AtomicU64,
    pub(crate) name_conflicts: AtomicU64,
}

impl ErrorCounters {
    /// Returns how often another node reported the version held here with another digest.
    ///
    /// ```
    /// # let error_counters = crank_mesh::ErrorCounters::default();
    /// assert_eq!(error_counters.version_conflicts(), 0);
    /// ```
    #[must_use]
    pub fn version_conflicts(&self) -> u64 {
        self.version_conflicts.load(Ordering::Relaxed)
    }

    /// Returns how often another process used this node's name.
    ///
    /// ```
    /// # let error_counters = crank_mesh::ErrorCounters::default();
    /// assert_eq!(error_counters.name_conflicts(), 0);
    /// ```
    #[must_use]
    pub fn name_conflicts(&self) -> u64 {
        self.name_conflicts.load(Ordering::Relaxed)
    }

    /// Returns the number of malformed or oversized datagrams, frames and configurations.
    ///
    /// ```
    /// # let error_counters = crank_mesh::ErrorCounters::default();
    /// assert_eq!(error_counters.malformed_messages(), 0);
    /// ```
    #[must_use]
    pub fn malformed_messages(&self) -> u64 {
        self.malformed_messages.load(Ordering::Relaxed)
    }
}

/// A handle to the running mesh; clones refer to the same mesh.
#[derive(Clone)]
pub struct Handle {
    pub(crate) mesh: Address<Mesh>,
    pub(crate) address: SocketAddr,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) config: watch::Receiver<Option<Arc<Snapshot>>>,
    pub(crate) ready: watch::Receiver<bool>,
    pub(crate) should_follow_store: watch::Receiver<bool>,
    pub(crate) store_check: watch::Receiver<Option<StoreCheck>>,
    pub(crate) confirmed_at: watch::Receiver<Option<std::time::Instant>>,
    pub(crate) store_era: watch::Receiver<u16>,
    pub(crate) rollouts: watch::Receiver<Arc<[Rollout]>>,
    pub(crate) messages: broadcast::Sender<ReceivedMessage>,
    pub(crate) local_status: Arc<watch::Sender<LocalStatus>>,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) error_counters: Arc<ErrorCounters>,
}

impl Handle {
    /// Returns the address that this node announces to other nodes.
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let account = Name::new("lenha-viva")?;
    /// # let settings = Settings::new(account, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// assert_ne!(mesh.address().port(), 0);
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a channel with the current view of the members.
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let account = Name::new("lenha-viva")?;
    /// # let settings = Settings::new(account, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// let view = mesh.view();
    /// assert_eq!(view.borrow().local_id().as_str(), "node-1");
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Returns a channel with the configuration in force on this node; `None` until there is one.
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let account = Name::new("lenha-viva")?;
    /// # let settings = Settings::new(account, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// assert!(mesh.config().borrow().is_none());
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub fn config(&self) -> watch::Receiver<Option<Arc<Snapshot>>> {
        self.config.clone()
    }

    /// Returns a channel that holds true once this node's configuration is known to be current.
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let account = Name::new("lenha-viva")?;
    /// # let settings = Settings::new(account, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// assert!(!*mesh.ready().borrow());
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.clone()
    }

    /// Returns the counters of control traffic.
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let account = Name::new("lenha-viva")?;
    /// # let settings = Settings::new(account, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// assert!(mesh.traffic().byte_counts().count() > 0);
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Returns the error counters.
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let account = Name::new("lenha-viva")?;
    /// # let settings = Settings::new(account, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// assert_eq!(mesh.error_counters().version_conflicts(), 0);
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub fn error_counters(&self) -> &Arc<ErrorCounters> {
        &self.error_counters
    }

    /// Sets the status that this node reports when it is queried.
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let account = Name::new("lenha-viva")?;
    /// # let settings = Settings::new(account, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// mesh.set_local_status(LocalStatus { ready: true, in_flight: 3, ..LocalStatus::default() });
    /// # Ok(())
    /// # }
    /// ```
    pub fn set_local_status(&self, local_status: LocalStatus) {
        self.local_status.send_replace(local_status);
    }

    /// Announces the state of the backend server beside this node to all nodes.
    ///
    /// # Errors
    /// Returns [`Error::Stopped`] after [`Handle::leave`].
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let account = Name::new("lenha-viva")?;
    /// # let settings = Settings::new(account, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// mesh.announce_endpoint(None).await?;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn announce_endpoint(&self, endpoint: Option<Endpoint>) -> Result<(), Error> {
        let message = AnnounceEndpoint { endpoint };
        self.mesh.send(message).await.map_err(|_| Error::Stopped)
    }

    /// Replaces the addresses of the nodes through which this node joins.
    ///
    /// # Errors
    /// Returns [`Error::Stopped`] after [`Handle::leave`].
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let account = Name::new("lenha-viva")?;
    /// # let settings = Settings::new(account, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// mesh.set_seeds(vec!["127.0.0.1:9".parse()?]).await?;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn set_seeds(&self, seeds: Vec<SocketAddr>) -> Result<(), Error> {
        let message = SetSeeds { seeds };
        self.mesh.send(message).await.map_err(|_| Error::Stopped)
    }

    /// Queries the status of every member, including this node.
    ///
    /// Takes about a second if any member does not answer.
    ///
    /// # Errors
    /// Returns [`Error::Stopped`] after [`Handle::leave`].
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let account = Name::new("lenha-viva")?;
    /// # let settings = Settings::new(account, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// assert_eq!(mesh.query_nodes().await?.len(), 1);
    /// # Ok(())
    /// # }
    /// ```
    pub async fn query_nodes(&self) -> Result<Vec<NodeReport>, Error> {
        let (sender, mut answers) = mpsc::channel(QUERY_BATCH_SIZE);
        let started = self.mesh.send(StartQuery { sender }).await;
        let query = started.map_err(|_| Error::Stopped)?;
        let is_queried = |member: &&Member| member.state != State::Left;
        let mut missing: BTreeMap<Name, Member> = query
            .members
            .iter()
            .filter(is_queried)
            .map(|member| (member.id.clone(), member.clone()))
            .collect();
        let mut collected = Vec::new();
        for _ in 0..2 {
            self.send_queries(query.number, &mut missing, &mut answers, &mut collected)
                .await?;
        }
        let number = query.number;
        let _ = self.mesh.send(EndQuery { number }).await;
        collected.extend(missing.into_values().map(NodeReport::Silent));
        Ok(collected)
    }

    /// Sends a status query to the members that have not answered, in batches, and collects
    /// answers.
    async fn send_queries(
        &self,
        number: u64,
        missing: &mut BTreeMap<Name, Member>,
        answers: &mut mpsc::Receiver<NodeStatus>,
        collected: &mut Vec<NodeReport>,
    ) -> Result<(), Error> {
        let names: Vec<Name> = missing.keys().cloned().collect();
        for batch in names.chunks(QUERY_BATCH_SIZE) {
            let names = batch.to_vec();
            let queries = SendQueries { number, names };
            self.mesh.send(queries).await.map_err(|_| Error::Stopped)?;
            let batch_end = Instant::now() + QUERY_BATCH_PAUSE;
            collect_answers(batch_end, missing, answers, collected).await;
        }
        collect_answers(Instant::now() + QUERY_TIMEOUT, missing, answers, collected).await;
        Ok(())
    }

    /// Announces to the other nodes that this node leaves, then stops the mesh.
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let account = Name::new("lenha-viva")?;
    /// # let settings = Settings::new(account, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// mesh.leave().await;
    /// assert!(mesh.announce_endpoint(None).await.is_err());
    /// # Ok(())
    /// # }
    /// ```
    pub async fn leave(&self) {
        if self.mesh.send(Leave).await.is_ok() {
            tokio::time::sleep(LEAVE_DELAY).await;
            let _ = self.mesh.send(crate::actor::Stop).await;
        }
    }
}

/// Collects answers until the given time or until no member is missing.
async fn collect_answers(
    until: Instant,
    missing: &mut BTreeMap<Name, Member>,
    answers: &mut mpsc::Receiver<NodeStatus>,
    collected: &mut Vec<NodeReport>,
) {
    while !missing.is_empty() {
        let Ok(Some(node)) = timeout_at(until, answers.recv()).await else {
            return;
        };
        if missing.remove(&node.member.id).is_some() {
            collected.push(NodeReport::Node(node));
        }
    }
}
