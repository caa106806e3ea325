//! Reading and writing of call frames on a WebSocket.

use crank_protocol::wire::{Call, Hello, MAX_CALL_FRAME_BYTES, PROTOCOL_VERSION};
use futures::{Sink, SinkExt, Stream, StreamExt};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;
use tokio_tungstenite::tungstenite::protocol::{CloseFrame, WebSocketConfig};
use tokio_tungstenite::tungstenite::{Error as SocketError, Message, Utf8Bytes};

use super::HELLO_TIMEOUT;
use crate::{Error, codec};

const BUFFER_BYTES: usize = 16 * 1_024;

/// Returns the frame size limits and buffer sizes of a call connection.
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

/// Encodes a frame as a binary WebSocket message.
pub(super) fn encode(frame: &Call) -> Result<Message, Error> {
    let bytes = codec::encode(frame, MAX_CALL_FRAME_BYTES)?;
    Ok(Message::Binary(bytes.into()))
}

/// Returns the close message that a drained server sends last.
pub(super) fn drained_close() -> Message {
    Message::Close(Some(CloseFrame {
        code: CloseCode::Away,
        reason: Utf8Bytes::default(),
    }))
}

/// A message read from a connection.
pub(super) enum Incoming {
    Frame(Call),
    /// A ping or a pong.
    Heartbeat,
    Close(CloseReason),
}

/// Why a connection was closed, which decides the outcome of its unanswered requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// No reason was given; unanswered requests may or may not have run.
    Unspecified,
    /// The server was drained: it answered every request that it had started.
    Drained,
    /// The connection went silent; unanswered requests may or may not have run.
    Silent,
}

/// Reads the next message; a text message is an error.
pub(super) async fn read_message<S>(stream: &mut S) -> Result<Incoming, Error>
where
    S: Stream<Item = Result<Message, SocketError>> + Unpin,
{
    match stream.next().await {
        None => Ok(Incoming::Close(CloseReason::Unspecified)),
        Some(Ok(Message::Close(frame))) => {
            let is_drained = frame.is_some_and(|frame| frame.code == CloseCode::Away);
            let reason = if is_drained {
                CloseReason::Drained
            } else {
                CloseReason::Unspecified
            };
            Ok(Incoming::Close(reason))
        }
        Some(Ok(Message::Binary(bytes))) => {
            codec::decode(&bytes, MAX_CALL_FRAME_BYTES).map(Incoming::Frame)
        }
        Some(Ok(Message::Text(_))) => Err(Error::UnexpectedFrame { frame: "text" }),
        Some(Ok(_)) => Ok(Incoming::Heartbeat),
        Some(Err(error)) => Err(error.into()),
    }
}

/// Encodes and sends a frame.
pub(super) async fn write_frame<S>(sink: &mut S, frame: &Call) -> Result<(), Error>
where
    S: Sink<Message, Error = SocketError> + Unpin,
{
    let message = encode(frame)?;
    sink.send(message).await?;
    Ok(())
}

/// Sends the hello of this node, then receives and checks that of the other side.
pub(super) async fn exchange_hellos<S>(socket: &mut S, ours: &Hello) -> Result<Hello, Error>
where
    S: Stream<Item = Result<Message, SocketError>> + Sink<Message, Error = SocketError> + Unpin,
{
    write_frame(socket, &Call::Hello(Box::new(ours.clone()))).await?;
    let theirs = timeout(HELLO_TIMEOUT, read_hello(socket))
        .await
        .map_err(|_| Error::PeerTimeout)??;
    check_hello(ours, &theirs)?;
    Ok(theirs)
}

/// Reads the first frame, which must be a hello.
async fn read_hello<S>(socket: &mut S) -> Result<Hello, Error>
where
    S: Stream<Item = Result<Message, SocketError>> + Unpin,
{
    loop {
        match read_message(socket).await? {
            Incoming::Frame(Call::Hello(hello)) => return Ok(*hello),
            Incoming::Frame(other) => {
                return Err(Error::UnexpectedFrame {
                    frame: frame_kind(&other),
                });
            }
            Incoming::Heartbeat => {}
            Incoming::Close(_) => return Err(Error::PeerTimeout),
        }
    }
}

/// Checks that the other side has the same protocol version and owner.
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

/// Returns the name of a frame's kind for error messages.
pub(super) fn frame_kind(frame: &Call) -> &'static str {
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
