//! One control connection: a task that moves frames between a socket and the actor.

use bytes::Bytes;
use crank_protocol::wire::{Control, MAX_CONTROL_FRAME_BYTES};
use futures::{SinkExt, StreamExt};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use xtra::WeakAddress;

use crate::actor::{Closed, Dial, Frame, Mesh, Opened};
use crate::listen::{self, HANDSHAKE, Socket};
use crate::{Error, codec};

/// Frames that wait for a slow reader before its connection is closed.
const MOST_WAITING: usize = 64;

/// Opens a control connection and serves it.
pub(crate) async fn dial(dial: Dial, address: std::net::SocketAddr, mesh: WeakAddress<Mesh>) {
    match listen::connect(address).await {
        Ok(socket) => run(socket, Some(dial), mesh).await,
        Err(error) => {
            let link = None;
            let dial = Some(dial);
            let error = Some(error);
            let _ = mesh.send(Closed { link, dial, error }).await;
        }
    }
}

/// Serves an open control connection until either side ends it.
pub(crate) async fn run(mut socket: Socket, dial: Option<Dial>, mesh: WeakAddress<Mesh>) {
    let (sender, frames) = mpsc::channel(MOST_WAITING);
    let opened = Opened {
        dial: dial.clone(),
        sender,
    };
    let Ok(Some(link)) = mesh.send(opened).await else {
        return;
    };
    let ended = exchange(&mut socket, link, frames, &mesh).await;
    let error = ended.err();
    let close = CloseFrame {
        code: error.as_ref().map_or(CloseCode::Normal, close_code),
        reason: "".into(),
    };
    let _ = timeout(HANDSHAKE, socket.close(Some(close))).await;
    let link = Some(link);
    let _ = mesh.send(Closed { link, dial, error }).await;
}

async fn exchange(
    socket: &mut Socket,
    link: u64,
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
                    let taken = mesh.send(Frame { link, frame, bytes }).await;
                    taken.map_err(|_| Error::Stopped)??;
                }
                Message::Ping(_) | Message::Pong(_) => {}
                Message::Close(_) => break,
                Message::Text(_) | Message::Frame(_) => {
                    let detail = "a frame is not binary".to_owned();
                    return Err(Error::Malformed { detail });
                }
            }
        }
        Ok(())
    };
    tokio::select! {
        ended = writing => ended,
        ended = reading => ended,
    }
}

fn close_code(error: &Error) -> CloseCode {
    match error {
        Error::Oversized { .. } => CloseCode::Size,
        Error::Malformed { .. } | Error::MissingHello => CloseCode::Protocol,
        Error::ProtocolMismatch { .. } | Error::AccountMismatch { .. } => CloseCode::Policy,
        _ => CloseCode::Normal,
    }
}
