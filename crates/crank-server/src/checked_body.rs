//! Response bodies that check their own end, and return their connection to the pool.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use crank_protocol::call::{Body, Refusal};
use futures::{Stream, StreamExt};
use tokio::time::{Instant, timeout_at};

use crate::body_end::BodyEnd;
use crate::connection::{Connection, ConnectionPool};

/// A response body that checks its own end while it is read.
pub(crate) struct CheckedBody<S> {
    body: Pin<Box<S>>,
    remaining_bytes: Option<u64>,
    deadline: Instant,
    is_ended: bool,
    pooled: Option<PooledConnection>,
}

/// A connection in use, and what is needed to return it to the pool after a complete response.
pub(crate) struct PooledConnection {
    pub(crate) pool: ConnectionPool,
    pub(crate) limit: Option<Duration>,
    pub(crate) address: SocketAddr,
    pub(crate) connection: Connection,
}

impl PooledConnection {
    /// Returns the connection to the pool, once the HTTP library is ready for the next request.
    fn return_to_pool(self) {
        let Self {
            pool,
            limit,
            address,
            mut connection,
        } = self;
        if limit == Some(Duration::ZERO) {
            return;
        }
        if connection.is_ready() {
            pool.put_back(address, connection, limit);
            return;
        }
        tokio::spawn(async move {
            if connection.wait_until_ready().await {
                pool.put_back(address, connection, limit);
            }
        });
    }
}

impl<S> CheckedBody<S>
where
    S: Stream<Item = Result<Bytes, hyper::Error>> + Send + 'static,
{
    /// Returns the body as a stream that ends with an error unless the response is complete.
    pub(crate) fn into_stream(
        body: Pin<Box<S>>,
        end: BodyEnd,
        deadline: Instant,
        pooled: PooledConnection,
    ) -> Body {
        let remaining_bytes = match end {
            BodyEnd::None { .. } => Some(0),
            BodyEnd::Length(length) => Some(length),
            BodyEnd::LastChunk | BodyEnd::Unknown => None,
        };
        let checked = Self {
            body,
            remaining_bytes,
            deadline,
            is_ended: false,
            pooled: Some(pooled),
        };
        Box::pin(futures::stream::unfold(checked, |mut checked| async move {
            let next = checked.next().await?;
            Some((next, checked))
        }))
    }

    async fn next(&mut self) -> Option<Result<Bytes, Refusal>> {
        if self.is_ended {
            return None;
        }
        let next = match timeout_at(self.deadline, self.body.next()).await {
            Ok(next) => self.check_chunk(next),
            Err(_) => Some(Err(Refusal::TimedOut)),
        };
        self.is_ended = !matches!(next, Some(Ok(_)));
        if let (false, Some(pooled)) = (self.is_ended, &self.pooled) {
            pooled.connection.record_progress();
        }
        if next.is_none()
            && let Some(pooled) = self.pooled.take()
        {
            pooled.return_to_pool();
        }
        next
    }

    fn check_chunk(
        &mut self,
        next: Option<Result<Bytes, hyper::Error>>,
    ) -> Option<Result<Bytes, Refusal>> {
        match (next, &mut self.remaining_bytes) {
            (Some(Ok(data)), Some(remaining_bytes)) => {
                let remaining = remaining_bytes.checked_sub(data.len() as u64);
                let Some(remaining) = remaining else {
                    return Some(Err(Refusal::Cut));
                };
                *remaining_bytes = remaining;
                Some(Ok(data))
            }
            (Some(Ok(data)), None) => Some(Ok(data)),
            (Some(Err(_)), _) => Some(Err(Refusal::Cut)),
            (None, Some(remaining_bytes)) if *remaining_bytes > 0 => Some(Err(Refusal::Cut)),
            (None, _) => None,
        }
    }
}
