//! Structured logs: one line for each event, written by a thread of its own.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, LogSpecification, Logger, LoggerHandle};
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};

use crate::Error;

const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3f%:z";
/// The capacity of the queue of unwritten lines; lines beyond it are counted and dropped.
const MAX_QUEUED_LINES: usize = 4_096;
/// Once this many lines are queued, lines below the level of a warning are dropped.
const MAX_QUEUED_ROUTINE_LINES: usize = MAX_QUEUED_LINES / 2;
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The destination of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sink {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Starts the logger, which stops when the handle is dropped.
///
/// A slow reader never blocks the process: lines wait in a bounded queue, and lines that do not fit
/// are dropped, warnings and errors last. The next line written is preceded by the number dropped.
///
/// # Errors
/// Returns [`Error::Logger`] if the process already has a logger.
///
/// ```
/// let logs = crank_node::logs::start(log::LevelFilter::Info, crank_node::logs::Sink::Stderr)?;
/// log::info!(node = "n1"; "joined");
/// # drop(logs);
/// # Ok::<(), crank_node::Error>(())
/// ```
pub fn start(level: LevelFilter, sink: Sink) -> Result<LoggerHandle, Error> {
    let out: Box<dyn Write + Send> = match sink {
        Sink::Stdout => Box::new(std::io::stdout()),
        Sink::Stderr => Box::new(std::io::stderr()),
    };
    let specification = LogSpecification::builder().default(level).build();
    Ok(Logger::with(specification)
        .log_to_writer(Box::new(LineQueue::new(out)))
        .start()?)
}

/// A bounded queue of log lines with a thread that writes them.
///
/// ```
/// use crank_node::logs::LineQueue;
/// let queue = LineQueue::new(Box::new(std::io::sink()));
/// assert_eq!(queue.dropped(), 0);
/// ```
pub struct LineQueue {
    lines: SyncSender<Message>,
    queued: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
}

enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

impl LineQueue {
    /// Creates a queue in front of a writer, which may be slow.
    ///
    /// ```
    /// # use crank_node::logs::LineQueue;
    /// let queue = LineQueue::new(Box::new(Vec::new()));
    /// ```
    #[must_use]
    pub fn new(out: Box<dyn Write + Send>) -> Self {
        let (lines, receiver) = sync_channel(MAX_QUEUED_LINES);
        let queue = Self {
            lines,
            queued: Arc::default(),
            dropped: Arc::default(),
        };
        let (queued, dropped) = (queue.queued.clone(), queue.dropped.clone());
        std::thread::spawn(move || write_queued(out, &receiver, &queued, &dropped));
        queue
    }

    /// Returns the number of lines dropped since the last line was written.
    ///
    /// ```
    /// # use crank_node::logs::LineQueue;
    /// assert_eq!(LineQueue::new(Box::new(Vec::new())).dropped(), 0);
    /// ```
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Queues a line, or drops it if the queue is full. Lines below a warning are dropped first.
    ///
    /// ```
    /// # use crank_node::logs::LineQueue;
    /// LineQueue::new(Box::new(Vec::new())).enqueue(log::Level::Info, b"joined\n".to_vec());
    /// ```
    pub fn enqueue(&self, level: log::Level, line: Vec<u8>) {
        let is_routine = level > log::Level::Warn;
        let is_busy = self.queued.fetch_add(1, Ordering::Relaxed) >= MAX_QUEUED_ROUTINE_LINES;
        if is_routine && is_busy || self.lines.try_send(Message::Line(line)).is_err() {
            self.queued.fetch_sub(1, Ordering::Relaxed);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_queued(
    mut out: Box<dyn Write + Send>,
    lines: &Receiver<Message>,
    queued: &AtomicUsize,
    dropped: &AtomicU64,
) {
    while let Ok(message) = lines.recv() {
        // A log that cannot be written leaves no place to report the error.
        let _ = match message {
            Message::Line(line) => {
                queued.fetch_sub(1, Ordering::Relaxed);
                let dropped_lines = dropped.swap(0, Ordering::Relaxed);
                if dropped_lines > 0 {
                    let _ = writeln!(
                        out,
                        "level=WARN event=\"log lines dropped\" lines={dropped_lines}"
                    );
                }
                out.write_all(&line)
            }
            Message::Flush(done) => {
                let flushed = out.flush();
                let _ = done.send(());
                flushed
            }
        };
    }
}

impl LogWriter for LineQueue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let mut text = Vec::new();
        write_line(&mut text, now, record)?;
        text.push(b'\n');
        self.enqueue(record.level(), text);
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let (done, flushed_receiver) = sync_channel(1);
        if self.lines.try_send(Message::Flush(done)).is_ok() {
            let _ = flushed_receiver.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn write_line(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = now.format(TIME_FORMAT);
    let level = record.level();
    let target = record.target();
    write!(
        out,
        "time={time} level={level} from={target} event={:?}",
        record.args().to_string()
    )?;
    let mut writer = KeyValueWriter(out);
    record
        .key_values()
        .visit(&mut writer)
        .map_err(std::io::Error::other)
}

struct KeyValueWriter<'a>(&'a mut dyn Write);

impl<'kvs> VisitSource<'kvs> for KeyValueWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let text = value.to_string();
        let is_plain = !text.is_empty() && !text.contains([' ', '"', '=', '\n']);
        let written = if is_plain {
            write!(self.0, " {key}={text}")
        } else {
            write!(self.0, " {key}={text:?}")
        };
        written.map_err(Into::into)
    }
}
