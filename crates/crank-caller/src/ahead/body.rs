//! The body of a response: the part that was held until its turn, then the rest.

use std::collections::VecDeque;
use std::error::Error as StdError;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::OwnedSemaphorePermit;

use super::exchange::ExchangeGuard;

/// Why a body cannot be completed.
pub(super) type BoxError = Box<dyn StdError + Send + Sync>;

/// The body of a response, and with it the duration of its exchange.
pub(crate) struct AnswerBody {
    held: VecDeque<Frame<Bytes>>,
    rest: UnsyncBoxBody<Bytes, BoxError>,
    /// The permit for what is held.
    permit: Option<OwnedSemaphorePermit>,
    /// Ends the exchange with the body.
    _exchange: Option<ExchangeGuard>,
}

impl AnswerBody {
    /// Creates a body from its beginning, which was held under a permit, and its rest.
    pub(super) fn new(
        held: VecDeque<Frame<Bytes>>,
        rest: UnsyncBoxBody<Bytes, BoxError>,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Self {
        Self {
            held,
            rest,
            permit,
            _exchange: None,
        }
    }

    /// Creates a body of which nothing was held.
    pub(super) fn whole<B>(body: B) -> Self
    where
        B: Body<Data = Bytes, Error: Into<BoxError>> + Send + 'static,
    {
        let rest = body.map_err(Into::into).boxed_unsync();
        Self::new(VecDeque::new(), rest, None)
    }

    /// Makes the exchange last as long as this body.
    pub(super) fn with_exchange(self, exchange: ExchangeGuard) -> Self {
        Self {
            _exchange: Some(exchange),
            ..self
        }
    }

    fn held_bytes(&self) -> u64 {
        let frames = self.held.iter();
        frames
            .filter_map(Frame::data_ref)
            .map(|data| data.len() as u64)
            .sum()
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let Some(frame) = self.held.pop_front() {
            return Poll::Ready(Some(Ok(frame)));
        }
        self.permit = None;
        Pin::new(&mut self.rest).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.held_bytes();
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(held + rest.lower());
        if let Some(upper) = rest.upper() {
            hint.set_upper(held + upper);
        }
        hint
    }
}
