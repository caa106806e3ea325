//! The time after the last answer in which a connection still reads what its peer sends.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, ReadBuf};
use tokio::time::{Sleep, sleep};

const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_LINGER_BYTES: usize = 16 * 1_024 * 1_024;
/// The number of bytes that are read at once.
const READ_BYTES: usize = 16 * 1_024;

/// Discards what a peer sends after the last answer, within bounds.
///
/// Closing a socket that has bytes unread resets the connection, and the reset may overtake the
/// answer (RFC 9112, section 9.6).
pub(crate) struct Linger {
    left_bytes: usize,
    end: Pin<Box<Sleep>>,
}

impl Linger {
    pub(crate) fn new() -> Self {
        Self {
            left_bytes: MAX_LINGER_BYTES,
            end: Box::pin(sleep(LINGER_TIMEOUT)),
        }
    }

    /// Returns `Ready` once the peer has closed its side, or a bound is reached.
    pub(crate) fn poll_end<S>(&mut self, stream: &mut S, context: &mut Context<'_>) -> Poll<()>
    where
        S: AsyncRead + Unpin,
    {
        let mut bytes = [0; READ_BYTES];
        while self.left_bytes > 0 && self.end.as_mut().poll(context).is_pending() {
            let mut read = ReadBuf::new(&mut bytes);
            let result = ready!(Pin::new(&mut *stream).poll_read(context, &mut read));
            let length = read.filled().len();
            if result.is_err() || length == 0 {
                break;
            }
            self.left_bytes = self.left_bytes.saturating_sub(length);
        }
        Poll::Ready(())
    }
}
