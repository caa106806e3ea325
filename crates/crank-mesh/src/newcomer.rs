//! Connections that other nodes have opened and on which they have not said hello yet.

use crank_engine::caller_budget::{Bounds, MachineLimits, Timeouts};
use crank_protocol::Millis;
use crank_stream::{Connection, Door, FairStream, Progress};
use tokio::net::TcpStream;

/// How long a connection may take until the hello has come, handshake included.
const HELLO_TIMEOUT: Millis = Millis(10_000);
/// The most bytes that are read until the hello has been accepted: the head of the handshake, the
/// hello, and what is read ahead behind it.
const MAX_HELLO_BYTES: u64 = 32 * 1_024;

/// Returns the table of the newcomers of one listener.
pub(crate) fn new_door(machine: MachineLimits) -> Door {
    let door = Door::new(Bounds::for_newcomers(machine));
    door.set_timeouts(Timeouts {
        head: HELLO_TIMEOUT,
        ..Timeouts::default()
    });
    door
}

/// The place of a newcomer in its table, which is free again when this value is dropped.
pub(crate) struct Newcomer {
    connection: Connection,
    progress: Progress,
}

impl Newcomer {
    /// Waits for a place; the oldest newcomer gives way if there is none.
    pub(crate) async fn enter(door: &Door) -> Self {
        let connection = door.enter().await;
        connection.expect_head();
        Self {
            connection,
            progress: Progress::new(),
        }
    }

    /// Bounds what is read from a stream until the newcomer is welcome.
    pub(crate) fn guard(&self, stream: TcpStream) -> FairStream<TcpStream> {
        FairStream::new(stream).with_limit(self.progress.clone(), MAX_HELLO_BYTES)
    }

    /// Waits until the newcomer has to give way, or its time is over.
    pub(crate) async fn closed(&self) {
        self.connection.closed().await;
    }

    /// Ends the bounds for newcomers: the other side has said hello.
    pub(crate) fn welcome(self) {
        self.progress.lift_limit();
    }
}
