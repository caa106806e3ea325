//! The stand-in's listener and its life.

use std::convert::Infallible;
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use crank_protocol::member::Stage;
use http::StatusCode;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;
use tower_service::Service;
use warp::Filter;
use warp::reply::{Reply, Response};

use crate::announcer;
use crate::state::{Control, State};
use crate::work::{self, Dropped, Wish};
use crate::{Error, Options};

const DRAIN_CHECK: Duration = Duration::from_millis(20);
const DRAIN_QUIET: Duration = Duration::from_millis(500);
const LARGEST_CONTROL_BYTES: u64 = 4_096;

/// Runs the stand-in until SIGTERM has drained it; the first line of output is `listening ADDR`,
/// the last one `ledger JSON`.
///
/// # Errors
/// [`Error::Listen`] or [`Error::System`].
///
/// ```no_run
/// # use gumdrop::Options as _;
/// # async fn example() -> Result<(), crank_backend::Error> {
/// crank_backend::run(crank_backend::Options::parse_args_default_or_exit()).await
/// # }
/// ```
pub async fn run(options: Options) -> Result<(), Error> {
    let listener = listen(options.listen).await?;
    let address = listener.local_addr()?;
    writeln!(std::io::stdout(), "listening {address}")?;
    let mut terminate = signal(SignalKind::terminate())?;
    let state = State::new(options);
    tokio::spawn(announcer::run(state.clone(), address));
    tokio::spawn(warm_up(state.clone()));
    tokio::select! {
        () = accept_all(&listener, &state) => {}
        () = drain(&state, &mut terminate) => {}
    }
    announcer::post(&state, &reqwest::Client::new(), address).await;
    // Whoever audits a run reads the count of a server that has left from its last line.
    let ledger = serde_json::to_string(&*state.ledger.lock()).map_err(std::io::Error::other)?;
    writeln!(std::io::stdout(), "ledger {ledger}")?;
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| Error::Listen { address, source })
}

async fn warm_up(state: State) {
    sleep(Duration::from_millis(state.options.cold_start_ms)).await;
    if state.stage() == Stage::Starting {
        state.enter(Stage::Ready);
    }
}

/// Waits for the signal, then until nothing has run for a while.
async fn drain(state: &State, terminate: &mut tokio::signal::unix::Signal) {
    terminate.recv().await;
    state.enter(Stage::Draining);
    let mut quiet = Duration::ZERO;
    while quiet < DRAIN_QUIET {
        sleep(DRAIN_CHECK).await;
        quiet = if state.running() == 0 {
            quiet + DRAIN_CHECK
        } else {
            Duration::ZERO
        };
    }
    state.enter(Stage::Gone);
}

async fn accept_all(listener: &TcpListener, state: &State) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream, state.clone()),
            Err(error) => {
                log::warn!(error:% = error; "cannot accept");
                sleep(DRAIN_CHECK).await;
            }
        }
    }
}

fn serve(stream: TcpStream, state: State) {
    let _ = stream.set_nodelay(true);
    let service = warp::service(filter(state));
    let service = hyper::service::service_fn(move |request| {
        let answer = service.clone().call(request);
        async move {
            let Ok(response) = answer.await;
            if response.extensions().get::<Dropped>().is_some() {
                return Err(Error::Dropped);
            }
            Ok(response)
        }
    });
    tokio::spawn(async move {
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        if let Err(error) = connection.await {
            log::debug!(error:% = error; "connection closed");
        }
    });
}

fn filter(state: State) -> impl Filter<Extract = (Response,), Error = Infallible> + Clone {
    let shared = warp::any().map(move || state.clone());
    let ledger = warp::path!("ledger")
        .and(warp::get())
        .and(shared.clone())
        .map(|state: State| warp::reply::json(&*state.ledger.lock()).into_response());
    let totals = warp::path!("ledger" / "totals")
        .and(warp::get())
        .and(shared.clone())
        .map(|state: State| warp::reply::json(&state.ledger.lock().totals).into_response());
    let control = warp::path!("control")
        .and(warp::post())
        .and(warp::body::content_length_limit(LARGEST_CONTROL_BYTES))
        .and(warp::body::json())
        .and(shared.clone())
        .map(take_control);
    let health = warp::path!("health")
        .and(shared.clone())
        .map(|state: State| warp::reply::json(&state.stage()).into_response());
    let work = warp::path::full()
        .and(raw_query())
        .and(warp::query())
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .and(shared)
        .then(
            |path: warp::path::FullPath, query: String, wish: Wish, headers, body, state| {
                let path = format!("{}{query}", path.as_str());
                work::run(state, path, wish, headers, body)
            },
        );
    let all = ledger
        .or(totals)
        .unify()
        .or(control)
        .unify()
        .or(health)
        .unify()
        .or(work)
        .unify();
    all.recover(|_: warp::Rejection| async {
        Ok::<_, Infallible>(StatusCode::BAD_REQUEST.into_response())
    })
    .unify()
}

fn raw_query() -> impl Filter<Extract = (String,), Error = Infallible> + Clone {
    warp::query::raw()
        .map(|query: String| format!("?{query}"))
        .or_else(|_| async { Ok::<_, Infallible>((String::new(),)) })
}

fn take_control(control: Control, state: State) -> Response {
    state.control.lock().merge(control);
    state.news.notify_one();
    StatusCode::NO_CONTENT.into_response()
}
