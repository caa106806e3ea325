//! Requests that may run only once.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use crank_engine::{Moment, once};
use crank_protocol::Name;
use crank_protocol::call::{Answer, AnswerHead, Body, Head, Header, Outcome, Refusal, Refused};
use futures::StreamExt;
use tokio::task::JoinHandle;

use super::{Forwarder, Target};
use crate::gate::Pass;

/// The largest answer body that is recorded, in bytes; of a larger one only that it ran.
pub const RECORDED_BODY_BYTES: usize = 64 * 1_024;

const SETTLE_TRIES: u32 = 8;
const FIRST_SETTLE_WAIT: Duration = Duration::from_millis(250);
const LONGEST_SETTLE_WAIT: Duration = Duration::from_millis(250);

/// Names a request that may run only once.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Key {
    /// The service that runs it.
    pub service: Name,
    /// The caller's idempotency key.
    pub key: Arc<str>,
}

/// Shows who won a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Receipt {
    /// The claim.
    pub key: Key,
    /// Drawn for the claim; no other claim of this key has it.
    pub nonce: u128,
    /// What tells the request from another one with the same key.
    pub fingerprint: Arc<str>,
}

/// What is kept of a request that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// Its whole answer.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The headers.
        headers: Vec<Header>,
        /// The whole body.
        body: Bytes,
    },
    /// It ran, and its answer was too large, cut, or lost.
    Ran,
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claimed {
    /// The request is claimed and may run now.
    Won,
    /// It ran before.
    Recorded(Record),
    /// Another holds the claim, and has recorded no outcome.
    InUse,
    /// The key was used for another request.
    Mismatch,
}

/// The edge to the rows by which a request runs at most once.
pub trait Claims: Clone + Send + Sync + 'static {
    /// Claims a key, or says what became of it; a lost answer is settled by the nonce.
    ///
    /// # Errors
    /// [`Refusal::StoreDown`] when it is not known whether the claim was won.
    fn claim(&self, receipt: Receipt) -> impl Future<Output = Result<Claimed, Refusal>> + Send;

    /// Records the outcome of a claim that was won.
    ///
    /// # Errors
    /// [`Refusal::StoreDown`] when it is not known whether it was recorded.
    fn record(
        &self,
        receipt: Receipt,
        record: Record,
    ) -> impl Future<Output = Result<(), Refusal>> + Send;

    /// Gives up a claim of a request that certainly has not run; harms no claim with another
    /// nonce, and none that has an outcome.
    ///
    /// # Errors
    /// [`Refusal::StoreDown`] when it is not known whether it was given up.
    fn release(&self, receipt: Receipt) -> impl Future<Output = Result<(), Refusal>> + Send;
}

/// What was read of an answer's body.
enum Content {
    Whole(Bytes),
    TooLarge(Body),
    Cut,
}

impl<C: Claims, F: Forwarder> Target<C, F> {
    /// Claims and runs in a task of its own, because the outcome must be recorded even if the
    /// caller leaves.
    pub(super) async fn run_once(
        &self,
        key: Arc<str>,
        head: Head,
        body: Bytes,
        pass: Pass,
        deadline: Moment,
    ) -> Result<Answer, Refused> {
        let receipt = Receipt {
            key: Key {
                service: head.service.clone(),
                key,
            },
            nonce: rand::random(),
            fingerprint: once::fingerprint(head.method, &head.path, &body),
        };
        let target = self.clone();
        let task = tokio::spawn(async move {
            match target.claim(&receipt, deadline).await? {
                Some(record) => target.repeat(record),
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
    async fn claim(&self, receipt: &Receipt, deadline: Moment) -> Result<Option<Record>, Refused> {
        let end = self.shared.parts.clock.instant(deadline);
        let claims = self.shared.parts.claims.clone();
        let asked = receipt.clone();
        let mut claim = tokio::spawn(async move { claims.claim(asked).await });
        let claimed = match tokio::time::timeout_at(end, &mut claim).await {
            Ok(Ok(Ok(claimed))) => claimed,
            Ok(_) => {
                self.settle(receipt.clone(), None);
                return Err(self.refused(Refusal::StoreDown));
            }
            Err(_) => {
                self.abandon(receipt.clone(), claim);
                return Err(self.refused(Refusal::StoreDown));
            }
        };
        match claimed {
            Claimed::Won => Ok(None),
            Claimed::Recorded(record) => Ok(Some(record)),
            Claimed::InUse => Err(self.refused(Refusal::KeyInUse)),
            Claimed::Mismatch => Err(self.refused(Refusal::KeyMismatch)),
        }
    }

    fn repeat(&self, record: Record) -> Result<Answer, Refused> {
        match record {
            Record::Answered {
                status,
                headers,
                body,
            } => Ok(Answer {
                head: AnswerHead {
                    status,
                    headers,
                    length: Some(body.len() as u64),
                    load: self.load(),
                },
                body: whole(body),
            }),
            Record::Ran => Err(self.refused(Refusal::Cut)),
        }
    }

    async fn run_claimed(
        &self,
        receipt: &Receipt,
        head: Head,
        body: Bytes,
        pass: Pass,
        deadline: Moment,
    ) -> Result<Answer, Refused> {
        let result = if self.now() < deadline {
            self.forward(head, body, pass, deadline).await
        } else {
            Err(self.refused(Refusal::TooLate))
        };
        match result {
            Ok(answer) => self.keep(receipt, answer, deadline).await,
            Err(refused) => {
                if refused.outcome == Outcome::NotRun {
                    self.settle_soon(receipt, None, deadline).await;
                }
                Err(refused)
            }
        }
    }

    /// Records an answer before it is given.
    async fn keep(
        &self,
        receipt: &Receipt,
        mut answer: Answer,
        deadline: Moment,
    ) -> Result<Answer, Refused> {
        let (record, body) = match read(answer.body).await {
            Content::Whole(body) => {
                let record = Record::Answered {
                    status: answer.head.status,
                    headers: answer.head.headers.clone(),
                    body: body.clone(),
                };
                (record, Some(whole(body)))
            }
            Content::TooLarge(body) => (Record::Ran, Some(body)),
            Content::Cut => (Record::Ran, None),
        };
        self.settle_soon(receipt, Some(record), deadline).await;
        match body {
            Some(body) => {
                answer.body = body;
                Ok(answer)
            }
            None => Err(self.refused(Refusal::Cut)),
        }
    }

    /// Waits a little for the claim to be settled; a slow store does not hold back the answer.
    async fn settle_soon(&self, receipt: &Receipt, record: Option<Record>, deadline: Moment) {
        let half = deadline.since(self.now()).0 / 2;
        let patience = Duration::from_millis(half).min(LONGEST_SETTLE_WAIT);
        let task = self.settle(receipt.clone(), record);
        let _ = tokio::time::timeout(patience, task).await;
    }

    /// Records the outcome of a claim, or gives up the claim where there is none; tries again
    /// while the store is down.
    fn settle(&self, receipt: Receipt, record: Option<Record>) -> JoinHandle<()> {
        let claims = self.shared.parts.claims.clone();
        let unsettled = Unsettled::new(&self.shared.unsettled);
        tokio::spawn(async move {
            let mut wait = FIRST_SETTLE_WAIT;
            for _ in 0..SETTLE_TRIES {
                let settled = match record.clone() {
                    Some(record) => claims.record(receipt.clone(), record).await,
                    None => claims.release(receipt.clone()).await,
                };
                if settled.is_ok() {
                    break;
                }
                tokio::time::sleep(wait).await;
                wait *= 2;
            }
            drop(unsettled);
        })
    }

    /// Gives up a claim whose answer comes too late.
    fn abandon(&self, receipt: Receipt, claim: JoinHandle<Result<Claimed, Refusal>>) {
        let target = self.clone();
        tokio::spawn(async move {
            let not_won = matches!(
                claim.await,
                Ok(Ok(Claimed::Recorded(_)
                    | Claimed::InUse
                    | Claimed::Mismatch))
            );
            if !not_won {
                target.settle(receipt, None);
            }
        });
    }

    /// Claims whose outcome is not recorded, or which are not given up, yet; a leaving node waits
    /// for them.
    ///
    /// ```
    /// # use crank_node::target::{Claims, Forwarder, Target};
    /// fn may_go<C: Claims, F: Forwarder>(target: &Target<C, F>) -> bool {
    ///     target.unsettled() == 0
    /// }
    /// ```
    #[must_use]
    pub fn unsettled(&self) -> usize {
        Arc::strong_count(&self.shared.unsettled) - 1
    }
}

/// Counts a claim as unsettled as long as it lives.
struct Unsettled {
    _counted: Arc<()>,
}

impl Unsettled {
    fn new(counter: &Arc<()>) -> Self {
        Self {
            _counted: counter.clone(),
        }
    }
}

async fn read(mut body: Body) -> Content {
    let mut read = BytesMut::new();
    while let Some(next) = body.next().await {
        match next {
            Ok(data) => read.extend_from_slice(&data),
            Err(_) => return Content::Cut,
        }
        if read.len() > RECORDED_BODY_BYTES {
            return Content::TooLarge(Box::pin(whole(read.freeze()).chain(body)));
        }
    }
    Content::Whole(read.freeze())
}

fn whole(body: Bytes) -> Body {
    Box::pin(futures::stream::once(async move { Ok(body) }))
}
