//! The sockets of a node: one address for UDP datagrams and for WebSocket connections over TCP,
//! which are distinguished by their path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crank_engine::caller_budget::MachineLimits;
use crank_engine::peer_budget::Bounds;
use crank_protocol::wire::{
    Datagram, MAX_CALL_FRAME_BYTES, MAX_CONTROL_FRAME_BYTES, MAX_DATAGRAM_BYTES,
};
use crank_stream::FairStream;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::http::StatusCode;
use tokio_tungstenite::tungstenite::protocol::{Role, WebSocketConfig};
use xtra::WeakAddress;

use crate::actor::{DatagramReceived, DatagramRejected, Mesh};
use crate::call::{Inbound, Registry};
use crate::newcomer::{self, Newcomer};
use crate::{Error, codec, control};

/// The HTTP path of control connections.
pub const CONTROL_PATH: &str = "/control";
/// The HTTP path of call connections.
pub const CALL_PATH: &str = "/call";

/// How long the opening handshake of a connection may take.
pub(crate) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// The most attempts to find a port that is free for both UDP and TCP.
const MAX_PORT_ATTEMPTS: usize = 16;
/// The delay after the operating system failed to accept a connection or to receive a datagram.
const SYSTEM_ERROR_DELAY: Duration = Duration::from_millis(50);
/// The read buffer of a connection.
const READ_BUFFER_BYTES: usize = 8 * 1_024;
/// The write buffer of a call connection, which holds frames for a slow reader.
const CALL_WRITE_BUFFER_BYTES: usize = 64 * 1_024;

/// A WebSocket connection between two nodes.
pub type Socket = WebSocketStream<FairStream<TcpStream>>;

/// The bound sockets of a node and their common address.
pub(crate) struct Listener {
    pub(crate) address: SocketAddr,
    pub(crate) tcp: TcpListener,
    pub(crate) udp: Arc<UdpSocket>,
}

/// Binds an address for UDP and TCP; with port 0, finds a port that is free for both.
pub(crate) async fn bind(address: SocketAddr) -> Result<Listener, Error> {
    let bind_error = |source| Error::Bind { address, source };
    let mut attempt = 0;
    loop {
        attempt += 1;
        let tcp = TcpListener::bind(address).await.map_err(bind_error)?;
        let bound = tcp.local_addr().map_err(bind_error)?;
        match UdpSocket::bind(bound).await {
            Ok(udp) => {
                return Ok(Listener {
                    address: bound,
                    tcp,
                    udp: Arc::new(udp),
                });
            }
            Err(source) if address.port() != 0 || attempt == MAX_PORT_ATTEMPTS => {
                return Err(bind_error(source));
            }
            Err(_) => {}
        }
    }
}

/// Receives datagrams and passes them to the actor until it stops.
pub(crate) async fn receive(socket: Arc<UdpSocket>, mesh: WeakAddress<Mesh>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((bytes, address)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(SYSTEM_ERROR_DELAY).await;
            continue;
        };
        let decoded = codec::decode::<Datagram>(&buffer[..bytes], MAX_DATAGRAM_BYTES);
        let sent = match decoded {
            Ok(datagram) => {
                mesh.send(DatagramReceived {
                    address,
                    datagram,
                    bytes,
                })
                .await
            }
            Err(error) => mesh.send(DatagramRejected { address, error }).await,
        };
        if sent.is_err() {
            return;
        }
    }
}

/// Accepts connections until the actor stops.
pub(crate) async fn accept(
    tcp: TcpListener,
    machine: MachineLimits,
    mesh: WeakAddress<Mesh>,
    calls: mpsc::Sender<Inbound>,
) {
    let door = newcomer::new_door(machine);
    let registry = Registry::new(Bounds::new(machine));
    let accepting = async {
        while mesh.is_connected() {
            let Ok((stream, address)) = tcp.accept().await else {
                tokio::time::sleep(SYSTEM_ERROR_DELAY).await;
                continue;
            };
            let newcomer = Newcomer::enter(&door).await;
            let (registry, mesh, calls) = (registry.clone(), mesh.clone(), calls.clone());
            tokio::spawn(async move {
                match open(stream, address, &newcomer).await {
                    Ok((socket, Purpose::Control)) => {
                        control::accept(socket, newcomer, mesh).await;
                    }
                    Ok((socket, Purpose::Call)) => {
                        let inbound = Inbound::new(socket, newcomer, registry);
                        let _ = calls.send(inbound).await;
                    }
                    Err(error) => {
                        log::debug!(event = "handshake_failed", peer:% = address; "{error}");
                    }
                }
            });
        }
    };
    tokio::select! {
        () = accepting => {}
        () = door.sweep() => {}
    }
}

/// The purpose of a connection, selected by its path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Control,
    Call,
}

/// Completes the handshake of an incoming connection; an unknown path is answered with 404.
async fn open(
    stream: TcpStream,
    address: SocketAddr,
    newcomer: &Newcomer,
) -> Result<(Socket, Purpose), Error> {
    let _ = stream.set_nodelay(true);
    let stream = newcomer.guard(stream);
    let mut purpose = None;
    #[expect(clippy::result_large_err, reason = "the library's signature")]
    let check_path = |request: &Request, response: Response| {
        purpose = match request.uri().path() {
            CONTROL_PATH => Some(Purpose::Control),
            CALL_PATH => Some(Purpose::Call),
            _ => None,
        };
        if purpose.is_some() {
            return Ok(response);
        }
        let mut rejection = ErrorResponse::new(None);
        *rejection.status_mut() = StatusCode::NOT_FOUND;
        Err(rejection)
    };
    let handshake = tokio_tungstenite::accept_hdr_async_with_config(
        stream,
        check_path,
        Some(socket_config(Purpose::Control)),
    );
    let socket = tokio::select! {
        opened = timeout(HANDSHAKE_TIMEOUT, handshake) => {
            opened.map_err(|_| Error::HandshakeTimeout { address })??
        }
        () = newcomer.closed() => return Err(Error::HandshakeTimeout { address }),
    };
    let purpose = purpose.ok_or(Error::HandshakeTimeout { address })?;
    if purpose == Purpose::Control {
        return Ok((socket, purpose));
    }
    // The other side sends nothing before the handshake is complete, so no buffered bytes are lost.
    let stream = socket.into_inner();
    let socket =
        WebSocketStream::from_raw_socket(stream, Role::Server, Some(socket_config(purpose)));
    Ok((socket.await, purpose))
}

/// Opens a control connection to another node.
pub(crate) async fn connect(address: SocketAddr) -> Result<Socket, Error> {
    let opening = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|source| Error::Connect { address, source })?;
        let _ = stream.set_nodelay(true);
        let url = format!("ws://{address}{CONTROL_PATH}");
        let config = Some(socket_config(Purpose::Control));
        let stream = FairStream::new(stream);
        let (socket, _) = tokio_tungstenite::client_async_with_config(url, stream, config).await?;
        Ok(socket)
    };
    timeout(HANDSHAKE_TIMEOUT, opening)
        .await
        .map_err(|_| Error::HandshakeTimeout { address })?
}

/// Returns the size limits and buffer sizes of a connection.
fn socket_config(purpose: Purpose) -> WebSocketConfig {
    let (max_frame_bytes, write_buffer_bytes) = match purpose {
        Purpose::Control => (MAX_CONTROL_FRAME_BYTES, 0),
        Purpose::Call => (MAX_CALL_FRAME_BYTES, CALL_WRITE_BUFFER_BYTES),
    };
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(write_buffer_bytes)
        .max_message_size(Some(max_frame_bytes))
        .max_frame_size(Some(max_frame_bytes))
}
