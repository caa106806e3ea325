//! At most once: what a claim row means and what to do next.
//!
//! A claim is a row under the caller's idempotency key, written only if there is none. Whoever
//! wrote it may run the request; everybody else is told what became of it.

use std::sync::Arc;

use crank_protocol::call::ResponseHead;
use crank_protocol::config::Method;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use sha2::{Digest, Sha256};

use crate::Nonce;

/// Tells one request from another under the same key; a hash of method, path and body.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub Arc<str>);

impl Fingerprint {
    /// The SHA-256 of a request's method, path and body, in hexadecimal.
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

/// The answer of a request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedAnswer {
    /// Its start.
    pub head: ResponseHead,
    /// Its whole body; absent where it was too large to keep.
    pub body: Option<ByteBuf>,
}

/// How far a claimed request has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimStage {
    /// It may run, be running, or have run without its answer being recorded.
    Claimed,
    /// It was certainly not run, and the key is free again.
    Released,
    /// It ran.
    Recorded(Arc<RecordedAnswer>),
}

/// A claim row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Drawn by the claimer.
    pub nonce: Nonce,
    /// What was claimed.
    pub fingerprint: Fingerprint,
    /// How far it has come.
    pub stage: ClaimStage,
}

/// What a claimer is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The request may run here, and nowhere else.
    Won,
    /// The request ran; this is its answer.
    Recorded(Arc<RecordedAnswer>),
    /// The request was claimed before, and no answer is recorded: its outcome is unknown.
    InUse,
    /// The key was used for another request.
    Mismatch,
}

/// How the write of a claim ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WriteResult {
    /// It took effect.
    Written,
    /// Its condition did not hold.
    Refused,
    /// Its answer never came; it may have taken effect or may still do so.
    Lost,
    /// It was not taken.
    Unavailable,
}

/// What a claimer does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Write the claim, if there is no row, or over the released claim with this nonce.
    Write {
        /// The released claim to write over.
        replaces: Option<Nonce>,
    },
    /// Read the row.
    Read,
    /// Act on this.
    Done(ClaimResult),
    /// Refuse the request: it was not run.
    GiveUp,
}

/// The first step of a claimer.
///
/// ```
/// use crank_engine::claim::{first_action, Action};
/// assert_eq!(first_action(), Action::Write { replaces: None });
/// ```
#[must_use]
pub fn first_action() -> Action {
    Action::Write { replaces: None }
}

/// What follows the write of a claim.
///
/// ```
/// use crank_engine::claim::{after_write, WriteResult, Action, ClaimResult};
/// assert_eq!(after_write(WriteResult::Written), Action::Done(ClaimResult::Won));
/// assert_eq!(after_write(WriteResult::Lost), Action::Read);
/// ```
#[must_use]
pub fn after_write(put: WriteResult) -> Action {
    match put {
        WriteResult::Written => Action::Done(ClaimResult::Won),
        WriteResult::Refused | WriteResult::Lost => Action::Read,
        WriteResult::Unavailable => Action::GiveUp,
    }
}

/// What follows the reading of the row after a write that was refused or whose answer was lost.
///
/// Where there is no row the write is tried again under the same nonce, which is safe because it
/// is conditional: of two writes with one nonce only the first can take effect.
///
/// ```
/// use crank_engine::{Nonce, claim::{after_read, Claim, Fingerprint, ClaimStage, Action, ClaimResult}};
/// let fingerprint = Fingerprint("f".into());
/// let mine = Claim { nonce: Nonce(1), fingerprint, stage: ClaimStage::Claimed };
/// assert_eq!(after_read(&mine, Some(&mine)), Action::Done(ClaimResult::Won));
/// let other = Claim { nonce: Nonce(2), ..mine.clone() };
/// assert_eq!(after_read(&mine, Some(&other)), Action::Done(ClaimResult::InUse));
/// ```
#[must_use]
pub fn after_read(mine: &Claim, found: Option<&Claim>) -> Action {
    let Some(found) = found else {
        return first_action();
    };
    match &found.stage {
        ClaimStage::Claimed if found.nonce == mine.nonce => Action::Done(ClaimResult::Won),
        ClaimStage::Released => Action::Write {
            replaces: Some(found.nonce),
        },
        _ if found.fingerprint != mine.fingerprint => Action::Done(ClaimResult::Mismatch),
        ClaimStage::Claimed => Action::Done(ClaimResult::InUse),
        ClaimStage::Recorded(recorded) => Action::Done(ClaimResult::Recorded(recorded.clone())),
    }
}
