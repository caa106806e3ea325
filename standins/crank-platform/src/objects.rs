//! The object store: PUT with conditions, GET and LIST version 2.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::ops::Bound;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use parking_lot::Mutex;
use sha2::{Digest, Sha256};

use crate::answer::{self, Answer, object_error};
use crate::text;

const ETAG_HEX_DIGITS: usize = 32;
const MODIFIED_HEADER: &str = "Thu, 01 Jan 1970 00:00:00 GMT";
const MODIFIED_LISTED: &str = "1970-01-01T00:00:00.000Z";

#[derive(Debug, Clone)]
struct Object {
    content: Bytes,
    etag: String,
}

/// The objects by bucket and key.
#[derive(Debug, Default)]
pub(crate) struct Objects {
    objects: Mutex<BTreeMap<String, Object>>,
}

/// What became of a write.
pub(crate) enum Written {
    Yes(Answer),
    No(Answer),
}

impl Objects {
    pub(crate) fn put(&self, path: &str, headers: &HeaderMap, content: Bytes) -> Written {
        let mut objects = self.objects.lock();
        let found = objects.get(path).map(|object| object.etag.as_str());
        if let Some(refusal) = refusal(found, headers) {
            return Written::No(refusal);
        }
        let etag = etag(&content);
        let object = Object {
            content,
            etag: etag.clone(),
        };
        objects.insert(path.to_owned(), object);
        let mut answer = answer::xml(StatusCode::OK, String::new());
        set_etag(&mut answer, &etag);
        Written::Yes(answer)
    }

    pub(crate) fn get(&self, path: &str) -> Answer {
        let found = self.objects.lock().get(path).cloned();
        let Some(object) = found else {
            return object_error(
                StatusCode::NOT_FOUND,
                "NoSuchKey",
                "there is no such object",
            );
        };
        let kind = "application/octet-stream";
        let mut answer = answer::plain(StatusCode::OK, kind, object.content);
        set_etag(&mut answer, &object.etag);
        let modified = HeaderValue::from_static(MODIFIED_HEADER);
        answer.headers_mut().insert(header::LAST_MODIFIED, modified);
        answer
    }

    pub(crate) fn list(&self, bucket: &str, query: &str, most: usize) -> Answer {
        if text::query(query, "delimiter").is_some_and(|given| !given.is_empty()) {
            return object_error(
                StatusCode::NOT_IMPLEMENTED,
                "NotImplemented",
                "the stand-in does not serve listings with a delimiter",
            );
        }
        let prefix = text::query(query, "prefix").unwrap_or_default();
        let after = text::query(query, "continuation-token")
            .and_then(|token| hex::decode(token).ok())
            .and_then(|bytes| String::from_utf8(bytes).ok())
            .or_else(|| text::query(query, "start-after"))
            .unwrap_or_default();
        let page = self.page(bucket, &prefix, &after, most);
        answer::xml(StatusCode::OK, page)
    }

    fn page(&self, bucket: &str, prefix: &str, after: &str, most: usize) -> String {
        let start = format!("{bucket}/{prefix}");
        let low = start.clone().max(format!("{bucket}/{after}"));
        let bound = if after.is_empty() {
            Bound::Included(low)
        } else {
            Bound::Excluded(low)
        };
        let objects = self.objects.lock();
        let mut found = objects
            .range((bound, Bound::Unbounded))
            .take_while(|(path, _)| path.starts_with(&start));
        let mut xml = String::from("<ListBucketResult>");
        let mut last = "";
        for (path, object) in found.by_ref().take(most) {
            last = &path[bucket.len() + 1..];
            let (key, etag) = (text::xml(last), text::xml(&object.etag));
            let size = object.content.len();
            let _ = write!(
                xml,
                "<Contents><Key>{key}</Key><LastModified>{MODIFIED_LISTED}</LastModified>\
                 <ETag>{etag}</ETag><Size>{size}</Size></Contents>"
            );
        }
        let truncated = found.next().is_some();
        let _ = write!(xml, "<IsTruncated>{truncated}</IsTruncated>");
        if truncated {
            let token = hex::encode(last);
            let _ = write!(
                xml,
                "<NextContinuationToken>{token}</NextContinuationToken>"
            );
        }
        xml.push_str("</ListBucketResult>");
        xml
    }
}

fn refusal(found: Option<&str>, headers: &HeaderMap) -> Option<Answer> {
    let must_be_absent = headers.contains_key(header::IF_NONE_MATCH);
    let must_match = headers.get(header::IF_MATCH);
    let failed = object_error(
        StatusCode::PRECONDITION_FAILED,
        "PreconditionFailed",
        "at least one of the preconditions did not hold",
    );
    match (must_match, found) {
        (Some(_), None) => Some(object_error(
            StatusCode::NOT_FOUND,
            "NoSuchKey",
            "there is no object to match",
        )),
        (Some(wanted), Some(found)) if wanted.as_bytes() != found.as_bytes() => Some(failed),
        (None, Some(_)) if must_be_absent => Some(failed),
        _ => None,
    }
}

fn etag(content: &[u8]) -> String {
    let hash = hex::encode(Sha256::digest(content));
    format!("\"{}\"", &hash[..ETAG_HEX_DIGITS])
}

fn set_etag(answer: &mut Answer, etag: &str) {
    if let Ok(value) = HeaderValue::from_str(etag) {
        answer.headers_mut().insert(header::ETAG, value);
    }
}
