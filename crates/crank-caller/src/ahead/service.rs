//! The service that the HTTP library calls: it takes over the calls that were started ahead.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response};
use http_body_util::Either;
use hyper::body::{Body, Incoming};
use tokio::task::JoinError;
use tokio_util::sync::CancellationToken;

use super::Service;
use super::body::AnswerBody;
use super::early::hold;
use super::exchange::Exchange;
use super::start::Starter;
use super::target::Target;
use crate::{Gateway, MAX_KEPT_FIELDS, request};

/// The service of one connection.
pub(crate) struct AheadService<S, G> {
    starter: Arc<Starter<S, G>>,
    exchange: Exchange,
}

impl<S, G> AheadService<S, G> {
    pub(super) fn new(starter: Arc<Starter<S, G>>, exchange: Exchange) -> Self {
        Self { starter, exchange }
    }
}

impl<S: Service, G: Gateway> hyper::service::Service<Request<Incoming>> for AheadService<S, G> {
    type Response = Response<AnswerBody>;
    type Error = JoinError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, JoinError>> + Send>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        let mut request = request::with_path(request);
        self.starter.identify(&mut request);
        if request.headers().len() > MAX_KEPT_FIELDS {
            self.starter.ask_to_leave();
        }
        let (early, guard) = self.exchange.begin(Target::new(&request));
        let early = early.filter(|early| request.body().is_end_stream() && early.is_for(&request));
        let starter = self.starter.clone();
        let exchange = self.exchange.clone();
        Box::pin(async move {
            let mut response = match early {
                Some(early) => early.finish().await?,
                None => call(starter.service(), request).await,
            };
            starter.take_turns().await;
            if !exchange.has_none_started() {
                // An answer that breaks off would close the connection before theirs.
                response = hold(response, CancellationToken::new(), None).await;
            }
            if starter.must_close() {
                mark_last(&mut response, exchange.has_none_started());
            }
            Ok(response.map(|body| body.with_exchange(guard)))
        })
    }
}

async fn call<S: Service>(mut service: S, request: Request<Incoming>) -> Response<AnswerBody> {
    match service.call(request.map(Either::Left)).await {
        Ok(response) => response.map(AnswerBody::whole),
        Err(never) => match never {},
    }
}

/// Asks the caller to close the connection with this response, unless calls for requests behind it
/// have been started: their responses follow.
fn mark_last(response: &mut Response<AnswerBody>, is_last: bool) {
    if is_last {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    } else {
        response.headers_mut().remove(CONNECTION);
    }
}
