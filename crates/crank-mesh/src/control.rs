//! The task of a control connection, which moves frames between its socket and the actor.

use bytes::Bytes;
use crank_protocol::wire::{Control, MAX_CONTROL_FRAME_BYTES};
use futures::{SinkExt, Stream, StreamExt};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use tokio_tungstenite::tungstenite::{Error as SocketError, Message};
use xtra::WeakAddress;

use crate::actor::{ConnectionClosed, ConnectionOpened, DialTarget, FrameReceived, Mesh};
use crate::listen::{self, HANDSHAKE_TIMEOUT, Socket};
use crate::newcomer::Newcomer;
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
        Ok(socket) => run(socket, Some(dial_target), None, mesh).await,
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

/// Serves a control connection that another node has opened until it ends.
pub(crate) async fn accept(socket: Socket, newcomer: Newcomer, mesh: WeakAddress<Mesh>) {
    run(socket, None, Some(newcomer), mesh).await;
}

/// Serves an open control connection until either side closes it.
async fn run(
    mut socket: Socket,
    dial_target: Option<DialTarget>,
    newcomer: Option<Newcomer>,
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
    let result = exchange(&mut socket, connection_id, newcomer, frames, &mesh).await;
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
    mut newcomer: Option<Newcomer>,
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
        while let Some(message) = next_message(&mut read, newcomer.as_ref()).await? {
            match message {
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
                    // The first frame can only be a hello.
                    if let Some(newcomer) = newcomer.take() {
                        newcomer.welcome();
                    }
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

/// Reads the next message; a newcomer has to send it before it gives way.
async fn next_message<S>(
    read: &mut S,
    newcomer: Option<&Newcomer>,
) -> Result<Option<Message>, Error>
where
    S: Stream<Item = Result<Message, SocketError>> + Unpin,
{
    let message = match newcomer {
        Some(newcomer) => tokio::select! {
            message = read.next() => message,
            () = newcomer.closed() => return Err(Error::PeerTimeout),
        },
        None => read.next().await,
    };
    Ok(message.transpose()?)
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
