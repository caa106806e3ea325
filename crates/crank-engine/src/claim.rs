//! Claims on idempotency keys, so that a request runs at most once.
//!
//! A claim is a row under the caller's idempotency key, which is written only if the key has no row
//! yet. The node that wrote the row may run the request; every other node gets the recorded answer
//! or learns that the outcome is unknown. This module decides what a row means and what to do next.

use std::sync::Arc;

use crank_protocol::call::ResponseHead;
use crank_protocol::config::Method;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use sha2::{Digest, Sha256};

use crate::Nonce;

/// A hash of a request's method, path and body, which distinguishes requests under the same key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub Arc<str>);

impl Fingerprint {
    /// Computes the SHA-256 hash of a request's method, path and body, in hexadecimal.
    ///
    /// ```
    /// use crank_engine::claim::Fingerprint;
    /// use crank_protocol::config::Method;
    /// let one = Fingerprint::new(Method::Post, "/tickets", b"12 t");
    /// assert_eq!(one, Fingerprint::new(Method::Post, "/tickets", b"12 t"));
    /// assert_ne!(one, Fingerprint::new(Method::Post, "/tickets", b"13 t"));
    /// assert_ne!(one, Fingerprint::new(Method::Post, "/tickets1", b"2 t"));
    /// ```
    #[must_use]
    pub fn new(method: Method, path: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        hasher.update([method as u8]);
        hasher.update((path.len() as u64).to_be_bytes());
        hasher.update(path);
        hasher.update(body);
        Self(Arc::from(hex::encode(hasher.finalize())))
    }
}

/// The recorded answer of a request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedAnswer {
    /// The status and headers of the answer.
    pub head: ResponseHead,
    /// The complete body; `None` if it was too large to be recorded.
    pub body: Option<ByteBuf>,
}

/// The stage of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimStage {
    /// The request may be about to run, be running, or have run without a recorded answer.
    Claimed,
    /// The request was certainly not run, and the key may be claimed again.
    Released,
    /// The request ran, and this is its answer.
    Recorded(Arc<RecordedAnswer>),
}

/// The content of a claim row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The nonce that the claiming node drew.
    pub nonce: Nonce,
    /// The fingerprint of the claimed request.
    pub fingerprint: Fingerprint,
    /// The stage of the claimed request.
    pub stage: ClaimStage,
}

/// The result of an attempt to claim a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The claim succeeded: the request may run here and nowhere else.
    Won,
    /// The request ran before, and this is its answer.
    Recorded(Arc<RecordedAnswer>),
    /// The request was claimed before, and no answer is recorded: its outcome is unknown.
    InUse,
    /// The key was used for another request.
    Mismatch,
}

/// The result of writing a claim row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WriteResult {
    /// The write took effect.
    Written,
    /// The condition of the write did not hold.
    Refused,
    /// The store did not answer: the write may have taken effect or may still do so.
    Lost,
    /// The store did not accept the write.
    Unavailable,
}

/// The next action of a node that claims a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Write the claim row, on the condition that the key has no row or that the row is the
    /// released claim with this nonce.
    Write {
        /// The nonce of the released claim to replace; `None` if the key must have no row.
        replaces: Option<Nonce>,
    },
    /// Read the claim row.
    Read,
    /// Stop: the claim has this result.
    Done(ClaimResult),
    /// Refuse the request: it was not run and will not be run here.
    GiveUp,
}

/// Returns the first action of a node that claims a key.
///
/// ```
/// use crank_engine::claim::{Action, first_action};
/// assert_eq!(first_action(), Action::Write { replaces: None });
/// ```
#[must_use]
pub fn first_action() -> Action {
    Action::Write { replaces: None }
}

/// Returns the action that follows the write of a claim row.
///
/// ```
/// use crank_engine::claim::{Action, ClaimResult, WriteResult, after_write};
/// assert_eq!(after_write(WriteResult::Written), Action::Done(ClaimResult::Won));
/// assert_eq!(after_write(WriteResult::Lost), Action::Read);
/// ```
#[must_use]
pub fn after_write(result: WriteResult) -> Action {
    match result {
        WriteResult::Written => Action::Done(ClaimResult::Won),
        WriteResult::Refused | WriteResult::Lost => Action::Read,
        WriteResult::Unavailable => Action::GiveUp,
    }
}

/// Returns the action that follows the read of the claim row, after a write that was refused or
/// whose answer was lost.
///
/// If the key has no row, the write is repeated with the same nonce. This is safe because the write
/// is conditional: of two writes with the same nonce only the first can take effect.
///
/// ```
/// use crank_engine::Nonce;
/// use crank_engine::claim::{Action, Claim, ClaimResult, ClaimStage, Fingerprint, after_read};
/// let fingerprint = Fingerprint("f".into());
/// let mine = Claim { nonce: Nonce(1), fingerprint, stage: ClaimStage::Claimed };
/// assert_eq!(after_read(&mine, Some(&mine)), Action::Done(ClaimResult::Won));
/// let other = Claim { nonce: Nonce(2), ..mine.clone() };
/// assert_eq!(after_read(&mine, Some(&other)), Action::Done(ClaimResult::InUse));
/// ```
#[must_use]
pub fn after_read(mine: &Claim, stored: Option<&Claim>) -> Action {
    let Some(stored) = stored else {
        return first_action();
    };
    match &stored.stage {
        ClaimStage::Claimed if stored.nonce == mine.nonce => Action::Done(ClaimResult::Won),
        ClaimStage::Released => Action::Write {
            replaces: Some(stored.nonce),
        },
        _ if stored.fingerprint != mine.fingerprint => Action::Done(ClaimResult::Mismatch),
        ClaimStage::Claimed => Action::Done(ClaimResult::InUse),
        ClaimStage::Recorded(recorded) => Action::Done(ClaimResult::Recorded(recorded.clone())),
    }
}
