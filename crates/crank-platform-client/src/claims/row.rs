//! The claim row. A recorded body has an attribute of its own, as bytes: JSON would make it four
//! times as large, and the table service charges by size.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crank_engine::claim::{Claim, ClaimStage, RecordedAnswer};
use serde_bytes::ByteBuf;

use crate::table::{self, Guard};
use crate::{Error, Key, Row, RowWrite, Value};

const BODY: &str = "body";
/// When the table service may remove the row, in seconds since 1970.
const EXPIRES: &str = "expires";
/// How long a key is remembered; a repeat after that runs again.
const KEPT: Duration = Duration::from_secs(30 * 24 * 60 * 60);

pub(super) fn write(
    key: &Key,
    mark: &str,
    claim: &Claim,
    guard: &Guard<'_>,
) -> Result<RowWrite, Error> {
    let body = match &claim.stage {
        ClaimStage::Recorded(recorded) => recorded.body.clone(),
        ClaimStage::Claimed | ClaimStage::Released => None,
    };
    let mut write = table::put(key.clone(), mark, &with_body(claim.clone(), None), guard)?;
    let expires = Value::Number(expires(SystemTime::now()));
    write.row.attributes.insert(Arc::from(EXPIRES), expires);
    if let Some(body) = body {
        let value = Value::Bytes(body.into_vec());
        write.row.attributes.insert(Arc::from(BODY), value);
    }
    Ok(write)
}

pub(super) fn read(row: &Row) -> Result<Claim, Error> {
    let claim = table::content(row)?;
    let body = match row.attributes.get(BODY) {
        Some(Value::Bytes(body)) => Some(ByteBuf::from(body.clone())),
        Some(_) => return Err(table::malformed(&row.key, &"its body is not bytes")),
        None => None,
    };
    Ok(with_body(claim, body))
}

fn expires(now: SystemTime) -> u64 {
    let since = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    (since + KEPT).as_secs()
}

fn with_body(claim: Claim, body: Option<ByteBuf>) -> Claim {
    let stage = match claim.stage {
        ClaimStage::Recorded(recorded) => ClaimStage::Recorded(Arc::new(RecordedAnswer {
            head: recorded.head.clone(),
            body,
        })),
        stage => stage,
    };
    Claim { stage, ..claim }
}
