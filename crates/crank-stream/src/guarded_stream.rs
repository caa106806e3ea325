//! A stream whose use is counted for its connection.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::Connection;
use crate::linger::Linger;

/// A stream that tells its [`Connection`] what is read and written, and when its peer is not ready.
///
/// Where a request was refused before it was read whole, its shutdown lasts until the peer has closed
/// its side, within bounds.
pub struct GuardedStream<S> {
    stream: S,
    connection: Connection,
    linger: Option<Linger>,
}

impl<S> GuardedStream<S> {
    pub(crate) fn new(stream: S, connection: Connection) -> Self {
        Self {
            stream,
            connection,
            linger: None,
        }
    }

    fn record(&self, written: &Poll<Result<usize>>) {
        match written {
            Poll::Pending => self.connection.record_blocked(),
            Poll::Ready(Ok(bytes)) => self.connection.record_written(*bytes),
            Poll::Ready(Err(_)) => {}
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.connection.record_read(bytes);
        }
        read
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for GuardedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if flushed.is_ready() {
            self.connection.record_flushed();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let this = &mut *self;
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(context))?;
        }
        if this.connection.has_unread() {
            let linger = this.linger.get_or_insert_with(Linger::new);
            ready!(linger.poll_end(&mut this.stream, context));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
