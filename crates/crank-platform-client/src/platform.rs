//! The edge towards the platform.

use std::future::Future;

use bytes::Bytes;

use crate::{Condition, Error, Etag, Key, Listing, Object, Row, RowWrite};

/// The platform's table service.
///
/// Every read is strongly consistent. Every call has a time limit of its own.
pub trait Rows: Clone + Send + Sync + 'static {
    /// Reads a row, if there is one.
    ///
    /// # Errors
    /// [`Error::Unavailable`] or [`Error::Malformed`].
    fn row(&self, key: &Key) -> impl Future<Output = Result<Option<Row>, Error>> + Send;

    /// Reads the last rows of a partition, highest sort key first. Rows that cannot be decoded are
    /// logged and left out, see [`crate::without_malformed`].
    ///
    /// # Errors
    /// [`Error::Unavailable`] or [`Error::Malformed`].
    fn rows(
        &self,
        partition: &str,
        limit: u32,
    ) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;

    /// Writes all rows or none.
    ///
    /// # Errors
    /// [`Error::ConditionFailed`], [`Error::Unavailable`] or [`Error::AnswerLost`].
    fn transact(&self, writes: Vec<RowWrite>) -> impl Future<Output = Result<(), Error>> + Send;
}

/// The platform's object store beside its table service.
///
/// Every read is strongly consistent. Every call has a time limit of its own.
pub trait Platform: Rows {
    /// Lists the objects whose keys start with a prefix, in byte order.
    ///
    /// # Errors
    /// [`Error::Unavailable`].
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Listing>, Error>> + Send;

    /// Reads an object, if there is one.
    ///
    /// # Errors
    /// [`Error::Unavailable`].
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Object>, Error>> + Send;

    /// Writes an object.
    ///
    /// # Errors
    /// [`Error::ConditionFailed`], [`Error::Unavailable`] or [`Error::AnswerLost`].
    fn write(
        &self,
        key: &str,
        content: Bytes,
        condition: Condition,
    ) -> impl Future<Output = Result<Etag, Error>> + Send;
}
