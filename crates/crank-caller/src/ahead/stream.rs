//! The stream between a connection and the HTTP library.

use std::collections::VecDeque;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};

use super::early::EarlyCall;
use super::exchange::{Exchange, Stage};
use super::framing::{self, Extent, Framed};
use super::start::Starter;
use super::target::Target;
use super::{MAX_AHEAD_BYTES, Service};
use crate::{Gateway, MAX_WAITING_REQUESTS};

/// The number of bytes that are read at once while heads are looked for.
const READ_BYTES: usize = 4 * 1_024;

/// A stream that hands the HTTP library one request after the other, and starts the calls of those
/// that were sent ahead.
///
/// Where the end of a request is not certain, everything from its beginning on is handed over as it
/// arrives, and nothing starts ahead any more.
pub(crate) struct AheadStream<T, S, G> {
    stream: Take<T>,
    starter: Arc<Starter<S, G>>,
    exchange: Exchange,
    /// Bytes that have arrived and were not handed over.
    buffer: BytesMut,
    /// The bytes of the request that is being handed over that are still to be handed over.
    current_left: u64,
    /// The requests behind it whose head is in the buffer.
    ahead: VecDeque<RequestAhead>,
    /// The size of all of `ahead`, in bytes.
    ahead_bytes: u64,
    /// Whether the end of the request behind `ahead` is unknown.
    is_unclear: bool,
    /// Whether the caller has closed its side.
    is_ended: bool,
}

/// A request that was not handed over yet.
struct RequestAhead {
    extent: Extent,
    call: Option<EarlyCall>,
    /// Whether it was found that the request may not start before its turn.
    must_wait: bool,
}

impl<T: AsyncRead, S, G> AheadStream<T, S, G> {
    pub(super) fn new(stream: T, starter: Arc<Starter<S, G>>, exchange: Exchange) -> Self {
        let is_unclear = starter.is_off();
        Self {
            stream: stream.take(0),
            starter,
            exchange,
            buffer: BytesMut::new(),
            current_left: 0,
            ahead: VecDeque::new(),
            ahead_bytes: 0,
            is_unclear,
            is_ended: false,
        }
    }
}

impl<T: AsyncRead + Unpin, S: Service, G: Gateway> AheadStream<T, S, G> {
    /// Hands over bytes of the current request, or of everything once boundaries are unclear.
    fn poll_pass(
        &mut self,
        context: &mut Context<'_>,
        target: &mut ReadBuf<'_>,
        limit: u64,
    ) -> Poll<Result<u64>> {
        if self.buffer.is_empty() {
            let before = target.filled().len();
            self.stream.set_limit(limit);
            ready!(Pin::new(&mut self.stream).poll_read(context, target))?;
            return Poll::Ready(Ok((target.filled().len() - before) as u64));
        }
        let limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let count = limit.min(self.buffer.len()).min(target.remaining());
        target.put_slice(&self.buffer[..count]);
        self.buffer.advance(count);
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        Poll::Ready(Ok(count as u64))
    }

    /// Reads into the buffer until nothing more has arrived, or the buffer is full.
    fn read_ahead(&mut self, context: &mut Context<'_>) -> Result<()> {
        while !self.is_ended && self.buffer.len() < MAX_AHEAD_BYTES {
            let mut bytes = [0; READ_BYTES];
            let mut read = ReadBuf::new(&mut bytes);
            let room = MAX_AHEAD_BYTES - self.buffer.len();
            self.stream.set_limit(room as u64);
            let Poll::Ready(done) = Pin::new(&mut self.stream).poll_read(context, &mut read) else {
                break;
            };
            done?;
            self.is_ended = read.filled().is_empty();
            self.buffer.extend_from_slice(read.filled());
        }
        Ok(())
    }

    /// Finds the requests whose heads are in the buffer.
    fn find_requests(&mut self) {
        while !self.is_unclear {
            let Ok(begin) = usize::try_from(self.ahead_bytes) else {
                return;
            };
            let Some(bytes) = self.buffer.get(begin..).filter(|bytes| !bytes.is_empty()) else {
                return;
            };
            match framing::frame(bytes) {
                Framed::Message(extent) => {
                    self.ahead_bytes += extent.bytes();
                    self.ahead.push_back(RequestAhead {
                        extent,
                        call: None,
                        must_wait: false,
                    });
                }
                Framed::Partial if !self.is_ended => return,
                Framed::Partial | Framed::Unclear => self.is_unclear = true,
            }
        }
    }

    /// Makes the running request the last one if too many wait behind it.
    fn bound_requests(&self) {
        if self.ahead.len() > MAX_WAITING_REQUESTS {
            self.starter.ask_to_leave();
        }
    }

    /// Starts the calls of the requests at hand, up to the first that must wait for its turn.
    fn start_calls(&mut self) {
        if self.ahead.is_empty() {
            return;
        }
        let running = self.exchange.running();
        let runs_alone = running.is_none_or(|running| !self.starter.allows(&running));
        if runs_alone {
            return;
        }
        let mut begin = 0;
        for request in self.ahead.iter_mut().take(self.starter.max_requests()) {
            if request.call.is_none() {
                let head = &self.buffer[begin..begin + request.extent.head_bytes];
                request.start(&self.starter, head, &self.exchange);
            }
            if request.call.is_none() {
                return;
            }
            begin += request.extent.head_bytes;
        }
    }

    /// Begins to hand over the next request; returns whether there is one.
    fn begin_next(&mut self) -> bool {
        let Some(next) = self.ahead.pop_front() else {
            return false;
        };
        self.current_left = next.extent.bytes();
        self.ahead_bytes -= next.extent.bytes();
        self.exchange.hand_over(next.call);
        true
    }

    /// Gives up on boundaries: what is left is handed over as it arrives.
    fn give_up_boundaries(&mut self) {
        self.is_unclear = true;
        self.ahead.clear();
        self.ahead_bytes = 0;
        self.exchange.forget_started();
    }

    fn poll_between(&mut self, context: &mut Context<'_>) -> Poll<Result<Step>> {
        match self.exchange.stage() {
            Stage::Unrecognised => {
                self.give_up_boundaries();
                Poll::Ready(Ok(Step::Pass))
            }
            Stage::Answering => {
                self.read_ahead(context)?;
                if self.is_ended {
                    return Poll::Ready(Ok(Step::End));
                }
                self.find_requests();
                self.bound_requests();
                self.start_calls();
                if !self.buffer.is_empty() {
                    self.exchange.wake_when_free(context);
                }
                Poll::Pending
            }
            Stage::Free => {
                if self.ahead.is_empty() {
                    self.read_ahead(context)?;
                    self.find_requests();
                    self.bound_requests();
                }
                if self.begin_next() || self.is_unclear || self.is_ended {
                    return Poll::Ready(Ok(Step::Pass));
                }
                Poll::Pending
            }
        }
    }
}

/// What follows between two requests.
enum Step {
    /// Bytes are handed over.
    Pass,
    /// The caller has left: nothing more is handed over.
    End,
}

impl RequestAhead {
    fn start<S: Service, G: Gateway>(
        &mut self,
        starter: &Starter<S, G>,
        head: &[u8],
        exchange: &Exchange,
    ) {
        if self.must_wait || self.extent.body_bytes > 0 {
            return;
        }
        let request = framing::parse_safe_head(head);
        let Some(request) = request.filter(|request| starter.allows(&Target::new(request))) else {
            self.must_wait = true;
            return;
        };
        self.call = starter.start(request);
        if self.call.is_some() {
            exchange.record_start();
        }
    }
}

impl<T: AsyncRead + Unpin, S: Service, G: Gateway> AsyncRead for AheadStream<T, S, G> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let this = &mut *self;
        let has_boundaries = !this.is_unclear || !this.ahead.is_empty();
        if this.current_left == 0 && has_boundaries {
            match ready!(this.poll_between(context))? {
                Step::Pass => {}
                Step::End => return Poll::Ready(Ok(())),
            }
        }
        if this.is_ended && this.buffer.is_empty() {
            return Poll::Ready(Ok(()));
        }
        if this.current_left == 0 {
            ready!(this.poll_pass(context, target, u64::MAX))?;
            return Poll::Ready(Ok(()));
        }
        let passed = ready!(this.poll_pass(context, target, this.current_left))?;
        this.current_left -= passed;
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin, S: Service, G: Gateway> AsyncWrite
    for AheadStream<T, S, G>
{
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
