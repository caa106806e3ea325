//! A stalled reader of the log never blocks the process.

#![allow(clippy::unwrap_used)]

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use crank_node::logs::LineQueue;
use log::Level;

const LINES: usize = 20_000;
/// Far longer than queueing the lines takes, far shorter than a blocked writer would take.
const LIMIT: Duration = Duration::from_secs(10);

/// A pipe whose reader is blocked until it gets a signal.
struct Pipe {
    unblock: Receiver<()>,
    is_open: bool,
    written: Sender<Vec<u8>>,
}

impl Write for Pipe {
    fn write(&mut self, data: &[u8]) -> std::io::Result<usize> {
        if !self.is_open {
            self.is_open = self.unblock.recv().is_ok();
        }
        let _ = self.written.send(data.to_vec());
        Ok(data.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_beyond_the_queue_are_dropped_and_counted_with_warnings_last() {
    let (unblock, unblocked) = channel();
    let (written, lines) = channel();
    let queue = LineQueue::new(Box::new(Pipe {
        unblock: unblocked,
        is_open: false,
        written,
    }));
    let started_at = Instant::now();
    for number in 0..LINES {
        queue.enqueue(Level::Info, format!("news {number}\n").into_bytes());
    }
    let routine_dropped = queue.dropped();
    for number in 0..100 {
        queue.enqueue(Level::Warn, format!("warning {number}\n").into_bytes());
    }
    assert!(started_at.elapsed() < LIMIT);
    assert!(routine_dropped > 0 && routine_dropped < LINES as u64);
    assert_eq!(queue.dropped(), routine_dropped);
    unblock.send(()).unwrap();
    drop(queue);
    let text: Vec<u8> = lines.iter().flatten().collect();
    let text = String::from_utf8(text).unwrap();
    assert!(text.contains(&format!("lines={routine_dropped}")));
    assert!(text.contains("warning 99"));
}
