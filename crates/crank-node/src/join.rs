//! Joining the mesh with what the platform's store knows.

use std::time::Duration;

use crank_engine::backoff;
use crank_mesh::{Handle, StoreHead};
use crank_platform_client::contacts::Contact;
use crank_platform_client::{Error, Platform, Rows, configs, contacts, head};
use crank_protocol::Name;
use crank_protocol::member::Place;

const CONTACT_REFRESH: Duration = Duration::from_secs(600);
const SHORTEST_SEARCH: Duration = Duration::from_millis(500);
const LONGEST_SEARCH: Duration = Duration::from_millis(2_000);

/// Helps a starting node to its peers: the contact rows, of which each node keeps one.
#[derive(Clone)]
pub struct PeerDiscovery<P> {
    /// The client account.
    pub account: Name,
    /// The node's name.
    pub node: Name,
    /// Where the node stands.
    pub place: Place,
    /// The platform's table service.
    pub platform: P,
    /// The mesh.
    pub mesh: Handle,
}

impl<P: Rows> PeerDiscovery<P> {
    /// Looks for peers until there is one, and now and then after that.
    ///
    /// ```
    /// # use crank_node::join::PeerDiscovery;
    /// # use crank_platform_client::Rows;
    /// fn start<P: Rows>(discovery: PeerDiscovery<P>) {
    ///     tokio::spawn(discovery.find_peers());
    /// }
    /// ```
    pub async fn find_peers(self) {
        let mut failures = 0;
        loop {
            let is_alone = self.is_alone();
            if is_alone && let Err(error) = self.load_seeds().await {
                log::debug!(error:% = error; "contact rows not read");
            }
            failures = if is_alone { failures + 1 } else { 0 };
            let wait = Duration::from(backoff::delay(failures, &mut rand::rng()));
            tokio::time::sleep(wait.clamp(SHORTEST_SEARCH, LONGEST_SEARCH)).await;
        }
    }

    fn is_alone(&self) -> bool {
        let view = self.mesh.view().borrow().clone();
        !view
            .members()
            .any(|member| member.id != self.node && view.is_reachable(member))
    }

    /// Gives the mesh the addresses in the contact rows.
    ///
    /// # Errors
    /// What the store answered.
    ///
    /// ```
    /// # use crank_node::join::PeerDiscovery;
    /// # use crank_platform_client::{Error, Rows};
    /// async fn once<P: Rows>(discovery: PeerDiscovery<P>) -> Result<(), Error> {
    ///     discovery.load_seeds().await
    /// }
    /// ```
    pub async fn load_seeds(&self) -> Result<(), Error> {
        let known = contacts::read(&self.platform, &self.account).await?;
        let seeds = known.iter().filter(|contact| contact.id != self.node);
        let seeds = seeds.map(|contact| contact.address).collect();
        let _ = self.mesh.set_seeds(seeds).await;
        Ok(())
    }

    /// Keeps this node's contact row, by which later starters find it.
    ///
    /// ```
    /// # use crank_node::join::PeerDiscovery;
    /// # use crank_platform_client::Rows;
    /// fn start<P: Rows>(discovery: PeerDiscovery<P>) {
    ///     tokio::spawn(discovery.keep_registered());
    /// }
    /// ```
    pub async fn keep_registered(self) {
        let mut failures = 0;
        loop {
            let contact = Contact {
                id: self.node.clone(),
                place: self.place.clone(),
                address: self.mesh.address(),
            };
            let wait = match contacts::write(&self.platform, &self.account, &contact).await {
                Ok(()) => {
                    failures = 0;
                    CONTACT_REFRESH.mul_f64(rand::random_range(0.75..1.25))
                }
                Err(error) => {
                    log::warn!(error:% = error; "contact row not written");
                    failures += 1;
                    backoff::delay(failures, &mut rand::rng()).into()
                }
            };
            tokio::time::sleep(wait).await;
        }
    }
}

/// Helps a starting node to its peers and to the accepted configuration.
#[derive(Clone)]
pub struct Bootstrap<P> {
    /// The way to its peers.
    pub discovery: PeerDiscovery<P>,
}

impl<P: Platform> Bootstrap<P> {
    /// Asks the store until this node may serve.
    ///
    /// ```
    /// # use crank_node::join::Bootstrap;
    /// # use crank_platform_client::Platform;
    /// fn start<P: Platform>(bootstrap: Bootstrap<P>) {
    ///     tokio::spawn(bootstrap.run_until_ready());
    /// }
    /// ```
    pub async fn run_until_ready(self) {
        let mut ready = self.discovery.mesh.ready();
        let mut failures = 0;
        while !*ready.borrow() {
            if let Err(error) = self.ask().await {
                log::warn!(error:% = error; "the store does not help a starting node");
                let _ = self
                    .discovery
                    .mesh
                    .report_head(StoreHead::Unavailable)
                    .await;
            }
            failures += 1;
            let wait = Duration::from(backoff::delay(failures, &mut rand::rng()));
            let _ = tokio::time::timeout(wait, ready.wait_for(|ready| *ready)).await;
        }
    }

    /// One round: peers from the contact rows, then the head and its configuration.
    async fn ask(&self) -> Result<(), Error> {
        let PeerDiscovery {
            account,
            platform,
            mesh,
            ..
        } = &self.discovery;
        self.discovery.load_seeds().await?;
        let Some(head) = head::read(platform, account).await? else {
            let _ = mesh.report_head(StoreHead::Empty).await;
            return Ok(());
        };
        let _ = mesh
            .report_head(StoreHead::Accepted(head.stamp.clone()))
            .await;
        let held = mesh
            .config()
            .borrow()
            .as_ref()
            .map(|held| held.stamp.version);
        if held < Some(head.stamp.version) {
            let snapshot = configs::read(platform, account, &head.stamp).await?;
            let _ = mesh.apply_snapshot(snapshot).await;
        }
        Ok(())
    }
}
