//! Announcements of the backend server beside a node.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crank_engine::Moment;
use crank_engine::announce::{self, Heartbeat};
use crank_protocol::Name;
use crank_protocol::member::{Endpoint, Stage};
use http::StatusCode;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, interval, timeout};
use warp::Filter;
use warp::reply::{Reply, Response};

use crate::Error;

const LARGEST_REPORT_BYTES: u64 = 4_096;
const CHECK_EVERY: Duration = Duration::from_millis(500);
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// What a backend server posts to its node, at least once a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// The service it runs.
    pub service: Name,
    /// Its stage of life.
    pub stage: Stage,
    /// Requests it runs at once.
    pub slots: u32,
    /// Where it takes requests, on loopback.
    pub address: SocketAddr,
}

/// The backend server beside this node, as it is believed to be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// What the mesh is told.
    pub endpoint: Endpoint,
    /// Where it takes requests.
    pub address: SocketAddr,
}

/// The listener for announcements: `POST /announce` with a [`Report`] in JSON.
///
/// A backend server that is silent for a while, or refuses connections, is gone.
pub struct Announcements {
    address: SocketAddr,
    shared: Arc<Shared>,
    tasks: [tokio::task::JoinHandle<()>; 2],
}

struct Shared {
    started: Instant,
    last: Mutex<Option<(Report, Heartbeat)>>,
    believed: watch::Sender<Option<Announcement>>,
}

impl Announcements {
    /// Listens on a loopback address; port 0 takes a free one.
    ///
    /// # Errors
    /// [`Error::NotLoopback`] or [`Error::Listen`].
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), crank_server::Error> {
    /// use crank_server::Announcements;
    /// let announcements = Announcements::new(([127, 0, 0, 1], 0).into()).await?;
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
        let shared = Arc::new(Shared {
            started: Instant::now(),
            last: Mutex::new(None),
            believed: watch::Sender::new(None),
        });
        let server = warp::serve(filter(shared.clone())).incoming(listener);
        let tasks = [
            tokio::spawn(server.run()),
            tokio::spawn(check_all(shared.clone())),
        ];
        Ok(Self {
            address,
            shared,
            tasks,
        })
    }

    /// The address that the backend server posts to.
    ///
    /// ```
    /// # fn example(announcements: &crank_server::Announcements) {
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
    /// # fn example(announcements: &crank_server::Announcements) {
    /// let believed = announcements.watch();
    /// assert!(believed.borrow().is_none());
    /// # }
    /// ```
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Option<Announcement>> {
        self.shared.believed.subscribe()
    }
}

impl Drop for Announcements {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Shared {
    fn now(&self) -> Moment {
        let micros = self.started.elapsed().as_micros();
        Moment(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    fn hear(&self, report: Report) {
        let heartbeat = Heartbeat {
            stage: report.stage,
            heard_at: self.now(),
            refused_at: None,
        };
        *self.last.lock() = Some((report, heartbeat));
        self.believe();
    }

    /// Notes that an address refused a connection, unless another was announced since.
    fn refuse(&self, address: SocketAddr) {
        let now = self.now();
        if let Some((report, heartbeat)) = self.last.lock().as_mut()
            && report.address == address
        {
            heartbeat.refused_at = Some(now);
        }
        self.believe();
    }

    fn believe(&self) {
        let last = self.last.lock();
        let believed = last.as_ref().map(|(report, heartbeat)| Announcement {
            endpoint: Endpoint {
                service: report.service.clone(),
                stage: announce::stage(heartbeat, self.now()),
                slots: report.slots,
            },
            address: report.address,
        });
        self.believed.send_if_modified(|current| {
            let is_new = *current != believed;
            *current = believed;
            is_new
        });
    }

    fn address(&self) -> Option<SocketAddr> {
        let last = self.last.lock();
        last.as_ref().map(|(report, _)| report.address)
    }
}

async fn check_all(shared: Arc<Shared>) {
    let mut ticks = interval(CHECK_EVERY);
    loop {
        ticks.tick().await;
        match shared.address() {
            Some(address) if refuses(address).await => shared.refuse(address),
            _ => shared.believe(),
        }
    }
}

async fn refuses(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(_)))
}

fn filter(shared: Arc<Shared>) -> impl Filter<Extract = (Response,), Error = Infallible> + Clone {
    warp::path!("announce")
        .and(warp::post())
        .and(warp::body::content_length_limit(LARGEST_REPORT_BYTES))
        .and(warp::body::bytes())
        .map(move |body: bytes::Bytes| take(&shared, &body))
        .recover(|rejection: warp::Rejection| async move {
            log::debug!(rejection:? = rejection; "unreadable announcement");
            Ok::<_, Infallible>(StatusCode::NOT_FOUND.into_response())
        })
        .unify()
}

fn take(shared: &Shared, body: &[u8]) -> Response {
    let report: Report = match serde_json::from_slice(body) {
        Ok(report) => report,
        Err(error) => return refusal(&error.to_string()),
    };
    if !report.address.ip().is_loopback() {
        let error = Error::NotLoopback {
            address: report.address,
        };
        return refusal(&error.to_string());
    }
    shared.hear(report);
    StatusCode::NO_CONTENT.into_response()
}

fn refusal(problem: &str) -> Response {
    let problem = format!("{problem}\n");
    warp::reply::with_status(problem, StatusCode::BAD_REQUEST).into_response()
}
