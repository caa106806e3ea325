//! Structured logs: one line an event, written by a thread of its own.

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

const TIME: &str = "%Y-%m-%dT%H:%M:%S%.3f%:z";
/// Lines that wait for a reader who is slow; what comes beyond them is counted and dropped.
const WAITING_LINES: usize = 4_096;
/// Lines of routine news beyond this many waiting ones are dropped first.
const WAITING_NEWS: usize = WAITING_LINES / 2;
const FAREWELL: Duration = Duration::from_millis(200);

/// Where lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sink {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// Starts the log; it ends when the handle is dropped.
///
/// A reader who does not read holds up nobody: lines wait in a bounded queue, what does not fit is
/// dropped, warnings and errors last, and the next line that is written tells how many were.
///
/// # Errors
/// [`Error::Logger`] where another logger runs in this process.
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

/// A bounded queue of lines with one thread that writes them.
///
/// ```
/// use crank_node::logs::LineQueue;
/// let queue = LineQueue::new(Box::new(std::io::sink()));
/// assert_eq!(queue.dropped(), 0);
/// ```
pub struct LineQueue {
    lines: SyncSender<Message>,
    waiting: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
}

enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

impl LineQueue {
    /// A queue before a writer, which may be slow.
    ///
    /// ```
    /// # use crank_node::logs::LineQueue;
    /// let queue = LineQueue::new(Box::new(Vec::new()));
    /// ```
    #[must_use]
    pub fn new(out: Box<dyn Write + Send>) -> Self {
        let (lines, waiting_lines) = sync_channel(WAITING_LINES);
        let queue = Self {
            lines,
            waiting: Arc::default(),
            dropped: Arc::default(),
        };
        let (waiting, dropped) = (queue.waiting.clone(), queue.dropped.clone());
        std::thread::spawn(move || write_all(out, &waiting_lines, &waiting, &dropped));
        queue
    }

    /// The lines dropped since the last line that was written.
    ///
    /// ```
    /// # use crank_node::logs::LineQueue;
    /// assert_eq!(LineQueue::new(Box::new(Vec::new())).dropped(), 0);
    /// ```
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Offers a line; routine news gives way first.
    ///
    /// ```
    /// # use crank_node::logs::LineQueue;
    /// LineQueue::new(Box::new(Vec::new())).enqueue(log::Level::Info, b"joined\n".to_vec());
    /// ```
    pub fn enqueue(&self, level: log::Level, line: Vec<u8>) {
        let is_news = level > log::Level::Warn;
        let is_crowded = self.waiting.fetch_add(1, Ordering::Relaxed) >= WAITING_NEWS;
        if is_news && is_crowded || self.lines.try_send(Message::Line(line)).is_err() {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_all(
    mut out: Box<dyn Write + Send>,
    lines: &Receiver<Message>,
    waiting: &AtomicUsize,
    dropped: &AtomicU64,
) {
    while let Ok(message) = lines.recv() {
        // There is nobody left to tell of a log that cannot be written.
        let _ = match message {
            Message::Line(line) => {
                waiting.fetch_sub(1, Ordering::Relaxed);
                let lost = dropped.swap(0, Ordering::Relaxed);
                if lost > 0 {
                    let _ = writeln!(out, "level=WARN event=\"log lines dropped\" lines={lost}");
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
        line(&mut text, now, record)?;
        text.push(b'\n');
        self.enqueue(record.level(), text);
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let (done, is_done) = sync_channel(1);
        if self.lines.try_send(Message::Flush(done)).is_ok() {
            let _ = is_done.recv_timeout(FAREWELL);
        }
        Ok(())
    }
}

fn line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
    let time = now.format(TIME);
    let level = record.level();
    let target = record.target();
    write!(
        out,
        "time={time} level={level} from={target} event={:?}",
        record.args().to_string()
    )?;
    let mut pairs = Pairs(out);
    record
        .key_values()
        .visit(&mut pairs)
        .map_err(std::io::Error::other)
}

struct Pairs<'a>(&'a mut dyn Write);

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let text = value.to_string();
        let plain = !text.is_empty() && !text.contains([' ', '"', '=', '\n']);
        let written = if plain {
            write!(self.0, " {key}={text}")
        } else {
            write!(self.0, " {key}={text:?}")
        };
        written.map_err(Into::into)
    }
}
