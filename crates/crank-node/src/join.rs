//! Peer discovery and start-up with the help of the platform's store.

use std::time::Duration;

use crank_engine::backoff;
use crank_mesh::{Handle, StoreHead};
use crank_platform_client::contacts::Contact;
use crank_platform_client::{Error, Platform, Rows, configs, contacts, head};
use crank_protocol::Name;
use crank_protocol::member::Place;

const CONTACT_REFRESH_INTERVAL: Duration = Duration::from_secs(600);
/// Contact rows that the store has lost are written again within this time, spread over the nodes.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(1_000);
const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(500);
const MAX_SEARCH_INTERVAL: Duration = Duration::from_millis(2_000);

/// Finds peers through the contact rows in the store, of which each node keeps one.
#[derive(Clone)]
pub struct PeerDiscovery<P> {
    /// The owner whose nodes form the mesh.
    pub account: Name,
    /// The name of this node.
    pub node: Name,
    /// The region and data centre of this node.
    pub place: Place,
    /// The client of the platform's table service.
    pub platform: P,
    /// The handle of this node's mesh.
    pub mesh: Handle,
}

impl<P: Rows> PeerDiscovery<P> {
    /// Seeds the mesh from the contact rows whenever this node reaches no other node.
    ///
    /// Runs until the future is dropped.
    ///
    /// ```
    /// # use crank_node::join::PeerDiscovery;
    /// # use crank_platform_client::Rows;
    /// fn start<P: Rows>(discovery: PeerDiscovery<P>) {
    ///     tokio::spawn(discovery.find_peers());
    /// }
    /// ```
    pub async fn find_peers(self) {
        let mut attempts = 0;
        loop {
            let is_alone = self.is_alone();
            if is_alone && let Err(error) = self.load_seeds().await {
                log::debug!(error:% = error; "contact rows could not be read; retrying");
            }
            attempts = if is_alone { attempts + 1 } else { 0 };
            let wait = Duration::from(backoff::delay(attempts, &mut rand::rng()));
            tokio::time::sleep(wait.clamp(MIN_SEARCH_INTERVAL, MAX_SEARCH_INTERVAL)).await;
        }
    }

    fn is_alone(&self) -> bool {
        let view = self.mesh.view().borrow().clone();
        !view
            .members()
            .any(|member| member.id != self.node && view.is_reachable(member))
    }

    /// Reads the contact rows and sets the other nodes' addresses as seeds of the mesh.
    ///
    /// # Errors
    /// Returns the error of the store.
    ///
    /// ```
    /// # use crank_node::join::PeerDiscovery;
    /// # use crank_platform_client::{Error, Rows};
    /// async fn once<P: Rows>(discovery: PeerDiscovery<P>) -> Result<(), Error> {
    ///     discovery.load_seeds().await
    /// }
    /// ```
    pub async fn load_seeds(&self) -> Result<(), Error> {
        let contacts = contacts::read(&self.platform, &self.account).await?;
        let seeds = contacts.iter().filter(|contact| contact.id != self.node);
        let seeds = seeds.map(|contact| contact.address).collect();
        let _ = self.mesh.set_seeds(seeds).await;
        Ok(())
    }

    /// Writes and refreshes this node's contact row, by which nodes that start later find it. It is
    /// written again soon after the store has come back from an older copy, which may lack it.
    ///
    /// Runs until the future is dropped.
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
        let mut era = self.mesh.store_era();
        loop {
            let contact = Contact {
                id: self.node.clone(),
                place: self.place.clone(),
                address: self.mesh.address(),
            };
            let wait = match contacts::write(&self.platform, &self.account, &contact).await {
                Ok(()) => {
                    failures = 0;
                    CONTACT_REFRESH_INTERVAL.mul_f64(rand::random_range(0.75..1.25))
                }
                Err(error) => {
                    log::warn!(error:% = error; "contact row could not be written; retrying");
                    failures += 1;
                    backoff::delay(failures, &mut rand::rng()).into()
                }
            };
            if let Ok(Ok(())) = tokio::time::timeout(wait, era.changed()).await {
                let spread = MAX_REWRITE_DELAY.mul_f64(rand::random());
                tokio::time::sleep(spread).await;
            }
        }
    }
}

/// Finds the peers and the accepted configuration of a starting node.
#[derive(Clone)]
pub struct Bootstrap<P> {
    /// Finds the peers.
    pub discovery: PeerDiscovery<P>,
}

impl<P: Platform> Bootstrap<P> {
    /// Reads peers and the accepted configuration from the store until the node is ready.
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
        let mut attempts = 0;
        while !*ready.borrow() {
            if let Err(error) = self.run_round().await {
                log::warn!(error:% = error; "store read failed during start-up; retrying");
                let _ = self
                    .discovery
                    .mesh
                    .report_head(StoreHead::Unavailable)
                    .await;
            }
            attempts += 1;
            let wait = Duration::from(backoff::delay(attempts, &mut rand::rng()));
            let _ = tokio::time::timeout(wait, ready.wait_for(|ready| *ready)).await;
        }
    }

    /// Reads the contact rows, then the head, and the head's configuration if it is newer.
    async fn run_round(&self) -> Result<(), Error> {
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
        let current = mesh
            .config()
            .borrow()
            .as_ref()
            .map(|snapshot| snapshot.stamp.version);
        if current < Some(head.stamp.version) {
            let snapshot = configs::read(platform, account, &head.stamp).await?;
            let _ = mesh.apply_snapshot(snapshot).await;
        }
        Ok(())
    }
}
