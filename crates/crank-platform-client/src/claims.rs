//! Claims of requests that may run only once.

mod row;

use std::future::Future;
use std::time::Duration;

use crank_engine::Nonce;
use crank_engine::claim::{
    self, Action, Claim, ClaimResult, ClaimStage, Fingerprint, RecordedAnswer, WriteResult,
};
use crank_protocol::{Millis, Name};

use crate::table::{self, Guard};
use crate::{Error, Key, Rows};

const CLAIMS: &str = "claims";
const TRIES: u32 = 5;
const PAUSE: Duration = Duration::from_millis(50);

/// Claims a request under the caller's key.
///
/// The request may run here if, and only if, this gives [`ClaimResult::Won`]. After any error it must
/// be refused as not run. The nonce is drawn for this one claim.
///
/// # Errors
/// [`Error::Unavailable`], or [`Error::AnswerLost`] where the time left was not enough to learn
/// what became of the claim.
///
/// ```
/// # use crank_engine::{Nonce, claim::{Fingerprint, ClaimResult}};
/// # use crank_platform_client::{claims, Memory};
/// # use crank_protocol::{Millis, Name};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = Name::new("lenha-viva").unwrap();
/// let platform = Memory::new();
/// let claim = |nonce| {
///     let fingerprint = Fingerprint("ticket 7".into());
///     claims::claim(&platform, &account, "key-1", Nonce(nonce), fingerprint, Millis(1_000))
/// };
/// assert_eq!(claim(1).await, Ok(ClaimResult::Won));
/// assert_eq!(claim(2).await, Ok(ClaimResult::InUse));
/// # });
/// ```
pub async fn claim(
    platform: &impl Rows,
    account: &Name,
    key: &str,
    nonce: Nonce,
    fingerprint: Fingerprint,
    time_left: Millis,
) -> Result<ClaimResult, Error> {
    let mine = Claim {
        nonce,
        fingerprint,
        stage: ClaimStage::Claimed,
    };
    let key = row_key(account, key);
    in_time(time_left, settle(platform, &key, &mine)).await
}

async fn settle(platform: &impl Rows, key: &Key, mine: &Claim) -> Result<ClaimResult, Error> {
    let mut step = claim::first_action();
    let mut failure = unavailable("the claim was not tried");
    loop {
        step = match step {
            Action::Write { replaces } => {
                let written = put(platform, key, mine, replaces.as_ref()).await;
                let (put, error) = put_result(written);
                failure = error.unwrap_or(failure);
                if put == WriteResult::Lost {
                    // The store is in trouble, and the write may still be on its way.
                    tokio::time::sleep(PAUSE).await;
                }
                claim::after_write(put)
            }
            Action::Read => claim::after_read(mine, found(platform, key).await?.as_ref()),
            Action::Done(verdict) => return Ok(verdict),
            Action::GiveUp => return Err(failure),
        };
    }
}

fn put_result(written: Result<(), Error>) -> (WriteResult, Option<Error>) {
    match written {
        Ok(()) => (WriteResult::Written, None),
        Err(Error::ConditionFailed) => (WriteResult::Refused, None),
        Err(Error::AnswerLost { .. }) => (WriteResult::Lost, None),
        Err(error) => (WriteResult::Unavailable, Some(error)),
    }
}

/// Records the answer of a request that was claimed with this nonce and ran.
///
/// Tried a few times within the time left; doing it twice does no harm.
///
/// # Errors
/// [`Error::ConditionFailed`] where the claim is not this nonce's, [`Error::Unavailable`] or
/// [`Error::AnswerLost`]; the outcome then stays unknown to those who repeat the request.
///
/// ```
/// # use crank_engine::{Nonce, claim::{Fingerprint, RecordedAnswer}};
/// # use crank_platform_client::{claims, Error, Memory};
/// # use crank_protocol::{Millis, Name, call::{ResponseHead, Load}};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = Name::new("lenha-viva").unwrap();
/// let head = ResponseHead { status: 200, headers: vec![], length: Some(0), load: Load::default() };
/// let recorded = RecordedAnswer { head, body: None };
/// let fingerprint = Fingerprint("ticket 7".into());
/// let platform = Memory::new();
/// let done = claims::record(
///     &platform, &account, "key-1", Nonce(1), fingerprint, recorded, Millis(1_000),
/// );
/// assert_eq!(done.await, Err(Error::ConditionFailed));
/// # });
/// ```
pub async fn record(
    platform: &impl Rows,
    account: &Name,
    key: &str,
    nonce: Nonce,
    fingerprint: Fingerprint,
    recorded: RecordedAnswer,
    time_left: Millis,
) -> Result<(), Error> {
    let ended = Claim {
        nonce,
        fingerprint,
        stage: ClaimStage::Recorded(recorded.into()),
    };
    let key = row_key(account, key);
    in_time(time_left, end(platform, &key, &ended)).await
}

/// Frees the key of a request that was claimed with this nonce and certainly was not run, nor will
/// be.
///
/// # Errors
/// As [`record`]; the key then stays in use.
///
/// ```
/// # use crank_engine::{Nonce, claim::{Fingerprint, ClaimResult}};
/// # use crank_platform_client::{claims, Memory};
/// # use crank_protocol::{Millis, Name};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = Name::new("lenha-viva").unwrap();
/// let (platform, time) = (Memory::new(), Millis(1_000));
/// let print = Fingerprint("ticket 7".into());
/// claims::claim(&platform, &account, "k", Nonce(1), print.clone(), time).await.unwrap();
/// claims::release(&platform, &account, "k", Nonce(1), print.clone(), time).await.unwrap();
/// let again = claims::claim(&platform, &account, "k", Nonce(2), print, time).await;
/// assert_eq!(again, Ok(ClaimResult::Won));
/// # });
/// ```
pub async fn release(
    platform: &impl Rows,
    account: &Name,
    key: &str,
    nonce: Nonce,
    fingerprint: Fingerprint,
    time_left: Millis,
) -> Result<(), Error> {
    let ended = Claim {
        nonce,
        fingerprint,
        stage: ClaimStage::Released,
    };
    let key = row_key(account, key);
    in_time(time_left, end(platform, &key, &ended)).await
}

async fn end(platform: &impl Rows, key: &Key, ended: &Claim) -> Result<(), Error> {
    let mut last = unavailable("nothing was tried");
    for _ in 0..TRIES {
        let claimed = mark(ended.nonce, &ClaimStage::Claimed);
        let guard = Guard::Mark(&claimed);
        let row = row::write(key, &mark_of(ended), ended, &guard)?;
        last = match platform.transact(vec![row]).await {
            Ok(()) => return Ok(()),
            Err(Error::ConditionFailed) => {
                let stands = found(platform, key).await?.as_ref() == Some(ended);
                return if stands {
                    Ok(())
                } else {
                    Err(Error::ConditionFailed)
                };
            }
            Err(error) => error,
        };
        tokio::time::sleep(PAUSE).await;
    }
    Err(last)
}

async fn put(
    platform: &impl Rows,
    key: &Key,
    mine: &Claim,
    over: Option<&Nonce>,
) -> Result<(), Error> {
    let released = over.map(|nonce| mark(*nonce, &ClaimStage::Released));
    let guard = released.as_deref().map_or(Guard::Absent, Guard::Mark);
    let row = row::write(key, &mark_of(mine), mine, &guard)?;
    platform.transact(vec![row]).await
}

async fn found(platform: &impl Rows, key: &Key) -> Result<Option<Claim>, Error> {
    let found = platform.row(key).await?;
    found.map(|found| row::read(&found)).transpose()
}

async fn in_time<T>(
    time_left: Millis,
    work: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    match tokio::time::timeout(time_left.into(), work).await {
        Ok(result) => result,
        Err(_) => Err(Error::AnswerLost {
            detail: "the request's time ran out".into(),
        }),
    }
}

fn row_key(account: &Name, key: &str) -> Key {
    Key {
        partition: table::partition(account, &format!("{CLAIMS}/{key}")),
        sort: CLAIMS.into(),
    }
}

fn mark_of(claim: &Claim) -> String {
    mark(claim.nonce, &claim.stage)
}

fn mark(nonce: Nonce, stage: &ClaimStage) -> String {
    let stage = match stage {
        ClaimStage::Claimed => "claimed",
        ClaimStage::Released => "released",
        ClaimStage::Recorded(_) => "recorded",
    };
    format!("{stage}-{:032x}", nonce.0)
}

fn unavailable(detail: &str) -> Error {
    Error::Unavailable {
        detail: detail.into(),
    }
}
