//! A reader of the log who does not read holds up nobody.

#![allow(clippy::unwrap_used)]

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use crank_node::logs::LineQueue;
use log::Level;

const LINES: usize = 20_000;
/// Far more than offering the lines takes, far less than a blocked writer would.
const LIMIT: Duration = Duration::from_secs(10);

/// A pipe whose reader reads only when it is let.
struct Pipe {
    let_go: Receiver<()>,
    is_open: bool,
    written: Sender<Vec<u8>>,
}

impl Write for Pipe {
    fn write(&mut self, data: &[u8]) -> std::io::Result<usize> {
        if !self.is_open {
            self.is_open = self.let_go.recv().is_ok();
        }
        let _ = self.written.send(data.to_vec());
        Ok(data.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_for_a_full_pipe_are_dropped_and_counted_and_warnings_last() {
    let (let_go, waiting) = channel();
    let (written, lines) = channel();
    let queue = LineQueue::new(Box::new(Pipe {
        let_go: waiting,
        is_open: false,
        written,
    }));
    let began = Instant::now();
    for number in 0..LINES {
        queue.enqueue(Level::Info, format!("news {number}\n").into_bytes());
    }
    let news_dropped = queue.dropped();
    for number in 0..100 {
        queue.enqueue(Level::Warn, format!("warning {number}\n").into_bytes());
    }
    assert!(began.elapsed() < LIMIT);
    assert!(news_dropped > 0 && news_dropped < LINES as u64);
    assert_eq!(queue.dropped(), news_dropped);
    let_go.send(()).unwrap();
    drop(queue);
    let text: Vec<u8> = lines.iter().flatten().collect();
    let text = String::from_utf8(text).unwrap();
    assert!(text.contains(&format!("lines={news_dropped}")));
    assert!(text.contains("warning 99"));
}
