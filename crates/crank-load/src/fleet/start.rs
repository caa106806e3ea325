//! Starting the processes of a fleet.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use super::{InstancePlacement, Layout, Process, Signal};
use crate::Error;

const PLATFORM: &str = "the control of the platform's stand-in";
const SEEDS: usize = 3;
const POLL: Duration = Duration::from_millis(50);

/// A node with the backend server beside it.
#[derive(Debug)]
pub struct Node {
    /// Where it stands.
    pub placement: InstancePlacement,
    /// The node's process.
    pub node: Process,
    /// The backend server's process.
    pub backend: Process,
}

impl Node {
    /// The base URL for callers.
    #[must_use]
    pub fn callers(&self) -> String {
        url(self.node.address("callers").unwrap_or_default())
    }

    /// The base URL for operators.
    #[must_use]
    pub fn operators(&self) -> String {
        url(self.node.address("operators").unwrap_or_default())
    }

    /// The base URL of the backend server.
    #[must_use]
    pub fn backend_url(&self) -> String {
        url(self.backend.listening())
    }
}

fn url(address: &str) -> String {
    format!("http://{address}")
}

/// A running mesh of processes; all are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Who stands where.
    pub layout: Layout,
    /// The stand-in of the platform.
    pub platform: Process,
    /// The nodes in the order of the layout's placements.
    pub nodes: Vec<Node>,
    programs: PathBuf,
    folder: PathBuf,
}

impl Fleet {
    /// Starts the platform's stand-in and every node with its backend server.
    ///
    /// `programs` is the directory of the built programs; settings and logs go to `folder`.
    ///
    /// # Errors
    /// Whatever keeps a process from starting.
    pub async fn start(layout: Layout, programs: &Path, folder: &Path) -> Result<Self, Error> {
        let arguments = ["--listen".to_owned(), "127.0.0.1:0".to_owned()];
        let program = programs.join("crank-platform");
        let platform = Process::start("platform", &program, &arguments, folder).await?;
        let mut fleet = Self {
            nodes: Vec::with_capacity(layout.placements.len()),
            layout,
            platform,
            programs: programs.to_owned(),
            folder: folder.to_owned(),
        };
        for placement in fleet.layout.placements.clone() {
            let node = fleet.start_node(placement).await?;
            fleet.nodes.push(node);
        }
        Ok(fleet)
    }

    /// The base URL of the platform's stand-in.
    #[must_use]
    pub fn platform_url(&self) -> String {
        url(self.platform.listening())
    }

    /// Sets switches of the platform's stand-in, in JSON.
    ///
    /// # Errors
    /// [`Error::Http`] where the stand-in does not take them.
    pub async fn switch(&self, switches: &str) -> Result<(), Error> {
        let url = format!("{}/control", self.platform_url());
        let put = reqwest::Client::new().put(url).body(switches.to_owned());
        let answer = put
            .send()
            .await
            .and_then(reqwest::Response::error_for_status);
        answer.map_err(|source| Error::Http {
            what: PLATFORM.into(),
            source,
        })?;
        Ok(())
    }

    /// What the platform's stand-in has counted.
    ///
    /// # Errors
    /// [`Error::Http`] where it does not say.
    pub async fn counts(&self) -> Result<serde_json::Value, Error> {
        let failed = |source| Error::Http {
            what: PLATFORM.into(),
            source,
        };
        let url = format!("{}/control/counts", self.platform_url());
        let answer = reqwest::get(url).await.map_err(failed)?;
        answer.json().await.map_err(failed)
    }

    /// The directory of settings and logs.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// A file with the store's settings for `crankctl`.
    ///
    /// # Errors
    /// [`Error::File`].
    pub fn store_settings(&self) -> Result<PathBuf, Error> {
        self.write("store.ini", &self.store_section(&self.platform_url()))
    }

    /// Starts a node and its backend server anew, without memory.
    ///
    /// # Errors
    /// Whatever keeps a process from starting.
    pub async fn restart(&mut self, index: usize) -> Result<(), Error> {
        let placement = self.nodes[index].placement.clone();
        let old = &mut self.nodes[index];
        old.node.signal(Signal::Kill).ok();
        old.backend.signal(Signal::Kill).ok();
        self.nodes[index] = self.start_node(placement).await?;
        Ok(())
    }

    /// Starts a node alone anew, without memory, beside a backend server that lives on.
    ///
    /// # Errors
    /// Whatever keeps a process from starting.
    pub async fn start_node(&self, placement: InstancePlacement) -> Result<Node, Error> {
        let settings = self.node_settings(&placement) + &self.seeds(&placement);
        let settings = self.write(&format!("{}.ini", placement.name), &settings)?;
        let arguments = ["--settings".to_owned(), settings.display().to_string()];
        let program = self.programs.join("crank-node");
        let node = Process::start(&placement.name, &program, &arguments, &self.folder).await?;
        let announce = node.address("servers").unwrap_or_default().to_owned();
        let backend = self.start_backend(&placement, &announce).await?;
        Ok(Node {
            placement,
            node,
            backend,
        })
    }

    async fn start_backend(
        &self,
        placement: &InstancePlacement,
        announce: &str,
    ) -> Result<Process, Error> {
        let arguments = [
            ("--node", announce.to_owned()),
            ("--listen", "127.0.0.1:0".to_owned()),
            ("--service", placement.service.to_string()),
            ("--slots", self.layout.slots.to_string()),
            ("--work-ms", self.layout.work_ms.to_string()),
        ];
        let arguments: Vec<String> = arguments
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect();
        let name = format!("{}-backend", placement.name);
        Process::start(
            &name,
            &self.programs.join("crank-backend"),
            &arguments,
            &self.folder,
        )
        .await
    }

    /// Some of the other nodes, by which a node joins while the store is down.
    fn seeds(&self, placement: &InstancePlacement) -> String {
        let others = self
            .nodes
            .iter()
            .filter(|node| node.placement != *placement);
        let addresses = others
            .filter_map(|node| node.node.address("mesh"))
            .take(SEEDS);
        let seeds: Vec<&str> = addresses.collect();
        if seeds.is_empty() {
            return String::new();
        }
        format!("[mesh]\nseeds = {}\n", seeds.join(", "))
    }

    fn write(&self, name: &str, content: &str) -> Result<PathBuf, Error> {
        let path = self.folder.join(name);
        std::fs::write(&path, content).map_err(|source| Error::File {
            path: path.clone(),
            source,
        })?;
        Ok(path)
    }

    /// The store's URL as a placement's node reaches it.
    fn store_url(&self, placement: &InstancePlacement) -> String {
        let placements = self.layout.placements.iter();
        let mut ways = placements.zip(&self.layout.stores);
        match ways.find(|(other, _)| *other == placement) {
            Some((_, url)) => url.to_string(),
            None => self.platform_url(),
        }
    }

    fn store_section(&self, url: &str) -> String {
        let region = &self.layout.store_region;
        let account = &self.layout.account;
        format!(
            "[account]\nname = {account}\n[platform]\nobjects = {url}\ntable = {url}\n\
             bucket = crank\ntable_name = crank\nregion = {region}\n"
        )
    }

    fn node_settings(&self, placement: &InstancePlacement) -> String {
        format!(
            "[node]\nname = {}\nregion = {}\ndata_centre = {}\n\
             [listen]\ncallers = 127.0.0.1:0\nmesh = 127.0.0.1:0\nservers = 127.0.0.1:0\n\
             operators = 127.0.0.1:0\n[log]\nlevel = info\n{}access_key = {}\n",
            placement.name,
            placement.region,
            placement.data_centre,
            self.store_section(&self.store_url(placement)),
            // By its key the stand-in tells from which region a node asks.
            placement.region,
        )
    }
}

/// Polls a condition until it holds.
///
/// # Errors
/// [`Error::Timeout`] where it does not hold in time.
///
/// ```
/// use std::time::Duration;
/// let runtime = tokio::runtime::Runtime::new().unwrap();
/// let held = runtime.block_on(crank_load::fleet::wait("nothing", Duration::from_secs(1), async || true));
/// assert!(held.is_ok());
/// ```
pub async fn wait(
    what: &str,
    limit: Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> Result<(), Error> {
    let what: Arc<str> = what.into();
    let waited_ms = u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
    let polling = async {
        while !condition().await {
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(limit, polling)
        .await
        .map_err(|_| Error::Timeout { what, waited_ms })
}
