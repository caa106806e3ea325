//! A stream whose reader cannot keep a thread to itself.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};

use crate::Progress;

/// The number of bytes that are handed to the reader before other tasks run.
pub const MAX_TURN_BYTES: usize = 64 * 1_024;

/// A stream that hands over at most [`MAX_TURN_BYTES`] at a time, then lets other tasks run.
///
/// ```
/// # use crank_stream::FairStream;
/// fn wrap(stream: tokio::net::TcpStream) -> FairStream<tokio::net::TcpStream> {
///     FairStream::new(stream)
/// }
/// ```
#[derive(Debug)]
pub struct FairStream<S> {
    stream: Take<S>,
    turn_bytes: usize,
    limit: Option<Limit>,
}

#[derive(Debug)]
struct Limit {
    progress: Progress,
    max_unused_bytes: u64,
}

impl<S: AsyncRead> FairStream<S> {
    /// Wraps a stream.
    ///
    /// ```
    /// let stream = crank_stream::FairStream::new(tokio::io::empty());
    /// ```
    #[must_use]
    pub fn new(stream: S) -> Self {
        Self {
            stream: stream.take(0),
            turn_bytes: 0,
            limit: None,
        }
    }

    /// Makes reading fail with [`ErrorKind::InvalidData`] once more than `max_unused_bytes` have
    /// arrived since the last progress, or after [`Progress::end`].
    ///
    /// ```
    /// # use crank_stream::{FairStream, Progress};
    /// let progress = Progress::new();
    /// let stream = FairStream::new(tokio::io::empty()).with_limit(progress, 1_024);
    /// ```
    #[must_use]
    pub fn with_limit(self, progress: Progress, max_unused_bytes: u64) -> Self {
        let limit = Some(Limit {
            progress,
            max_unused_bytes,
        });
        Self { limit, ..self }
    }

    fn check_end(&self) -> Result<()> {
        match &self.limit {
            Some(limit) if limit.progress.is_ended() => {
                let problem = "what has arrived makes up no message";
                Err(Error::new(ErrorKind::InvalidData, problem))
            }
            _ => Ok(()),
        }
    }

    fn count(&mut self, bytes: usize) -> Result<()> {
        self.turn_bytes += bytes;
        let Some(limit) = &self.limit else {
            return Ok(());
        };
        let unused = limit.progress.add(bytes);
        if unused <= limit.max_unused_bytes {
            return Ok(());
        }
        let problem = format!("{unused} bytes have arrived that make up no message");
        Err(Error::new(ErrorKind::InvalidData, problem))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FairStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.check_end()?;
        let left = MAX_TURN_BYTES.saturating_sub(self.turn_bytes);
        if left == 0 {
            self.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        self.stream.set_limit(left as u64);
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            self.turn_bytes = 0;
        }
        ready!(read)?;
        Poll::Ready(self.count(buffer.filled().len() - before))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for FairStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(self.stream.get_mut()).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(self.stream.get_mut()).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(self.stream.get_mut()).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }
}
