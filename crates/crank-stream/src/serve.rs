//! An HTTP server for small messages, within the bounds of a [`Door`].

use std::convert::Infallible;
use std::error::Error;
use std::time::Duration;

use crank_engine::caller_budget::{Bounds, Timeouts};
use crank_protocol::Millis;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, StatusCode, Uri};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tower_service::Service;

use crate::{Connection, Door, FairStream};

/// The pause after an error of `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The most bytes that are read ahead on a connection, and the most that wait to be written before
/// the rest of an answer is asked for.
const MAX_BUFFER_BYTES: usize = 32 * 1_024;
/// How long a request may take, with its body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const HEAD_TIMEOUT: Millis = Millis(10_000);
const IDLE_TIMEOUT: Millis = Millis(100_000);

/// Accepts a connection; errors of the system are logged, and it is tried again.
///
/// ```no_run
/// async fn next(listener: &tokio::net::TcpListener) -> tokio::net::TcpStream {
///     crank_stream::accept(listener).await
/// }
/// ```
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(error) => {
                log::warn!(error:% = error; "cannot accept a connection: retrying");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves HTTP on a listener for ever. Meant for small requests and answers: heads are limited to
/// 32 KiB, and a request that takes longer than 10 seconds is ended with its connection.
///
/// ```no_run
/// use crank_engine::caller_budget::{Bounds, MachineLimits};
/// # async fn serve(listener: tokio::net::TcpListener) {
/// use warp::Filter;
/// let hello = warp::service(warp::any().map(|| "hello"));
/// let bounds = Bounds::for_neighbours(MachineLimits::default());
/// crank_stream::serve(listener, hello, bounds).await;
/// # }
/// ```
pub async fn serve<S, B>(listener: TcpListener, service: S, bounds: Bounds)
where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send,
    B: Body<Data: Send, Error: Into<Box<dyn Error + Send + Sync>>> + Send + 'static,
{
    let door = Door::new(bounds);
    door.set_timeouts(Timeouts {
        head: HEAD_TIMEOUT,
        idle: IDLE_TIMEOUT,
        ..Timeouts::default()
    });
    let accepting = async {
        loop {
            let stream = accept(&listener).await;
            serve_connection(&door, stream, service.clone()).await;
        }
    };
    tokio::select! {
        () = accepting => {}
        () = door.sweep() => {}
    }
}

/// Makes an answer the last one of its connection if others wait for room.
fn close_if_leaving<B>(connection: &Connection, answer: &mut Response<B>) {
    if connection.is_leaving() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
}

async fn serve_connection<S, B>(door: &Door, stream: TcpStream, service: S)
where
    S: Service<Request<Incoming>, Response = Response<B>, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send,
    B: Body<Data: Send, Error: Into<Box<dyn Error + Send + Sync>>> + Send + 'static,
{
    let connection = door.enter().await;
    let requests = connection.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        // Without a path, as for `CONNECT`, filters of warp panic.
        if request.uri().path_and_query().is_none() {
            *request.uri_mut() = Uri::default();
        }
        let hold = requests.begin_request();
        let requests = requests.clone();
        let answering = service.clone().call(request);
        async move {
            requests.take_turns().await;
            let answer = timeout(REQUEST_TIMEOUT, answering).await;
            if matches!(&answer, Ok(Ok(answer)) if answer.status() == StatusCode::PAYLOAD_TOO_LARGE)
            {
                hold.record_refused();
            }
            drop(hold);
            answer.map(|Ok(mut answer)| {
                close_if_leaving(&requests, &mut answer);
                answer
            })
        }
    });
    let stream = connection.guard(FairStream::new(stream));
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(IDLE_TIMEOUT))
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let task = tokio::spawn(async move {
        if let Err(error) = serving.await {
            log::debug!(error:% = error; "connection closed");
        }
    });
    connection.set_task(task.abort_handle());
}
