//! The strategy in which every node polls the store.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crank_engine::config::diff;
use crank_protocol::config::{Delta, Snapshot, Stamp};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

use crate::Arguments;
use crate::measure::Latencies;
use crate::scene::snapshot;

/// The size of the IP and TCP headers of a segment and of the segment that acknowledges it.
const SEGMENT_BYTES: u64 = 52 + 52;

/// The reads that the store has served, and their bytes.
#[derive(Default)]
struct ReadCounts {
    reads: AtomicU64,
    bytes: AtomicU64,
}

/// The stamp of the head version and all deltas up to it.
type Head = watch::Receiver<(Stamp, Vec<Delta>)>;

/// Measures polling with reads of the smallest possible size.
///
/// The request holds a version; the response holds the head's stamp and the deltas since that
/// version.
pub(crate) async fn run(arguments: &Arguments, out: &mut impl Write) -> std::io::Result<()> {
    let counts = Arc::new(ReadCounts::default());
    let first = snapshot(1);
    let (head, reader) = watch::channel((first.stamp.clone(), Vec::new()));
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(serve(listener, reader, counts.clone()));

    let (sender, mut seen) = mpsc::unbounded_channel();
    for index in 0..arguments.nodes {
        let stream = TcpStream::connect(address).await?;
        let period = Duration::from_millis(arguments.period);
        let offset = period.mul_f64(crate::as_f64(index) / crate::as_f64(arguments.nodes));
        tokio::spawn(poll(stream, first.clone(), offset, period, sender.clone()));
    }
    let started = Instant::now();
    let mut offered = std::collections::BTreeMap::new();
    let (mut held, mut deltas) = (first, Vec::new());
    for version in 2..arguments.changes + 2 {
        tokio::time::sleep(Duration::from_millis(arguments.interval)).await;
        let next = snapshot(version);
        deltas.push(diff(&held, &next));
        held = next;
        offered.insert(version, Instant::now());
        head.send_replace((held.stamp.clone(), deltas.clone()));
    }
    let elapsed = started.elapsed();
    let reads = counts.reads.load(Ordering::Relaxed);
    let bytes = counts.bytes.load(Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(arguments.period * 2)).await;
    let mut latencies = Latencies::default();
    while let Ok((version, at)) = seen.try_recv() {
        if let Some(since) = offered.get(&version) {
            latencies.record(*since, at);
        }
    }
    let count = arguments.nodes;
    writeln!(out, "Poll nodes={count} period_ms={}", arguments.period)?;
    latencies.print(out, "change")?;
    let rate =
        |count: u64| crate::as_f64(usize::try_from(count).unwrap_or(0)) / elapsed.as_secs_f64();
    let per_node = rate(bytes) / crate::as_f64(count);
    writeln!(
        out,
        "changing store_reads_per_second={:.0} bytes_per_node_second={per_node:.0}",
        rate(reads)
    )
}

/// Serves the connections of all nodes.
async fn serve(listener: TcpListener, head: Head, counts: Arc<ReadCounts>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(stream, head.clone(), counts.clone()));
    }
}

/// Serves the reads of one connection.
async fn serve_connection(
    mut stream: TcpStream,
    head: Head,
    counts: Arc<ReadCounts>,
) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    loop {
        let version = stream.read_u64().await?;
        let mut body = Vec::new();
        {
            let head = head.borrow();
            let (stamp, deltas) = &*head;
            let new_deltas: Vec<&Delta> = deltas
                .iter()
                .filter(|delta| delta.base.version.0 >= version)
                .collect();
            ciborium::into_writer(&(stamp, new_deltas), &mut body)
                .map_err(std::io::Error::other)?;
        }
        stream
            .write_u32(u32::try_from(body.len()).unwrap_or(0))
            .await?;
        stream.write_all(&body).await?;
        counts.reads.fetch_add(1, Ordering::Relaxed);
        counts.bytes.fetch_add(
            12 + body.len() as u64 + 2 * SEGMENT_BYTES,
            Ordering::Relaxed,
        );
    }
}

/// Polls the store and reports each version that becomes known.
async fn poll(
    mut stream: TcpStream,
    mut held: Snapshot,
    offset: Duration,
    period: Duration,
    seen: mpsc::UnboundedSender<(u64, Instant)>,
) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    tokio::time::sleep(offset).await;
    let mut polls = tokio::time::interval(period);
    loop {
        polls.tick().await;
        stream.write_u64(held.stamp.version.0).await?;
        let length = stream.read_u32().await?;
        let mut body = vec![0; usize::try_from(length).unwrap_or(0)];
        stream.read_exact(&mut body).await?;
        let (_, new_deltas): (Stamp, Vec<Delta>) =
            ciborium::from_reader(&body[..]).map_err(std::io::Error::other)?;
        for delta in new_deltas {
            held = crank_engine::config::apply(&held, &delta).map_err(std::io::Error::other)?;
            let _ = seen.send((held.stamp.version.0, Instant::now()));
        }
    }
}
