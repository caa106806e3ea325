//! The publisher: an actor that carries out what `crank_engine::publish` decides.
//!
//! Each node runs one. It does nothing but wait until the node is a candidate, and reads the
//! folder only while it holds the lease.

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

/// Whose folder is published, by which node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The client account.
    pub account: Name,
    /// The node.
    pub node: Name,
    /// How long a listing must stay the same before the folder is read.
    pub settle_time: Millis,
}

impl Settings {
    /// Settings with the usual settle window.
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

/// The actor.
#[derive(Debug)]
pub struct Publisher<P> {
    platform: P,
    settings: Settings,
    candidate: watch::Receiver<bool>,
    accepted: mpsc::Sender<Snapshot>,
    clock: Clock,
    rng: StdRng,
    tenure: LeaseManager,
    folder: FolderWatch,
    offered: Option<Stamp>,
    looked: Option<Moment>,
    failures: u32,
}

/// Tells the actor to do its next round.
#[derive(Debug, Clone, Copy)]
pub struct RunRound;

/// Tells the actor to give the lease up.
#[derive(Debug, Clone, Copy)]
struct Shutdown;

/// Stops a publisher that was started, and gives up the lease if it holds it.
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
    // It fails only if the actor has stopped already.
    let _ = publisher.send(Shutdown).await;
}

/// Starts the publisher of a node. It stops when the address is dropped.
///
/// What is accepted, by this publisher or another, is sent to `accepted`, each version once.
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
    candidate: watch::Receiver<bool>,
    accepted: mpsc::Sender<Snapshot>,
) -> Address<Publisher<P>> {
    let publisher = Publisher {
        platform,
        tenure: LeaseManager::new(settings.node.clone()),
        folder: FolderWatch::new(settings.settle_time),
        settings,
        candidate,
        accepted,
        clock: Clock::new(),
        rng: StdRng::from_rng(&mut rand::rng()),
        offered: None,
        looked: None,
        failures: 0,
    };
    xtra::spawn_tokio(publisher, Mailbox::unbounded())
}

impl<P: Platform> Actor for Publisher<P> {
    type Stop = ();

    async fn started(&mut self, mailbox: &Mailbox<Self>) -> Result<(), Self::Stop> {
        let wait = backoff::delay(1, &mut self.rng);
        send_later(mailbox.address(), wait);
        Ok(())
    }

    async fn stopped(self) -> Self::Stop {}
}

impl<P: Platform> Handler<RunRound> for Publisher<P> {
    type Return = ();

    async fn handle(&mut self, _round: RunRound, context: &mut Context<Self>) {
        let done = self.round().await;
        let wait = self.wait(done);
        send_later(context.mailbox().address(), wait);
    }
}

impl<P: Platform> Handler<Shutdown> for Publisher<P> {
    type Return = ();

    async fn handle(&mut self, _leave: Shutdown, context: &mut Context<Self>) {
        if let Err(error) = self.give_up().await {
            log::warn!("the publisher's lease is left to lapse: {error}");
        }
        context.stop_self();
    }
}

impl<P: Platform> Publisher<P> {
    fn wait(&mut self, done: Result<Millis, Error>) -> Millis {
        match done {
            Ok(wait) => {
                self.failures = 0;
                wait
            }
            // Another writer was first: what was read is old, and the store is well.
            Err(Error::ConditionFailed) => LEASE_POLL_INTERVAL,
            Err(error) => {
                log::warn!(node = self.settings.node.as_str(), failures = self.failures; "publishing waits: {error}");
                self.failures = self.failures.saturating_add(1);
                backoff::delay(self.failures, &mut self.rng)
            }
        }
    }
}

fn send_later<P: Platform>(address: WeakAddress<Publisher<P>>, wait: Millis) {
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from(wait)).await;
        let _ = address.send(RunRound).detach().await;
    });
}
