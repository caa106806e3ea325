//! The listener for heartbeats of the backend server beside a node.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crank_engine::caller_budget::{Bounds, MachineLimits};
use crank_engine::heartbeat::HEARTBEAT_TIMEOUT;
use http::StatusCode;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{interval, timeout};
use warp::Filter;
use warp::reply::{Reply, Response};

use crate::{Announcement, Error, HeartbeatReport, HeartbeatTracker, report_body};

const MAX_REPORT_BYTES: usize = 4_096;
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Accepts heartbeats: `POST /announce` with a [`HeartbeatReport`] in JSON.
///
/// A backend server whose heartbeats stop, or that refuses connections, is considered gone.
pub struct AnnouncementListener {
    address: SocketAddr,
    tracker: HeartbeatTracker,
    tasks: [tokio::task::JoinHandle<()>; 2],
}

impl AnnouncementListener {
    /// Listens on a loopback address; with port 0, the system chooses a free port.
    ///
    /// # Errors
    /// Returns [`Error::NotLoopback`] if `address` is not a loopback address, and
    /// [`Error::Listen`] if it cannot be bound.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), crank_server::Error> {
    /// use crank_server::AnnouncementListener;
    /// let announcements = AnnouncementListener::new(([127, 0, 0, 1], 0).into()).await?;
    /// assert!(announcements.watch().borrow().is_none());
    /// # Ok(()) }
    /// ```
    pub async fn new(address: SocketAddr) -> Result<Self, Error> {
        if !address.ip().is_loopback() {
            return Err(Error::NotLoopback { address });
        }
        let listen_error = |error: std::io::Error| Error::Listen {
            address,
            detail: Arc::from(error.to_string()),
        };
        let listener = TcpListener::bind(address).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let tracker = HeartbeatTracker::new(HEARTBEAT_TIMEOUT);
        let service = warp::service(filter(tracker.clone()));
        let bounds = Bounds::for_neighbours(MachineLimits::default());
        let tasks = [
            tokio::spawn(crank_stream::serve(listener, service, bounds)),
            tokio::spawn(check_liveness(tracker.clone())),
        ];
        Ok(Self {
            address,
            tracker,
            tasks,
        })
    }

    /// Returns the address that the backend server posts its heartbeats to.
    ///
    /// ```
    /// # fn example(announcements: &crank_server::AnnouncementListener) {
    /// assert!(announcements.address().ip().is_loopback());
    /// # }
    /// ```
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the tracker of the backend server's state.
    ///
    /// ```
    /// # fn example(announcements: &crank_server::AnnouncementListener) {
    /// assert!(announcements.tracker().address().is_none());
    /// # }
    /// ```
    #[must_use]
    pub fn tracker(&self) -> HeartbeatTracker {
        self.tracker.clone()
    }

    /// Watches the current state of the backend server; `None` until its first heartbeat.
    ///
    /// ```
    /// # fn example(announcements: &crank_server::AnnouncementListener) {
    /// let announced = announcements.watch();
    /// assert!(announced.borrow().is_none());
    /// # }
    /// ```
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Option<Announcement>> {
        self.tracker.watch()
    }
}

impl Drop for AnnouncementListener {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn check_liveness(tracker: HeartbeatTracker) {
    let mut ticks = interval(CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        match tracker.address() {
            Some(address) if refuses_connection(address).await => {
                tracker.record_refused_connection(address)
            }
            _ => tracker.refresh(),
        }
    }
}

async fn refuses_connection(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(_)))
}

fn filter(
    tracker: HeartbeatTracker,
) -> impl Filter<Extract = (Response,), Error = Infallible> + Clone {
    warp::path!("announce")
        .and(warp::post())
        .and(report_body(MAX_REPORT_BYTES))
        .map(move |body: bytes::Bytes| receive_report(&tracker, &body))
        .recover(|rejection: warp::Rejection| async move {
            log::debug!(rejection:? = rejection; "announcement refused: the request is unreadable");
            Ok::<_, Infallible>(StatusCode::NOT_FOUND.into_response())
        })
        .unify()
}

fn receive_report(tracker: &HeartbeatTracker, body: &[u8]) -> Response {
    let report: HeartbeatReport = match serde_json::from_slice(body) {
        Ok(report) => report,
        Err(error) => return bad_request(&error.to_string()),
    };
    if !report.address.ip().is_loopback() {
        let error = Error::NotLoopback {
            address: report.address,
        };
        return bad_request(&error.to_string());
    }
    tracker.record_heartbeat(report);
    StatusCode::NO_CONTENT.into_response()
}

fn bad_request(problem: &str) -> Response {
    let problem = format!("{problem}\n");
    warp::reply::with_status(problem, StatusCode::BAD_REQUEST).into_response()
}
