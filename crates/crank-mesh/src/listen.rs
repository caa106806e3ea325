//! The one address of a node: datagrams, and connections told apart by their path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crank_protocol::wire::{
    Datagram, MAX_CALL_FRAME_BYTES, MAX_CONTROL_FRAME_BYTES, MAX_DATAGRAM_BYTES,
};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::http::StatusCode;
use tokio_tungstenite::tungstenite::protocol::{Role, WebSocketConfig};
use xtra::WeakAddress;

use crate::actor::{Heard, Mesh, Unreadable};
use crate::{Error, codec, link};

/// The path of control connections.
pub const CONTROL_PATH: &str = "/control";
/// The path of call connections.
pub const CALL_PATH: &str = "/call";

/// How long the other side may take to open a connection.
pub(crate) const HANDSHAKE: Duration = Duration::from_secs(5);
/// Connections that are being opened at once.
const MOST_HANDSHAKES: usize = 128;
/// Attempts to find a port that is free for both UDP and TCP.
const PORT_ATTEMPTS: usize = 16;
/// The pause after the system refused to accept a connection or to receive.
const REFUSED_PAUSE: Duration = Duration::from_millis(50);
const BUFFER_BYTES: usize = 8 * 1_024;
/// Frames waiting for a slow reader on a call connection.
const CALL_WRITE_BUFFER_BYTES: usize = 64 * 1_024;

/// A WebSocket connection between two nodes.
pub type Socket = WebSocketStream<TcpStream>;

/// The bound sockets of a node.
pub(crate) struct Listener {
    pub(crate) address: SocketAddr,
    pub(crate) tcp: TcpListener,
    pub(crate) udp: Arc<UdpSocket>,
}

/// Takes an address for UDP and TCP; with port 0, a port that is free for both.
pub(crate) async fn bind(address: SocketAddr) -> Result<Listener, Error> {
    let failed = |source| Error::Bind { address, source };
    let mut attempt = 0;
    loop {
        attempt += 1;
        let tcp = TcpListener::bind(address).await.map_err(failed)?;
        let bound = tcp.local_addr().map_err(failed)?;
        match UdpSocket::bind(bound).await {
            Ok(udp) => {
                return Ok(Listener {
                    address: bound,
                    tcp,
                    udp: Arc::new(udp),
                });
            }
            Err(source) if address.port() != 0 || attempt == PORT_ATTEMPTS => {
                return Err(failed(source));
            }
            Err(_) => {}
        }
    }
}

/// Reads datagrams until the mesh stops.
pub(crate) async fn receive(socket: Arc<UdpSocket>, mesh: WeakAddress<Mesh>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((bytes, address)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(REFUSED_PAUSE).await;
            continue;
        };
        let decoded = codec::decode::<Datagram>(&buffer[..bytes], MAX_DATAGRAM_BYTES);
        let sent = match decoded {
            Ok(datagram) => {
                mesh.send(Heard {
                    address,
                    datagram,
                    bytes,
                })
                .await
            }
            Err(error) => mesh.send(Unreadable { address, error }).await,
        };
        if sent.is_err() {
            return;
        }
    }
}

/// Accepts connections until the mesh stops.
pub(crate) async fn accept(tcp: TcpListener, mesh: WeakAddress<Mesh>, calls: mpsc::Sender<Socket>) {
    let handshakes = Arc::new(Semaphore::new(MOST_HANDSHAKES));
    while mesh.is_connected() {
        let Ok((stream, address)) = tcp.accept().await else {
            tokio::time::sleep(REFUSED_PAUSE).await;
            continue;
        };
        let Ok(permit) = handshakes.clone().acquire_owned().await else {
            return;
        };
        let (mesh, calls) = (mesh.clone(), calls.clone());
        tokio::spawn(async move {
            let opened = open(stream, address).await;
            drop(permit);
            match opened {
                Ok((socket, Purpose::Control)) => link::run(socket, None, mesh).await,
                Ok((socket, Purpose::Call)) => drop(calls.send(socket).await),
                Err(error) => log::debug!(event = "handshake_failed", peer:% = address; "{error}"),
            }
        });
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Control,
    Call,
}

async fn open(stream: TcpStream, address: SocketAddr) -> Result<(Socket, Purpose), Error> {
    let _ = stream.set_nodelay(true);
    let mut purpose = None;
    #[expect(clippy::result_large_err, reason = "the library's signature")]
    let by_path = |request: &Request, response: Response| {
        purpose = match request.uri().path() {
            CONTROL_PATH => Some(Purpose::Control),
            CALL_PATH => Some(Purpose::Call),
            _ => None,
        };
        if purpose.is_some() {
            return Ok(response);
        }
        let mut refusal = ErrorResponse::new(None);
        *refusal.status_mut() = StatusCode::NOT_FOUND;
        Err(refusal)
    };
    let handshake = tokio_tungstenite::accept_hdr_async_with_config(
        stream,
        by_path,
        Some(limits(Purpose::Control)),
    );
    let socket = timeout(HANDSHAKE, handshake)
        .await
        .map_err(|_| Error::HandshakeTimeout { address })??;
    let purpose = purpose.ok_or(Error::HandshakeTimeout { address })?;
    if purpose == Purpose::Control {
        return Ok((socket, purpose));
    }
    // The other side sends nothing before the handshake has ended, so no byte is lost here.
    let stream = socket.into_inner();
    let socket = WebSocketStream::from_raw_socket(stream, Role::Server, Some(limits(purpose)));
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
        let config = Some(limits(Purpose::Control));
        let (socket, _) = tokio_tungstenite::client_async_with_config(url, stream, config).await?;
        Ok(socket)
    };
    timeout(HANDSHAKE, opening)
        .await
        .map_err(|_| Error::HandshakeTimeout { address })?
}

fn limits(purpose: Purpose) -> WebSocketConfig {
    let (largest, write) = match purpose {
        Purpose::Control => (MAX_CONTROL_FRAME_BYTES, 0),
        Purpose::Call => (MAX_CALL_FRAME_BYTES, CALL_WRITE_BUFFER_BYTES),
    };
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(write)
        .max_message_size(Some(largest))
        .max_frame_size(Some(largest))
}
