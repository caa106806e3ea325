//! The publisher: an actor that carries out the decisions of `crank_engine::publish`.
//!
//! Each node runs one. It stays idle until the node is a candidate, and reads the folder only while
//! it holds the lease.

mod round;

use std::time::Duration;

use crank_engine::publish::{FolderWatch, LEASE_POLL_INTERVAL, LeaseManager, SETTLE_WINDOW};
use crank_engine::{Moment, backoff};
use crank_platform_client::{Error, Platform};
use crank_protocol::config::{Snapshot, Stamp};
use crank_protocol::{Millis, Name};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::{mpsc, watch};
use xtra::{Actor, Address, Context, Handler, Mailbox, WeakAddress};

use crate::clock::Clock;

/// The settings of a publisher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The client account whose folder is published.
    pub account: Name,
    /// The node that runs the publisher.
    pub node: Name,
    /// How long a listing must stay unchanged before the folder is read.
    pub settle_time: Millis,
}

impl Settings {
    /// Creates settings with the default settle time.
    ///
    /// ```
    /// use crank_node::publisher::Settings;
    /// use crank_protocol::Name;
    /// let settings = Settings::new(Name::new("sutkent")?, Name::new("n1")?);
    /// assert_eq!(settings.settle_time, crank_engine::publish::SETTLE_WINDOW);
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    #[must_use]
    pub fn new(account: Name, node: Name) -> Self {
        Self {
            account,
            node,
            settle_time: SETTLE_WINDOW,
        }
    }
}

/// The actor that publishes the folder while it holds the lease.
#[derive(Debug)]
pub struct Publisher<P> {
    platform: P,
    settings: Settings,
    is_candidate: watch::Receiver<bool>,
    accepted: mpsc::Sender<Snapshot>,
    clock: Clock,
    rng: StdRng,
    lease_manager: LeaseManager,
    folder_watch: FolderWatch,
    last_delivered: Option<Stamp>,
    last_head_read: Option<Moment>,
    failures: u32,
}

/// The message that makes the actor run its next round.
#[derive(Debug, Clone, Copy)]
pub struct RunRound;

/// The message that makes the actor release its lease and stop.
#[derive(Debug, Clone, Copy)]
struct Shutdown;

/// Stops a publisher, which releases the lease if it holds it.
///
/// ```
/// # use crank_node::publisher::{Settings, start, stop};
/// # use crank_platform_client::Memory;
/// # use crank_protocol::Name;
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let settings = Settings::new(Name::new("sutkent").unwrap(), Name::new("n1").unwrap());
/// # let (_is_candidate, candidate) = tokio::sync::watch::channel(true);
/// # let (accepted, _snapshots) = tokio::sync::mpsc::channel(1);
/// let publisher = start(Memory::new(), settings, candidate, accepted);
/// stop(publisher).await;
/// # });
/// ```
pub async fn stop<P: Platform>(publisher: Address<Publisher<P>>) {
    // Sending fails only if the actor has already stopped.
    let _ = publisher.send(Shutdown).await;
}

/// Starts the publisher of a node. It stops when the address is dropped.
///
/// Each accepted version, by this publisher or another, is sent to `accepted` once.
///
/// ```
/// use crank_node::publisher::{Settings, start};
/// use crank_platform_client::Memory;
/// use crank_protocol::Name;
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let settings = Settings::new(Name::new("sutkent").unwrap(), Name::new("n1").unwrap());
/// let (_is_candidate, candidate) = tokio::sync::watch::channel(true);
/// let (accepted, _snapshots) = tokio::sync::mpsc::channel(1);
/// let publisher = start(Memory::new(), settings, candidate, accepted);
/// assert!(publisher.is_connected());
/// # });
/// ```
#[must_use]
pub fn start<P: Platform>(
    platform: P,
    settings: Settings,
    is_candidate: watch::Receiver<bool>,
    accepted: mpsc::Sender<Snapshot>,
) -> Address<Publisher<P>> {
    let publisher = Publisher {
        platform,
        lease_manager: LeaseManager::new(settings.node.clone()),
        folder_watch: FolderWatch::new(settings.settle_time),
        settings,
        is_candidate,
        accepted,
        clock: Clock::new(),
        rng: StdRng::from_rng(&mut rand::rng()),
        last_delivered: None,
        last_head_read: None,
        failures: 0,
    };
    xtra::spawn_tokio(publisher, Mailbox::unbounded())
}

impl<P: Platform> Actor for Publisher<P> {
    type Stop = ();

    async fn started(&mut self, mailbox: &Mailbox<Self>) -> Result<(), Self::Stop> {
        let delay = backoff::delay(1, &mut self.rng);
        schedule_round(mailbox.address(), delay);
        Ok(())
    }

    async fn stopped(self) -> Self::Stop {}
}

impl<P: Platform> Handler<RunRound> for Publisher<P> {
    type Return = ();

    async fn handle(&mut self, _round: RunRound, context: &mut Context<Self>) {
        let result = self.run_round().await;
        let delay = self.next_delay(result);
        schedule_round(context.mailbox().address(), delay);
    }
}

impl<P: Platform> Handler<Shutdown> for Publisher<P> {
    type Return = ();

    async fn handle(&mut self, _leave: Shutdown, context: &mut Context<Self>) {
        if let Err(error) = self.release_lease().await {
            log::warn!("the publisher's lease was not released and will expire: {error}");
        }
        context.stop_self();
    }
}

impl<P: Platform> Publisher<P> {
    fn next_delay(&mut self, result: Result<Millis, Error>) -> Millis {
        match result {
            Ok(delay) => {
                self.failures = 0;
                delay
            }
            // Another writer was first: the state read is out of date, but the store works.
            Err(Error::ConditionFailed) => LEASE_POLL_INTERVAL,
            Err(error) => {
                log::warn!(
                    node = self.settings.node.as_str(),
                    failures = self.failures;
                    "publishing failed; retrying after a backoff: {error}"
                );
                self.failures = self.failures.saturating_add(1);
                backoff::delay(self.failures, &mut self.rng)
            }
        }
    }
}

fn schedule_round<P: Platform>(address: WeakAddress<Publisher<P>>, delay: Millis) {
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from(delay)).await;
        let _ = address.send(RunRound).detach().await;
    });
}
