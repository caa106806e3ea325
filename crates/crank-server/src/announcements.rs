//! Announcements of the backend server beside a node.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crank_engine::heartbeat::HEARTBEAT_TIMEOUT;
use http::StatusCode;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{interval, timeout};
use warp::Filter;
use warp::reply::{Reply, Response};

use crate::{Announcement, Error, HeartbeatReport, HeartbeatTracker};

const LARGEST_REPORT_BYTES: u64 = 4_096;
const CHECK_EVERY: Duration = Duration::from_millis(500);
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// The listener for announcements: `POST /announce` with a [`HeartbeatReport`] in JSON.
///
/// A backend server that is silent for a while, or refuses connections, is gone.
pub struct AnnouncementListener {
    address: SocketAddr,
    roster: HeartbeatTracker,
    tasks: [tokio::task::JoinHandle<()>; 2],
}

impl AnnouncementListener {
    /// Listens on a loopback address; port 0 takes a free one.
    ///
    /// # Errors
    /// [`Error::NotLoopback`] or [`Error::Listen`].
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
        let refused = |error: std::io::Error| Error::Listen {
            address,
            detail: Arc::from(error.to_string()),
        };
        let listener = TcpListener::bind(address).await.map_err(refused)?;
        let address = listener.local_addr().map_err(refused)?;
        let roster = HeartbeatTracker::new(HEARTBEAT_TIMEOUT);
        let server = warp::serve(filter(roster.clone())).incoming(listener);
        let tasks = [
            tokio::spawn(server.run()),
            tokio::spawn(check_all(roster.clone())),
        ];
        Ok(Self {
            address,
            roster,
            tasks,
        })
    }

    /// The address that the backend server posts to.
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

    /// The backend server as it is believed to be; absent until it first announces itself.
    ///
    /// ```
    /// # fn example(announcements: &crank_server::AnnouncementListener) {
    /// let believed = announcements.watch();
    /// assert!(believed.borrow().is_none());
    /// # }
    /// ```
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Option<Announcement>> {
        self.roster.watch()
    }
}

impl Drop for AnnouncementListener {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn check_all(roster: HeartbeatTracker) {
    let mut ticks = interval(CHECK_EVERY);
    loop {
        ticks.tick().await;
        match roster.address() {
            Some(address) if refuses(address).await => roster.record_refused_connection(address),
            _ => roster.refresh(),
        }
    }
}

async fn refuses(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(_)))
}

fn filter(
    roster: HeartbeatTracker,
) -> impl Filter<Extract = (Response,), Error = Infallible> + Clone {
    warp::path!("announce")
        .and(warp::post())
        .and(warp::body::content_length_limit(LARGEST_REPORT_BYTES))
        .and(warp::body::bytes())
        .map(move |body: bytes::Bytes| take(&roster, &body))
        .recover(|rejection: warp::Rejection| async move {
            log::debug!(rejection:? = rejection; "unreadable announcement");
            Ok::<_, Infallible>(StatusCode::NOT_FOUND.into_response())
        })
        .unify()
}

fn take(roster: &HeartbeatTracker, body: &[u8]) -> Response {
    let report: HeartbeatReport = match serde_json::from_slice(body) {
        Ok(report) => report,
        Err(error) => return refusal(&error.to_string()),
    };
    if !report.address.ip().is_loopback() {
        let error = Error::NotLoopback {
            address: report.address,
        };
        return refusal(&error.to_string());
    }
    roster.record_heartbeat(report);
    StatusCode::NO_CONTENT.into_response()
}

fn refusal(problem: &str) -> Response {
    let problem = format!("{problem}\n");
    warp::reply::with_status(problem, StatusCode::BAD_REQUEST).into_response()
}
