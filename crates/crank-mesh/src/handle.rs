//! What the other parts of a node may ask of the mesh.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crank_engine::spread::{Step, StoreHead};
use crank_protocol::Name;
use crank_protocol::config::Snapshot;
use crank_protocol::member::{Endpoint, Member, State};
use crank_protocol::status::{NodeReport, NodeStatus};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout_at};
use xtra::Address;

use crate::actor::{Announce, Ask, BeginAsking, EndAsking, HeadRead, Leave, Mesh, Offer, Seeds};
use crate::{Error, Traffic, View};

/// How long each of two rounds of questions waits for answers.
const ASK_ROUND: Duration = Duration::from_millis(500);
/// Questions sent at once; more would overrun the receive buffer with answers.
const ASK_BURST: usize = 64;
/// The pause between bursts of questions.
const ASK_PAUSE: Duration = Duration::from_millis(5);
/// How long the farewell may take to go out.
const FAREWELL: Duration = Duration::from_millis(200);

/// What a node says of itself when it is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LocalStatus {
    /// Whether it takes requests.
    pub ready: bool,
    /// Requests that its backend server runs or that wait for it.
    pub in_flight: u32,
    /// Where it answers operators.
    pub operator_address: Option<SocketAddr>,
}

/// Counts of what must not happen.
#[derive(Debug, Default)]
pub struct ErrorCounters {
    pub(crate) version_conflicts: AtomicU64,
    pub(crate) malformed_messages: AtomicU64,
    pub(crate) name_conflicts: AtomicU64,
}

impl ErrorCounters {
    /// How often another node claimed a held version's number for another content.
    ///
    /// ```
    /// # let error_counters = crank_mesh::ErrorCounters::default();
    /// assert_eq!(error_counters.version_conflicts(), 0);
    /// ```
    #[must_use]
    pub fn version_conflicts(&self) -> u64 {
        self.version_conflicts.load(Ordering::Relaxed)
    }

    /// How often another process claimed this node's name.
    ///
    /// ```
    /// # let error_counters = crank_mesh::ErrorCounters::default();
    /// assert_eq!(error_counters.name_conflicts(), 0);
    /// ```
    #[must_use]
    pub fn name_conflicts(&self) -> u64 {
        self.name_conflicts.load(Ordering::Relaxed)
    }

    /// How many datagrams, frames and configurations were malformed or oversized.
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

/// The mesh as the other parts of the node use it.
#[derive(Clone)]
pub struct Handle {
    pub(crate) mesh: Address<Mesh>,
    pub(crate) address: SocketAddr,
    pub(crate) view: watch::Receiver<Arc<View>>,
    pub(crate) config: watch::Receiver<Option<Arc<Snapshot>>>,
    pub(crate) ready: watch::Receiver<bool>,
    pub(crate) follows: watch::Receiver<bool>,
    pub(crate) local_status: Arc<watch::Sender<LocalStatus>>,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) error_counters: Arc<ErrorCounters>,
}

impl Handle {
    /// The address that other nodes are told.
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let settings = Settings::new(Name::new("lenha-viva")?, Name::new("node-1")?, place, listen);
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

    /// Every member as this node knows it.
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let settings = Settings::new(Name::new("lenha-viva")?, Name::new("node-1")?, place, listen);
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

    /// The configuration in force here.
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let settings = Settings::new(Name::new("lenha-viva")?, Name::new("node-1")?, place, listen);
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

    /// Whether this node may claim that its configuration is the fleet's.
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let settings = Settings::new(Name::new("lenha-viva")?, Name::new("node-1")?, place, listen);
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

    /// Control bytes by kind.
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let settings = Settings::new(Name::new("lenha-viva")?, Name::new("node-1")?, place, listen);
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

    /// Counts of what must not happen.
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let settings = Settings::new(Name::new("lenha-viva")?, Name::new("node-1")?, place, listen);
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

    /// Sets what this node says of itself when it is asked.
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let settings = Settings::new(Name::new("lenha-viva")?, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// mesh.set_local_status(LocalStatus { ready: true, in_flight: 3, ..LocalStatus::default() });
    /// # Ok(())
    /// # }
    /// ```
    pub fn set_local_status(&self, local_status: LocalStatus) {
        self.local_status.send_replace(local_status);
    }

    /// Gives an accepted configuration, read from the store or just published.
    ///
    /// # Errors
    /// [`Error::Stopped`] after [`Handle::leave`].
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let settings = Settings::new(Name::new("lenha-viva")?, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// use crank_protocol::config::{Account, Config, Snapshot, Stamp, Version};
    /// let account = Account { name: Name::new("lenha-viva")?, notice_ends: None };
    /// let config = Config { account, services: Default::default(), routes: Default::default() };
    /// let stamp = Stamp { version: Version(1), digest: crank_engine::config::digest(&config) };
    /// assert_eq!(mesh.apply_snapshot(Snapshot { stamp, config }).await?, Step::Applied);
    /// # Ok(())
    /// # }
    /// ```
    pub async fn apply_snapshot(&self, snapshot: Snapshot) -> Result<Step, Error> {
        let offer = Offer { snapshot };
        self.mesh.send(offer).await.map_err(|_| Error::Stopped)
    }

    /// Whether this node should follow the platform's store itself; the other nodes bring it what is
    /// accepted where it should not.
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let settings = Settings::new(Name::new("lenha-viva")?, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// assert!(*mesh.should_follow_store().borrow(), "it is alone");
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub fn should_follow_store(&self) -> watch::Receiver<bool> {
        self.follows.clone()
    }

    /// Tells what a reading of the head row said.
    ///
    /// # Errors
    /// [`Error::Stopped`] after [`Handle::leave`].
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let settings = Settings::new(Name::new("lenha-viva")?, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// mesh.report_head(StoreHead::Empty).await?;
    /// assert!(!*mesh.ready().borrow(), "nothing is accepted yet");
    /// # Ok(())
    /// # }
    /// ```
    pub async fn report_head(&self, head: StoreHead) -> Result<(), Error> {
        let read = HeadRead { head };
        self.mesh.send(read).await.map_err(|_| Error::Stopped)
    }

    /// Tells all nodes about the backend server beside this one.
    ///
    /// # Errors
    /// [`Error::Stopped`] after [`Handle::leave`].
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let settings = Settings::new(Name::new("lenha-viva")?, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// mesh.announce_endpoint(None).await?;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn announce_endpoint(&self, endpoint: Option<Endpoint>) -> Result<(), Error> {
        let announce = Announce { endpoint };
        self.mesh.send(announce).await.map_err(|_| Error::Stopped)
    }

    /// Replaces the nodes through which to join.
    ///
    /// # Errors
    /// [`Error::Stopped`] after [`Handle::leave`].
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let settings = Settings::new(Name::new("lenha-viva")?, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// mesh.set_seeds(vec!["127.0.0.1:9".parse()?]).await?;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn set_seeds(&self, seeds: Vec<SocketAddr>) -> Result<(), Error> {
        let seeds = Seeds { seeds };
        self.mesh.send(seeds).await.map_err(|_| Error::Stopped)
    }

    /// Asks every member how it is, this node included; takes about a second if any is silent.
    ///
    /// # Errors
    /// [`Error::Stopped`] after [`Handle::leave`].
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let settings = Settings::new(Name::new("lenha-viva")?, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// assert_eq!(mesh.query_nodes().await?.len(), 1);
    /// # Ok(())
    /// # }
    /// ```
    pub async fn query_nodes(&self) -> Result<Vec<NodeReport>, Error> {
        let (sender, mut answers) = mpsc::channel(ASK_BURST);
        let begun = self.mesh.send(BeginAsking { sender }).await;
        let begun = begun.map_err(|_| Error::Stopped)?;
        let asked = |member: &&Member| member.state != State::Left;
        let mut missing: BTreeMap<Name, Member> = begun
            .members
            .iter()
            .filter(asked)
            .map(|member| (member.id.clone(), member.clone()))
            .collect();
        let mut told = Vec::new();
        for _ in 0..2 {
            self.ask(begun.number, &mut missing, &mut answers, &mut told)
                .await?;
        }
        let number = begun.number;
        let _ = self.mesh.send(EndAsking { number }).await;
        told.extend(missing.into_values().map(NodeReport::Silent));
        Ok(told)
    }

    async fn ask(
        &self,
        number: u64,
        missing: &mut BTreeMap<Name, Member>,
        answers: &mut mpsc::Receiver<NodeStatus>,
        told: &mut Vec<NodeReport>,
    ) -> Result<(), Error> {
        let names: Vec<Name> = missing.keys().cloned().collect();
        for burst in names.chunks(ASK_BURST) {
            let names = burst.to_vec();
            let ask = Ask { number, names };
            self.mesh.send(ask).await.map_err(|_| Error::Stopped)?;
            let pause = Instant::now() + ASK_PAUSE;
            collect(pause, missing, answers, told).await;
        }
        collect(Instant::now() + ASK_ROUND, missing, answers, told).await;
        Ok(())
    }

    /// Says goodbye to the other nodes and stops.
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let settings = Settings::new(Name::new("lenha-viva")?, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// mesh.leave().await;
    /// assert!(mesh.announce_endpoint(None).await.is_err());
    /// # Ok(())
    /// # }
    /// ```
    pub async fn leave(&self) {
        if self.mesh.send(Leave).await.is_ok() {
            tokio::time::sleep(FAREWELL).await;
            let _ = self.mesh.send(crate::actor::Stop).await;
        }
    }
}

async fn collect(
    until: Instant,
    missing: &mut BTreeMap<Name, Member>,
    answers: &mut mpsc::Receiver<NodeStatus>,
    told: &mut Vec<NodeReport>,
) {
    while !missing.is_empty() {
        let Ok(Some(node)) = timeout_at(until, answers.recv()).await else {
            return;
        };
        if missing.remove(&node.member.id).is_some() {
            told.push(NodeReport::Node(node));
        }
    }
}
