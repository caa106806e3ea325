//! The object store.

use std::error::Error as StdError;
use std::sync::Arc;

use bytes::Bytes;
use futures::TryStreamExt;
use object_store::aws::{AmazonS3, AmazonS3Builder, S3ConditionalPut};
use object_store::client::{HttpError, HttpErrorKind};
use object_store::path::Path;
use object_store::{
    ClientOptions, ObjectMeta, ObjectStore, ObjectStoreExt, PutMode, RetryConfig, UpdateVersion,
};

use super::{Access, answer_lost, timeout, unavailable};
use crate::{Condition, Error, Etag, Listing, Object};

#[derive(Debug, Clone)]
pub(super) struct Client {
    store: AmazonS3,
}

impl Client {
    pub(super) fn new(settings: &Access) -> Result<Self, Error> {
        let options = ClientOptions::new()
            .with_allow_http(true)
            .with_timeout(timeout(settings))
            .with_connect_timeout(timeout(settings));
        let retry = RetryConfig {
            max_retries: 0,
            ..RetryConfig::default()
        };
        let store = AmazonS3Builder::new()
            .with_endpoint(&*settings.objects)
            .with_region(&*settings.region)
            .with_bucket_name(&*settings.bucket)
            .with_access_key_id(&*settings.access_key)
            .with_secret_access_key(&*settings.secret_key)
            .with_virtual_hosted_style_request(false)
            .with_conditional_put(S3ConditionalPut::ETagMatch)
            .with_client_options(options)
            .with_retry(retry)
            .build()
            .map_err(|error| malformed("the object store's settings", &error))?;
        Ok(Self { store })
    }

    pub(super) async fn list(&self, prefix: &str) -> Result<Vec<Listing>, Error> {
        let folder = path(prefix)?;
        let metas: Vec<ObjectMeta> = self
            .store
            .list(Some(&folder))
            .try_collect()
            .await
            .map_err(|error| unavailable(&error))?;
        let mut listings: Vec<Listing> =
            metas.into_iter().map(listing).collect::<Result<_, _>>()?;
        listings.retain(|listing| listing.key.starts_with(prefix));
        listings.sort_by(|a, b| a.key.cmp(&b.key));
        Ok(listings)
    }

    pub(super) async fn read(&self, key: &str) -> Result<Option<Object>, Error> {
        let found = match self.store.get(&path(key)?).await {
            Err(object_store::Error::NotFound { .. }) => return Ok(None),
            found => found.map_err(|error| unavailable(&error))?,
        };
        let etag = etag(key, found.meta.e_tag.as_deref())?;
        let content = found.bytes().await.map_err(|error| unavailable(&error))?;
        Ok(Some(Object { etag, content }))
    }

    pub(super) async fn write(
        &self,
        key: &str,
        content: Bytes,
        condition: Condition,
    ) -> Result<Etag, Error> {
        let must_be_there = matches!(condition, Condition::Unchanged(_));
        let mode = match condition {
            Condition::Always => PutMode::Overwrite,
            Condition::Absent => PutMode::Create,
            Condition::Unchanged(etag) => PutMode::Update(UpdateVersion {
                e_tag: Some(etag.0.to_string()),
                version: None,
            }),
        };
        let written = self
            .store
            .put_opts(&path(key)?, content.into(), mode.into())
            .await
            .map_err(|error| match error {
                object_store::Error::NotFound { .. } if must_be_there => Error::ConditionFailed,
                error => write_error(&error),
            })?;
        etag(key, written.e_tag.as_deref())
    }
}

fn path(key: &str) -> Result<Path, Error> {
    Path::parse(key.trim_end_matches('/')).map_err(|error| malformed(key, &error))
}

fn listing(meta: ObjectMeta) -> Result<Listing, Error> {
    let key: Arc<str> = Arc::from(meta.location.as_ref());
    let etag = etag(&key, meta.e_tag.as_deref())?;
    let size = meta.size;
    Ok(Listing { key, etag, size })
}

fn etag(key: &str, given: Option<&str>) -> Result<Etag, Error> {
    match given {
        Some(etag) => Ok(Etag(Arc::from(etag))),
        None => Err(Error::Malformed {
            what: Arc::from(format!("object {key}")),
            detail: Arc::from("the object store gave no ETag"),
        }),
    }
}

fn write_error(error: &object_store::Error) -> Error {
    match error {
        object_store::Error::AlreadyExists { .. } | object_store::Error::Precondition { .. } => {
            Error::ConditionFailed
        }
        object_store::Error::NotFound { .. }
        | object_store::Error::PermissionDenied { .. }
        | object_store::Error::Unauthenticated { .. } => unavailable(error),
        _ if never_connected(error) => unavailable(error),
        _ => answer_lost(error),
    }
}

fn never_connected(error: &object_store::Error) -> bool {
    let mut cause = error.source();
    while let Some(inner) = cause {
        if let Some(http) = inner.downcast_ref::<HttpError>() {
            return http.kind() == HttpErrorKind::Connect;
        }
        cause = inner.source();
    }
    false
}

fn malformed(what: &str, error: &dyn StdError) -> Error {
    Error::Malformed {
        what: Arc::from(what),
        detail: super::chain(error),
    }
}
