//! A TCP proxy on loopback that injects delays, stalls, one-way stalls and connection resets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::plan::LinkCondition;
use crate::Error;

const PIECE_BYTES: usize = 16 * 1_024;

/// A proxy to a target address that may change; it stops accepting when it is dropped.
#[derive(Debug)]
pub(super) struct Proxy {
    address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    line: watch::Sender<LinkCondition>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    pub(super) async fn start() -> Result<Self, Error> {
        let bound = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await;
        let listener = bound.map_err(Error::Print)?;
        let address = listener.local_addr().map_err(Error::Print)?;
        let target = Arc::new(Mutex::new(None));
        let line = watch::Sender::new(LinkCondition::Open);
        let task = tokio::spawn(accept_all(listener, target.clone(), line.subscribe()));
        Ok(Self {
            address,
            target,
            line,
            task,
        })
    }

    pub(super) fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    pub(super) fn lead_to(&self, target: Option<SocketAddr>) {
        *self.target.lock() = target;
    }

    pub(super) fn set(&self, line: LinkCondition) {
        self.line.send_replace(line);
    }
}

async fn accept_all(
    listener: TcpListener,
    target: Arc<Mutex<Option<SocketAddr>>>,
    line: watch::Receiver<LinkCondition>,
) {
    while let Ok((near, _)) = listener.accept().await {
        let to = *target.lock();
        let line = line.clone();
        tokio::spawn(async move {
            if let Some(to) = to {
                carry(near, to, line).await;
            }
        });
    }
}

/// Forwards one connection until both directions end or the link is reset.
async fn carry(near: TcpStream, to: SocketAddr, mut line: watch::Receiver<LinkCondition>) {
    if *line.borrow() == LinkCondition::Reset {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let asked = pass(near_read, far_write, line.clone(), Way::Question);
    let answered = pass(far_read, near_write, line.clone(), Way::Answer);
    tokio::select! {
        () = async { tokio::join!(asked, answered); } => {}
        _ = line.wait_for(|line| *line == LinkCondition::Reset) => {}
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    Question,
    Answer,
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut line: watch::Receiver<LinkCondition>,
    way: Way,
) {
    let mut piece = vec![0; PIECE_BYTES];
    while let Ok(length @ 1..) = from.read(&mut piece).await {
        let is_open = |line: &LinkCondition| match line {
            LinkCondition::Open | LinkCondition::Slow { .. } | LinkCondition::Reset => true,
            LinkCondition::OneWay => way == Way::Question,
            LinkCondition::Silent => false,
        };
        // Data held back by a partition arrives once it heals, as TCP would retransmit it.
        if line.wait_for(is_open).await.is_err() {
            return;
        }
        let delay = match *line.borrow() {
            LinkCondition::Slow { delay_ms } => delay_ms,
            _ => 0,
        };
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        if to.write_all(&piece[..length]).await.is_err() {
            return;
        }
    }
    let _ = to.shutdown().await;
}
