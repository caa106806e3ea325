//! CBOR encoding with size limits.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// Encodes a value; fails if the result exceeds `limit` bytes.
pub(crate) fn encode(value: &impl Serialize, limit: usize) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|error| Error::Malformed {
        detail: error.to_string(),
    })?;
    check_size(bytes.len(), limit)?;
    Ok(bytes)
}

/// Decodes a value that takes up all of `bytes`; fails if they exceed `limit`.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8], limit: usize) -> Result<T, Error> {
    check_size(bytes.len(), limit)?;
    let mut rest = bytes;
    let value = ciborium::from_reader(&mut rest).map_err(|error| Error::Malformed {
        detail: error.to_string(),
    })?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(Error::Malformed {
            detail: format!("{} bytes left after the value", rest.len()),
        })
    }
}

fn check_size(bytes: usize, limit: usize) -> Result<(), Error> {
    if bytes <= limit {
        Ok(())
    } else {
        Err(Error::Oversized { bytes, limit })
    }
}
