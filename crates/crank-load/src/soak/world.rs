//! The fleet of a soak run behind its proxies, and how each step is applied to it.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crank_platform_client::{Condition, Remote, folder};
use tokio::time::Instant;

use super::plan::Step;
use super::proxy::Proxy;
use super::watch::{Seen, Watch};
use crate::Error;
use crate::calls::RunCounts;
use crate::converge;
use crate::fleet::{Fleet, Layout, Node, Signal, wait};
use crate::folder::settings;

pub(super) const READS: [&str; 2] = ["/recipes/apricot", "/panels/7"];
pub(super) const ORDER: &str = "/batches/release";
const SERVICES: [&str; 3] = ["recipes", "panels", "batches"];
const REGIONS: usize = 2;
const DATA_CENTRES: usize = 3;
/// Time allowed for a process to exit after SIGTERM: its grace period and a margin.
const END_LIMIT: Duration = Duration::from_secs(12);
const START_LIMIT: Duration = Duration::from_secs(30);
const PROBE_LIMIT: Duration = Duration::from_secs(1);
const EDIT_LIMIT: Duration = Duration::from_secs(2);
const FIRST_TIMEOUT_MS: u64 = 2_000;

/// The operators' folder: reads may be repeated, orders run once.
const FOLDER: &str = "[account]\nname = sutkent\n\
    [service recipes]\nslots = 6\nconnections = 110\nqueue = 24\ntimeout = 2s\nretry_budget = 20%\n\
    [route recipes]\npath = /recipes\nmethods = GET\nservice = recipes\nidempotent = yes\n\
    [service panels]\nslots = 6\nconnections = 110\nqueue = 24\ntimeout = 2s\nretry_budget = 20%\n\
    [route panels]\npath = /panels\nmethods = GET\nservice = panels\nidempotent = yes\n\
    [service batches]\nslots = 6\nconnections = 110\nqueue = 24\ntimeout = 4s\nretry_budget = 20%\n\
    [route batches]\npath = /batches\nmethods = POST\nservice = batches\nonce = yes\n";

struct Way {
    callers: Proxy,
    store: Proxy,
}

/// The processes of a soak run, the proxies in front of them, and violations found so far.
pub(super) struct World {
    fleet: Fleet,
    ways: Vec<Way>,
    watch: Watch,
    watching: tokio::task::JoinHandle<()>,
    runs: RunCounts,
    client: reqwest::Client,
    refused_edits: u64,
    broken: Vec<String>,
}

impl Drop for World {
    fn drop(&mut self) {
        self.watching.abort();
    }
}

impl World {
    pub(super) async fn start(
        nodes: usize,
        programs: &Path,
        directory: &Path,
    ) -> Result<Self, Error> {
        let mut ways = Vec::with_capacity(nodes);
        for _ in 0..nodes {
            let (callers, store) = (Proxy::start().await?, Proxy::start().await?);
            ways.push(Way { callers, store });
        }
        let stores = ways.iter().map(|way| way.store.url().into()).collect();
        let layout = Layout::new("sutkent", nodes, REGIONS, DATA_CENTRES, &SERVICES);
        let fleet = Fleet::start(layout.with_stores(stores), programs, directory).await?;
        let platform = fleet.platform.listening().parse().ok();
        for (way, node) in ways.iter().zip(&fleet.nodes) {
            way.store.lead_to(platform);
            way.callers.lead_to(callers(node));
        }
        let client = reqwest::Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(0)
            .timeout(PROBE_LIMIT)
            .build()
            .map_err(|source| Error::Http {
                what: Arc::from("the HTTP client"),
                source,
            })?;
        let watch = Watch::default();
        let watching = tokio::spawn(watch.clone().run(client.clone()));
        let world = Self {
            fleet,
            ways,
            watch,
            watching,
            runs: RunCounts::default(),
            client,
            refused_edits: 0,
            broken: Vec::new(),
        };
        for node in 0..nodes {
            world.see(node);
        }
        world.edit("00-base.ini", FOLDER).await?;
        world.recover(START_LIMIT).await?;
        Ok(world)
    }

    /// Returns the URLs at which callers reach the nodes.
    pub(super) fn callers(&self) -> Vec<Arc<str>> {
        let urls = self.ways.iter().map(|way| way.callers.url().into());
        urls.collect()
    }

    fn see(&self, node: usize) {
        let process = &self.fleet.nodes[node];
        let seen = Seen {
            process: process.node.id().unwrap_or_default(),
            operators: process.operators().into(),
        };
        self.watch.nodes.lock().insert(node, seen);
    }

    /// Applies one step of a plan.
    pub(super) async fn take(&mut self, step: Step) -> Result<(), Error> {
        match step {
            Step::Crash(node) => self.signal(node, Signal::Kill, true),
            Step::Terminate(node) => self.signal(node, Signal::Terminate, true),
            Step::Freeze(node) => self.signal(node, Signal::Freeze, false),
            Step::Wake(node) => self.signal(node, Signal::Wake, false),
            Step::Start(node) => self.start_again(node).await,
            Step::StoreLine(node, line) => {
                self.ways[node].store.set(line);
                Ok(())
            }
            Step::CallerLine(node, line) => {
                self.ways[node].callers.set(line);
                Ok(())
            }
            Step::StoreDown(down) => self.fleet.switch(&format!(r#"{{"down":{down}}}"#)).await,
            Step::StoreSlow(slow) => self.fleet.switch(&format!(r#"{{"slow_ms":{slow}}}"#)).await,
            Step::StoreLoses(answers) => {
                let switches = format!(r#"{{"lose_answers":{answers}}}"#);
                self.fleet.switch(&switches).await
            }
            Step::Edit(number) => {
                let timeout = FIRST_TIMEOUT_MS + number;
                let text = format!("[service recipes]\ntimeout = {timeout}ms\n");
                // An edit may fail during an outage, which violates no invariant: it is only counted.
                let edit = tokio::time::timeout(EDIT_LIMIT, self.edit("90-edit.ini", &text)).await;
                self.refused_edits += u64::from(!matches!(edit, Ok(Ok(()))));
                Ok(())
            }
        }
    }

    fn signal(&mut self, node: usize, signal: Signal, with_server: bool) -> Result<(), Error> {
        let process = &self.fleet.nodes[node];
        process.node.signal(signal)?;
        if with_server {
            process.backend.signal(signal)?;
        }
        Ok(())
    }

    /// Restarts a node that was killed or terminated, once its processes have exited.
    async fn start_again(&mut self, node: usize) -> Result<(), Error> {
        let process = &mut self.fleet.nodes[node];
        let ended = process.node.wait_for_exit(END_LIMIT).await;
        let server_ended = process.backend.wait_for_exit(END_LIMIT).await;
        let name = process.placement.name.clone();
        for (who, ended) in [("node", ended), ("backend server of", server_ended)] {
            match ended {
                // No exit code: the process was killed by a signal, as the plan intended.
                Ok(Some(0) | None) => {}
                Ok(Some(code)) => self.broken.push(format!("{who} {name} ended with {code}")),
                Err(error) => self.broken.push(error.to_string()),
            }
        }
        let ledger = process.backend.last_line();
        if !ledger.is_empty() {
            self.runs.add_line(&ledger);
        }
        self.fleet.restart(node).await?;
        self.ways[node]
            .callers
            .lead_to(callers(&self.fleet.nodes[node]));
        self.see(node);
        Ok(())
    }

    async fn edit(&self, file: &str, text: &str) -> Result<(), Error> {
        let settings = settings(&self.fleet.store_settings()?)?;
        let remote = Remote::new(&settings.access())?;
        let (account, text) = (&settings.account, text.to_owned().into());
        folder::write(&remote, account, file, text, Condition::Always).await?;
        Ok(())
    }

    /// Waits until every node serves every service and all hold the newest version.
    pub(super) async fn recover(&self, limit: Duration) -> Result<Duration, Error> {
        let began = Instant::now();
        wait("recovery of the whole fleet", limit, async || {
            let mut versions = Vec::new();
            for (way, node) in self.ways.iter().zip(&self.fleet.nodes) {
                versions.push(converge::version(&self.client, &node.operators()).await);
                for path in READS {
                    let url = format!("{}{path}", way.callers.url());
                    let answer = self.client.get(url).send().await;
                    if !answer.is_ok_and(|answer| answer.status().is_success()) {
                        return false;
                    }
                }
            }
            let newest = self.watch.highest();
            versions
                .iter()
                .all(|version| *version > 0 && *version >= newest)
                && versions.windows(2).all(|pair| pair[0] == pair[1])
        })
        .await?;
        Ok(began.elapsed())
    }

    /// Returns the run counts from the ledgers of exited and running backend servers.
    pub(super) async fn runs(&mut self) -> Result<RunCounts, Error> {
        for node in &self.fleet.nodes {
            let url = format!("{}/ledger", node.backend_url());
            let asked = self.client.get(url).send().await;
            let text = match asked {
                Ok(answer) => answer.text().await,
                Err(error) => Err(error),
            };
            let text = text.map_err(|source| Error::Http {
                what: Arc::from("the ledger of a backend server"),
                source,
            })?;
            self.runs.add_line(&format!("ledger {text}"));
        }
        Ok(self.runs.clone())
    }

    /// Returns the number of edits that the store refused or did not answer in time.
    pub(super) fn refused_edits(&self) -> u64 {
        self.refused_edits
    }

    /// Returns a description of each violation found so far.
    pub(super) fn broken(&self) -> Vec<String> {
        let mut broken = self.broken.clone();
        broken.extend(self.watch.went_back());
        broken
    }
}

fn callers(node: &Node) -> Option<SocketAddr> {
    node.node.address("callers")?.parse().ok()
}
