//! The actor that holds membership and the configuration in force.

mod datagrams;
mod frames;
mod links;
mod message;
mod requests;
mod state;

pub(crate) use message::{
    Announce, Ask, BeginAsking, Closed, Dial, EndAsking, Frame, HeadRead, Heard, Leave, Offer,
    Opened, Seeds, Stop, Tick, Unreadable,
};
pub(crate) use state::Mesh;

use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;
use xtra::{Mailbox, WeakAddress};

use crate::handle::Handle;
use crate::listen::{self, Listener, Socket};
use crate::settings::Settings;
use state::Outputs;

/// The time between two ticks of the actor.
const TICK: Duration = Duration::from_millis(200);
/// Messages that wait for the actor before their senders do.
const MAILBOX: usize = 256;

/// Starts the actor and the tasks that feed it.
pub(crate) fn spawn(settings: Settings, listener: Listener, calls: mpsc::Sender<Socket>) -> Handle {
    let Listener { address, tcp, udp } = listener;
    let (outputs, receivers) = Outputs::new(&settings.id);
    let (local_status, local_status_receiver) = watch::channel(crate::LocalStatus::default());
    let (sender, mailbox) = Mailbox::bounded(MAILBOX);
    let weak = sender.downgrade();
    let traffic = outputs.traffic.clone();
    let error_counters = outputs.error_counters.clone();
    let mesh = Mesh::new(
        settings,
        address,
        udp.clone(),
        outputs,
        local_status_receiver,
        weak.clone(),
    );
    tokio::spawn(xtra::run(mailbox, mesh));
    let accepting = listen::accept(tcp, weak.clone(), calls);
    let receiving = listen::receive(udp, weak.clone());
    tokio::spawn(feed(accepting, receiving, weak));
    Handle {
        mesh: sender,
        address,
        view: receivers.view,
        config: receivers.config,
        ready: receivers.ready,
        follows: receivers.follows,
        local_status: local_status.into(),
        traffic,
        error_counters,
    }
}

/// Feeds the actor until it stops; then the address is free again.
async fn feed(
    accepting: impl Future<Output = ()>,
    receiving: impl Future<Output = ()>,
    mesh: WeakAddress<Mesh>,
) {
    let ticking = async {
        let mut ticks = tokio::time::interval(TICK);
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
