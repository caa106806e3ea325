//! The actor that holds the member table and the configuration in force.

mod confirmations;
mod datagrams;
mod frames;
mod links;
mod message;
mod requests;
mod rollouts;
mod state;

pub(crate) use message::{
    AnnounceEndpoint, ApplySnapshot, Confirm, ConnectionClosed, ConnectionOpened, DatagramReceived,
    DatagramRejected, DialTarget, EndQuery, FrameReceived, Leave, OfferRollout, ReportHead,
    SendMessage, SendQueries, SetSeeds, StartQuery, Stop, Tick,
};
pub(crate) use state::Mesh;

use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;
use xtra::{Mailbox, WeakAddress};

use crate::call::Inbound;
use crate::handle::Handle;
use crate::listen::{self, Listener};
use crate::settings::Settings;
use state::Outputs;

/// The interval of the actor's periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// The capacity of the actor's mailbox; senders wait when it is full.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Starts the actor and the tasks that feed it.
pub(crate) fn spawn(
    settings: Settings,
    listener: Listener,
    calls: mpsc::Sender<Inbound>,
) -> Handle {
    let Listener { address, tcp, udp } = listener;
    let (outputs, receivers) = Outputs::new(&settings.id);
    let (local_status, local_status_receiver) = watch::channel(crate::LocalStatus::default());
    let (sender, mailbox) = Mailbox::bounded(MAX_QUEUED_MESSAGES);
    let weak_address = sender.downgrade();
    let traffic = outputs.traffic.clone();
    let error_counters = outputs.error_counters.clone();
    let machine = settings.machine;
    let mesh = Mesh::new(
        settings,
        address,
        udp.clone(),
        outputs,
        local_status_receiver,
        weak_address.clone(),
    );
    tokio::spawn(xtra::run(mailbox, mesh));
    let accepting = listen::accept(tcp, machine, weak_address.clone(), calls);
    let receiving = listen::receive(udp, weak_address.clone());
    tokio::spawn(feed_actor(accepting, receiving, weak_address));
    Handle {
        mesh: sender,
        address,
        view: receivers.view,
        config: receivers.config,
        ready: receivers.ready,
        should_follow_store: receivers.should_follow_store,
        store_check: receivers.store_check,
        confirmed_at: receivers.confirmed_at,
        store_era: receivers.store_era,
        rollouts: receivers.rollouts,
        messages: receivers.messages,
        local_status: local_status.into(),
        traffic,
        error_counters,
    }
}

/// Sends datagrams, connections and ticks to the actor until it stops, then frees the address.
async fn feed_actor(
    accepting: impl Future<Output = ()>,
    receiving: impl Future<Output = ()>,
    mesh: WeakAddress<Mesh>,
) {
    let ticking = async {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if mesh.send(Tick).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = accepting => {}
        () = receiving => {}
        () = ticking => {}
    }
}
