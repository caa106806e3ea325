//! Requests that may run only once: claims them in the store and records their outcome.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use crank_engine::claim::{ClaimResult, Fingerprint, RecordedAnswer};
use crank_engine::{Moment, Nonce};
use crank_platform_client::{Error, Rows, claims};
use crank_protocol::Millis;
use crank_protocol::call::{
    Body, Outcome, Refusal, RefusedRequest, RequestHead, Response, is_final_status,
};
use futures::StreamExt;
use serde_bytes::ByteBuf;
use tokio::task::JoinHandle;

use super::{Forwarder, Target};
use crate::admission::Permit;

/// The largest response body that is recorded, in bytes; for a larger one only the run is recorded.
pub const MAX_RECORDED_BODY_BYTES: usize = 64 * 1_024;

const MAX_SETTLE_ATTEMPTS: u32 = 8;
const INITIAL_SETTLE_BACKOFF: Duration = Duration::from_millis(250);
const MAX_SETTLE_WAIT: Duration = Duration::from_millis(250);
const STORE_TIMEOUT: Millis = Millis(30_000);

/// A claim that this node has requested for one request.
#[derive(Debug, Clone)]
struct RequestedClaim {
    key: Arc<str>,
    nonce: Nonce,
    fingerprint: Fingerprint,
}

/// How a claim is settled.
#[derive(Debug, Clone)]
enum Settlement {
    /// The request has certainly not run and will not run.
    Release,
    /// The request ran and got this response.
    Record(RecordedAnswer),
}

/// The part of a response's body that was read.
enum BodyContent {
    Complete(Bytes),
    TooLarge(Body),
    Cut,
}

impl<P: Rows, F: Forwarder> Target<P, F> {
    /// Claims and runs a request in a task of its own, because the outcome must be recorded even if
    /// the caller disconnects.
    pub(super) async fn run_once(
        &self,
        key: Arc<str>,
        head: RequestHead,
        body: Bytes,
        permit: Permit,
        deadline: Moment,
    ) -> Result<Response, RefusedRequest> {
        let claim = RequestedClaim {
            key: Arc::from(format!("{}/{key}", head.service)),
            nonce: Nonce::draw(&mut rand::rng()),
            fingerprint: Fingerprint::new(head.method, &head.path, &body),
        };
        let target = self.clone();
        let task = tokio::spawn(async move {
            match target.claim(&claim, deadline).await? {
                Some(recorded) => target.replay(&recorded),
                None => {
                    let run = target.run_claimed(&claim, head, body, permit, deadline);
                    run.await
                }
            }
        });
        match task.await {
            Ok(result) => result,
            Err(_) => Err(self.refused(Refusal::Lost)),
        }
    }

    /// Claims a request. Returns the recorded response if it ran before, or nothing if it may run
    /// now.
    async fn claim(
        &self,
        claim: &RequestedClaim,
        deadline: Moment,
    ) -> Result<Option<Arc<RecordedAnswer>>, RefusedRequest> {
        let end = self.shared.dependencies.clock.to_instant(deadline);
        let mut pending = self.spawn_claim(claim.clone());
        let result = match tokio::time::timeout_at(end, &mut pending).await {
            Ok(Ok(Ok(result))) => result,
            Ok(_) => {
                self.settle(claim.clone(), Settlement::Release);
                return Err(self.refused(Refusal::StoreDown));
            }
            Err(_) => {
                self.abandon(claim.clone(), pending);
                return Err(self.refused(Refusal::StoreDown));
            }
        };
        match result {
            ClaimResult::Won => Ok(None),
            ClaimResult::Recorded(recorded) => Ok(Some(recorded)),
            ClaimResult::InUse => Err(self.refused(Refusal::KeyInUse)),
            ClaimResult::Mismatch => Err(self.refused(Refusal::KeyMismatch)),
        }
    }

    /// Claims in a task of its own: a claim whose future is dropped could still take effect.
    fn spawn_claim(&self, claim: RequestedClaim) -> JoinHandle<Result<ClaimResult, Error>> {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let RequestedClaim {
                key,
                nonce,
                fingerprint,
            } = claim;
            let dependencies = &shared.dependencies;
            let (platform, account) = (&dependencies.platform, &dependencies.account);
            claims::claim(platform, account, &key, nonce, fingerprint, STORE_TIMEOUT).await
        })
    }

    fn replay(&self, recorded: &RecordedAnswer) -> Result<Response, RefusedRequest> {
        let is_final = is_final_status(recorded.head.status);
        let Some(body) = recorded.body.as_ref().filter(|_| is_final) else {
            return Err(self.refused(Refusal::Cut));
        };
        let mut head = recorded.head.clone();
        head.load = self.load();
        Ok(Response {
            head,
            body: single_chunk(Bytes::copy_from_slice(body)),
        })
    }

    async fn run_claimed(
        &self,
        claim: &RequestedClaim,
        head: RequestHead,
        body: Bytes,
        permit: Permit,
        deadline: Moment,
    ) -> Result<Response, RefusedRequest> {
        let result = if self.now() < deadline {
            self.forward(head, body, permit, deadline).await
        } else {
            Err(self.refused(Refusal::TooLate))
        };
        match result {
            Ok(response) => self.record(claim, response, deadline).await,
            Err(refused) => {
                if refused.outcome == Outcome::NotRun {
                    self.settle_briefly(claim, Settlement::Release, deadline)
                        .await;
                }
                Err(refused)
            }
        }
    }

    /// Records a response before it is returned to the caller.
    async fn record(
        &self,
        claim: &RequestedClaim,
        mut response: Response,
        deadline: Moment,
    ) -> Result<Response, RefusedRequest> {
        let content = read_body(response.body).await;
        let recorded = RecordedAnswer {
            head: response.head.clone(),
            body: match &content {
                BodyContent::Complete(body) => Some(ByteBuf::from(body.to_vec())),
                BodyContent::TooLarge(_) | BodyContent::Cut => None,
            },
        };
        self.settle_briefly(claim, Settlement::Record(recorded), deadline)
            .await;
        response.body = match content {
            BodyContent::Complete(body) => single_chunk(body),
            BodyContent::TooLarge(body) => body,
            BodyContent::Cut => return Err(self.refused(Refusal::Cut)),
        };
        Ok(response)
    }

    /// Waits briefly for the claim to be settled, so that a slow store does not delay the response.
    async fn settle_briefly(
        &self,
        claim: &RequestedClaim,
        settlement: Settlement,
        deadline: Moment,
    ) {
        let half_ms = deadline.since(self.now()).0 / 2;
        let max_wait = Duration::from_millis(half_ms).min(MAX_SETTLE_WAIT);
        let settled = self.settle(claim.clone(), settlement);
        let _ = tokio::time::timeout(max_wait, settled).await;
    }

    /// Settles a claim in a task of its own, with retries while the store is down.
    fn settle(&self, claim: RequestedClaim, settlement: Settlement) -> JoinHandle<()> {
        let target = self.clone();
        let unsettled_claims = self.shared.unsettled_claims.clone();
        tokio::spawn(async move {
            let mut backoff = INITIAL_SETTLE_BACKOFF;
            for _ in 0..MAX_SETTLE_ATTEMPTS {
                match target.try_settle(claim.clone(), settlement.clone()).await {
                    Ok(()) | Err(Error::ConditionFailed) => break,
                    Err(error) => log::debug!(error:% = error; "claim not settled; retrying"),
                }
                tokio::time::sleep(backoff).await;
                backoff *= 2;
            }
            drop(unsettled_claims);
        })
    }

    async fn try_settle(&self, claim: RequestedClaim, settlement: Settlement) -> Result<(), Error> {
        let RequestedClaim {
            key,
            nonce,
            fingerprint,
        } = claim;
        let dependencies = &self.shared.dependencies;
        let (platform, account, limit) =
            (&dependencies.platform, &dependencies.account, STORE_TIMEOUT);
        match settlement {
            Settlement::Release => {
                claims::release(platform, account, &key, nonce, fingerprint, limit).await
            }
            Settlement::Record(recorded) => {
                let record =
                    claims::record(platform, account, &key, nonce, fingerprint, recorded, limit);
                record.await
            }
        }
    }

    /// Releases a claim whose result arrives after the deadline.
    fn abandon(&self, claim: RequestedClaim, pending: JoinHandle<Result<ClaimResult, Error>>) {
        let target = self.clone();
        let unsettled_claims = self.shared.unsettled_claims.clone();
        tokio::spawn(async move {
            match pending.await {
                Ok(Ok(ClaimResult::Recorded(_) | ClaimResult::InUse | ClaimResult::Mismatch)) => {}
                Ok(Ok(ClaimResult::Won) | Err(_)) | Err(_) => {
                    target.settle(claim, Settlement::Release);
                }
            }
            drop(unsettled_claims);
        });
    }

    /// Returns the number of claims that are neither recorded nor released yet; a leaving node
    /// waits for them.
    ///
    /// ```
    /// # use crank_node::target::{Forwarder, Target};
    /// # use crank_platform_client::Rows;
    /// fn is_drained<P: Rows, F: Forwarder>(target: &Target<P, F>) -> bool {
    ///     target.unsettled_claims() == 0
    /// }
    /// ```
    #[must_use]
    pub fn unsettled_claims(&self) -> usize {
        Arc::strong_count(&self.shared.unsettled_claims) - 1
    }
}

async fn read_body(mut body: Body) -> BodyContent {
    let mut read = BytesMut::new();
    while let Some(next) = body.next().await {
        match next {
            Ok(data) => read.extend_from_slice(&data),
            Err(_) => return BodyContent::Cut,
        }
        if read.len() > MAX_RECORDED_BODY_BYTES {
            return BodyContent::TooLarge(Box::pin(single_chunk(read.freeze()).chain(body)));
        }
    }
    BodyContent::Complete(read.freeze())
}

fn single_chunk(body: Bytes) -> Body {
    Box::pin(futures::stream::once(async move { Ok(body) }))
}
