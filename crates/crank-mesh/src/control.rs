//! The task of a control connection, which moves frames between its socket and the actor.

use bytes::Bytes;
use crank_protocol::wire::{Control, MAX_CONTROL_FRAME_BYTES};
use futures::{SinkExt, StreamExt};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use xtra::WeakAddress;

use crate::actor::{ConnectionClosed, ConnectionOpened, DialTarget, FrameReceived, Mesh};
use crate::listen::{self, HANDSHAKE_TIMEOUT, Socket};
use crate::{Error, codec};

/// The capacity of the send queue of a connection; the connection is closed when it is full.
const MAX_QUEUED_FRAMES: usize = 64;

/// Opens a control connection and serves it until it ends.
pub(crate) async fn dial(
    dial_target: DialTarget,
    address: std::net::SocketAddr,
    mesh: WeakAddress<Mesh>,
) {
    match listen::connect(address).await {
        Ok(socket) => run(socket, Some(dial_target), mesh).await,
        Err(error) => {
            let connection_id = None;
            let dial_target = Some(dial_target);
            let error = Some(error);
            let _ = mesh
                .send(ConnectionClosed {
                    connection_id,
                    dial_target,
                    error,
                })
                .await;
        }
    }
}

/// Serves an open control connection until either side closes it.
pub(crate) async fn run(
    mut socket: Socket,
    dial_target: Option<DialTarget>,
    mesh: WeakAddress<Mesh>,
) {
    let (sender, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
    let opened = ConnectionOpened {
        dial_target: dial_target.clone(),
        sender,
    };
    let Ok(Some(connection_id)) = mesh.send(opened).await else {
        return;
    };
    let result = exchange(&mut socket, connection_id, frames, &mesh).await;
    let error = result.err();
    let close = CloseFrame {
        code: error.as_ref().map_or(CloseCode::Normal, close_code),
        reason: "".into(),
    };
    let _ = timeout(HANDSHAKE_TIMEOUT, socket.close(Some(close))).await;
    let connection_id = Some(connection_id);
    let _ = mesh
        .send(ConnectionClosed {
            connection_id,
            dial_target,
            error,
        })
        .await;
}

/// Moves frames in both directions until the connection ends.
async fn exchange(
    socket: &mut Socket,
    connection_id: u64,
    mut frames: mpsc::Receiver<Bytes>,
    mesh: &WeakAddress<Mesh>,
) -> Result<(), Error> {
    let (mut write, mut read) = socket.split();
    let writing = async {
        while let Some(frame) = frames.recv().await {
            write.send(Message::Binary(frame)).await?;
        }
        Ok(())
    };
    let reading = async {
        while let Some(message) = read.next().await {
            match message? {
                Message::Binary(bytes) => {
                    let frame = codec::decode::<Control>(&bytes, MAX_CONTROL_FRAME_BYTES)?;
                    let bytes = bytes.len();
                    let handled = mesh
                        .send(FrameReceived {
                            connection_id,
                            frame,
                            bytes,
                        })
                        .await;
                    handled.map_err(|_| Error::Stopped)??;
                }
                Message::Ping(_) | Message::Pong(_) => {}
                Message::Close(_) => break,
                Message::Text(_) | Message::Frame(_) => {
                    let detail = "a frame is text, not binary".to_owned();
                    return Err(Error::Malformed { detail });
                }
            }
        }
        Ok(())
    };
    tokio::select! {
        result = writing => result,
        result = reading => result,
    }
}

/// Returns the WebSocket close code that tells the other side about an error.
fn close_code(error: &Error) -> CloseCode {
    match error {
        Error::Oversized { .. } => CloseCode::Size,
        Error::Malformed { .. } | Error::MissingHello => CloseCode::Protocol,
        Error::ProtocolMismatch { .. } | Error::AccountMismatch { .. } => CloseCode::Policy,
        _ => CloseCode::Normal,
    }
}
