//! Call frames on a WebSocket.

use crank_protocol::wire::{Call, Hello, MAX_CALL_FRAME_BYTES, PROTOCOL_VERSION};
use futures::{Sink, SinkExt, Stream, StreamExt};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use tokio_tungstenite::tungstenite::protocol::{CloseFrame, WebSocketConfig};
use tokio_tungstenite::tungstenite::{Error as SocketError, Message, Utf8Bytes};

use super::HELLO_LIMIT;
use crate::{Error, codec};

const BUFFER_BYTES: usize = 16 * 1_024;

/// The limits and buffers of a call connection.
///
/// ```
/// let config = crank_mesh::call::socket_config();
/// assert_eq!(config.max_frame_size, Some(crank_protocol::wire::MAX_CALL_FRAME_BYTES));
/// ```
#[must_use]
pub fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MAX_CALL_FRAME_BYTES))
        .max_frame_size(Some(MAX_CALL_FRAME_BYTES))
}

pub(super) fn encode(frame: &Call) -> Result<Message, Error> {
    let bytes = codec::encode(frame, MAX_CALL_FRAME_BYTES)?;
    Ok(Message::Binary(bytes.into()))
}

/// The last message of a side that leaves in good order.
pub(super) fn away() -> Message {
    Message::Close(Some(CloseFrame {
        code: CloseCode::Away,
        reason: Utf8Bytes::default(),
    }))
}

/// What was read from a connection.
pub(super) enum Heard {
    Frame(Call),
    /// A ping or a pong.
    Sign,
    Close(Ended),
}

/// What the end of a connection says of requests that got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ended {
    /// Nothing.
    Closed,
    /// The other side left in good order: it answered all that it had begun.
    Away,
}

pub(super) async fn read<S>(stream: &mut S) -> Result<Heard, Error>
where
    S: Stream<Item = Result<Message, SocketError>> + Unpin,
{
    match stream.next().await {
        None => Ok(Heard::Close(Ended::Closed)),
        Some(Ok(Message::Close(frame))) => {
            let is_away = frame.is_some_and(|frame| frame.code == CloseCode::Away);
            let ended = if is_away { Ended::Away } else { Ended::Closed };
            Ok(Heard::Close(ended))
        }
        Some(Ok(Message::Binary(bytes))) => {
            codec::decode(&bytes, MAX_CALL_FRAME_BYTES).map(Heard::Frame)
        }
        Some(Ok(Message::Text(_))) => Err(Error::UnexpectedFrame { frame: "text" }),
        Some(Ok(_)) => Ok(Heard::Sign),
        Some(Err(error)) => Err(error.into()),
    }
}

pub(super) async fn write<S>(sink: &mut S, frame: &Call) -> Result<(), Error>
where
    S: Sink<Message, Error = SocketError> + Unpin,
{
    let message = encode(frame)?;
    sink.send(message).await?;
    Ok(())
}

/// Sends our hello and checks theirs.
pub(super) async fn greet<S>(socket: &mut S, ours: &Hello) -> Result<Hello, Error>
where
    S: Stream<Item = Result<Message, SocketError>> + Sink<Message, Error = SocketError> + Unpin,
{
    write(socket, &Call::Hello(Box::new(ours.clone()))).await?;
    let theirs = timeout(HELLO_LIMIT, first_frame(socket))
        .await
        .map_err(|_| Error::PeerTimeout)??;
    check_hello(ours, &theirs)?;
    Ok(theirs)
}

async fn first_frame<S>(socket: &mut S) -> Result<Hello, Error>
where
    S: Stream<Item = Result<Message, SocketError>> + Unpin,
{
    loop {
        match read(socket).await? {
            Heard::Frame(Call::Hello(hello)) => return Ok(*hello),
            Heard::Frame(other) => {
                return Err(Error::UnexpectedFrame {
                    frame: kind(&other),
                });
            }
            Heard::Sign => {}
            Heard::Close(_) => return Err(Error::PeerTimeout),
        }
    }
}

fn check_hello(ours: &Hello, theirs: &Hello) -> Result<(), Error> {
    if theirs.protocol != PROTOCOL_VERSION {
        return Err(Error::ProtocolMismatch {
            node: theirs.member.id.clone(),
            theirs: theirs.protocol,
            ours: PROTOCOL_VERSION,
        });
    }
    if theirs.account != ours.account {
        return Err(Error::AccountMismatch {
            node: theirs.member.id.clone(),
            theirs: theirs.account.clone(),
        });
    }
    Ok(())
}

pub(super) fn kind(frame: &Call) -> &'static str {
    match frame {
        Call::Hello(_) => "hello",
        Call::Request { .. } => "request",
        Call::Answer { .. } => "answer",
        Call::Body { .. } => "body",
        Call::End { .. } => "end",
        Call::Refused { .. } => "refused",
        Call::Cancel { .. } => "cancel",
        Call::Credit { .. } => "credit",
    }
}
