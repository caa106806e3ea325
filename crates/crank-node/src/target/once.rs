//! Requests that may run only once.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use crank_engine::claim::{ClaimResult, Fingerprint, RecordedAnswer};
use crank_engine::{Moment, Nonce};
use crank_platform_client::{Error, Rows, claims};
use crank_protocol::Millis;
use crank_protocol::call::{Body, Outcome, Refusal, RefusedRequest, RequestHead, Response};
use futures::StreamExt;
use serde_bytes::ByteBuf;
use tokio::task::JoinHandle;

use super::{Forwarder, Target};
use crate::admission::Permit;

/// The largest answer body that is recorded, in bytes; of a larger one only that it ran.
pub const MAX_RECORDED_BODY_BYTES: usize = 64 * 1_024;

const SETTLE_TRIES: u32 = 8;
const FIRST_SETTLE_WAIT: Duration = Duration::from_millis(250);
const LONGEST_SETTLE_WAIT: Duration = Duration::from_millis(250);
const STORE_LIMIT: Millis = Millis(30_000);

/// A claim that this node asked for, for one request.
#[derive(Debug, Clone)]
struct Receipt {
    key: Arc<str>,
    nonce: Nonce,
    fingerprint: Fingerprint,
}

/// How a claim is settled.
#[derive(Debug, Clone)]
enum Settlement {
    /// The request certainly has not run and will not.
    Release,
    /// It ran, with this answer.
    Record(RecordedAnswer),
}

/// What was read of an answer's body.
enum Content {
    Whole(Bytes),
    TooLarge(Body),
    Cut,
}

impl<P: Rows, F: Forwarder> Target<P, F> {
    /// Claims and runs in a task of its own, because the outcome must be recorded even if the
    /// caller leaves.
    pub(super) async fn run_once(
        &self,
        key: Arc<str>,
        head: RequestHead,
        body: Bytes,
        pass: Permit,
        deadline: Moment,
    ) -> Result<Response, RefusedRequest> {
        let receipt = Receipt {
            key: Arc::from(format!("{}/{key}", head.service)),
            nonce: Nonce::draw(&mut rand::rng()),
            fingerprint: Fingerprint::new(head.method, &head.path, &body),
        };
        let target = self.clone();
        let task = tokio::spawn(async move {
            match target.claim(&receipt, deadline).await? {
                Some(recorded) => target.repeat(&recorded),
                None => {
                    let run = target.run_claimed(&receipt, head, body, pass, deadline);
                    run.await
                }
            }
        });
        match task.await {
            Ok(result) => result,
            Err(_) => Err(self.refused(Refusal::Lost)),
        }
    }

    /// Gives what was recorded where the request ran before, and nothing where it may run now.
    async fn claim(
        &self,
        receipt: &Receipt,
        deadline: Moment,
    ) -> Result<Option<Arc<RecordedAnswer>>, RefusedRequest> {
        let end = self.shared.dependencies.clock.instant(deadline);
        let mut asked = self.ask(receipt.clone());
        let verdict = match tokio::time::timeout_at(end, &mut asked).await {
            Ok(Ok(Ok(verdict))) => verdict,
            Ok(_) => {
                self.settle(receipt.clone(), Settlement::Release);
                return Err(self.refused(Refusal::StoreDown));
            }
            Err(_) => {
                self.abandon(receipt.clone(), asked);
                return Err(self.refused(Refusal::StoreDown));
            }
        };
        match verdict {
            ClaimResult::Won => Ok(None),
            ClaimResult::Recorded(recorded) => Ok(Some(recorded)),
            ClaimResult::InUse => Err(self.refused(Refusal::KeyInUse)),
            ClaimResult::Mismatch => Err(self.refused(Refusal::KeyMismatch)),
        }
    }

    /// Asks in a task of its own: a claim that is dropped half-way could still take effect.
    fn ask(&self, receipt: Receipt) -> JoinHandle<Result<ClaimResult, Error>> {
        let shared = self.shared.clone();
        tokio::spawn(async move {
            let Receipt {
                key,
                nonce,
                fingerprint,
            } = receipt;
            let dependencies = &shared.dependencies;
            let (platform, account) = (&dependencies.platform, &dependencies.account);
            claims::claim(platform, account, &key, nonce, fingerprint, STORE_LIMIT).await
        })
    }

    fn repeat(&self, recorded: &RecordedAnswer) -> Result<Response, RefusedRequest> {
        let Some(body) = &recorded.body else {
            return Err(self.refused(Refusal::Cut));
        };
        let mut head = recorded.head.clone();
        head.load = self.load();
        Ok(Response {
            head,
            body: whole(Bytes::copy_from_slice(body)),
        })
    }

    async fn run_claimed(
        &self,
        receipt: &Receipt,
        head: RequestHead,
        body: Bytes,
        pass: Permit,
        deadline: Moment,
    ) -> Result<Response, RefusedRequest> {
        let result = if self.now() < deadline {
            self.forward(head, body, pass, deadline).await
        } else {
            Err(self.refused(Refusal::TooLate))
        };
        match result {
            Ok(answer) => self.keep(receipt, answer, deadline).await,
            Err(refused) => {
                if refused.outcome == Outcome::NotRun {
                    self.settle_soon(receipt, Settlement::Release, deadline)
                        .await;
                }
                Err(refused)
            }
        }
    }

    /// Records an answer before it is given.
    async fn keep(
        &self,
        receipt: &Receipt,
        mut answer: Response,
        deadline: Moment,
    ) -> Result<Response, RefusedRequest> {
        let content = read(answer.body).await;
        let recorded = RecordedAnswer {
            head: answer.head.clone(),
            body: match &content {
                Content::Whole(body) => Some(ByteBuf::from(body.to_vec())),
                Content::TooLarge(_) | Content::Cut => None,
            },
        };
        self.settle_soon(receipt, Settlement::Record(recorded), deadline)
            .await;
        answer.body = match content {
            Content::Whole(body) => whole(body),
            Content::TooLarge(body) => body,
            Content::Cut => return Err(self.refused(Refusal::Cut)),
        };
        Ok(answer)
    }

    /// Waits a little for the claim to be settled; a slow store does not hold back the answer.
    async fn settle_soon(&self, receipt: &Receipt, settlement: Settlement, deadline: Moment) {
        let half = deadline.since(self.now()).0 / 2;
        let patience = Duration::from_millis(half).min(LONGEST_SETTLE_WAIT);
        let settled = self.settle(receipt.clone(), settlement);
        let _ = tokio::time::timeout(patience, settled).await;
    }

    /// Settles a claim; tries again while the store is down.
    fn settle(&self, receipt: Receipt, settlement: Settlement) -> JoinHandle<()> {
        let target = self.clone();
        let unsettled = self.shared.unsettled.clone();
        tokio::spawn(async move {
            let mut wait = FIRST_SETTLE_WAIT;
            for _ in 0..SETTLE_TRIES {
                match target.settle_now(receipt.clone(), settlement.clone()).await {
                    Ok(()) | Err(Error::ConditionFailed) => break,
                    Err(error) => log::debug!(error:% = error; "claim not settled yet"),
                }
                tokio::time::sleep(wait).await;
                wait *= 2;
            }
            drop(unsettled);
        })
    }

    async fn settle_now(&self, receipt: Receipt, settlement: Settlement) -> Result<(), Error> {
        let Receipt {
            key,
            nonce,
            fingerprint,
        } = receipt;
        let dependencies = &self.shared.dependencies;
        let (platform, account, limit) =
            (&dependencies.platform, &dependencies.account, STORE_LIMIT);
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

    /// Gives up a claim whose answer comes too late.
    fn abandon(&self, receipt: Receipt, asked: JoinHandle<Result<ClaimResult, Error>>) {
        let target = self.clone();
        let unsettled = self.shared.unsettled.clone();
        tokio::spawn(async move {
            match asked.await {
                Ok(Ok(ClaimResult::Recorded(_) | ClaimResult::InUse | ClaimResult::Mismatch)) => {}
                Ok(Ok(ClaimResult::Won) | Err(_)) | Err(_) => {
                    target.settle(receipt, Settlement::Release);
                }
            }
            drop(unsettled);
        });
    }

    /// Claims whose outcome is not recorded, or which are not given up, yet; a leaving node waits
    /// for them.
    ///
    /// ```
    /// # use crank_node::target::{Forwarder, Target};
    /// # use crank_platform_client::Rows;
    /// fn may_go<P: Rows, F: Forwarder>(target: &Target<P, F>) -> bool {
    ///     target.unsettled_claims() == 0
    /// }
    /// ```
    #[must_use]
    pub fn unsettled_claims(&self) -> usize {
        Arc::strong_count(&self.shared.unsettled) - 1
    }
}

async fn read(mut body: Body) -> Content {
    let mut read = BytesMut::new();
    while let Some(next) = body.next().await {
        match next {
            Ok(data) => read.extend_from_slice(&data),
            Err(_) => return Content::Cut,
        }
        if read.len() > MAX_RECORDED_BODY_BYTES {
            return Content::TooLarge(Box::pin(whole(read.freeze()).chain(body)));
        }
    }
    Content::Whole(read.freeze())
}

fn whole(body: Bytes) -> Body {
    Box::pin(futures::stream::once(async move { Ok(body) }))
}
