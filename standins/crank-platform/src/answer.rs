//! The answers of both services.

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::Full;
use serde::Serialize;

use crate::text;

pub(crate) type Answer = Response<Full<Bytes>>;

const JSON_TYPE: &str = "application/x-amz-json-1.0";
const XML_TYPE: &str = "application/xml";
const ERROR_NAMESPACE: &str = "com.amazonaws.dynamodb.v20120810";

pub(crate) fn plain(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    let value = header::HeaderValue::from_static(kind);
    answer.headers_mut().insert(header::CONTENT_TYPE, value);
    answer
}

pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Answer {
    let text = serde_json::to_vec(body).unwrap_or_default();
    plain(status, JSON_TYPE, text)
}

pub(crate) fn xml(status: StatusCode, body: String) -> Answer {
    plain(status, XML_TYPE, body)
}

/// An error as the object store gives it.
pub(crate) fn object_error(status: StatusCode, code: &str, message: &str) -> Answer {
    let message = text::xml(message);
    xml(
        status,
        format!("<Error><Code>{code}</Code><Message>{message}</Message></Error>"),
    )
}

/// An error as the table service gives it.
pub(crate) fn row_error(status: StatusCode, code: &str, message: &str) -> Answer {
    #[derive(Serialize)]
    struct Body<'a> {
        __type: String,
        message: &'a str,
    }
    let __type = format!("{ERROR_NAMESPACE}#{code}");
    json(status, &Body { __type, message })
}
