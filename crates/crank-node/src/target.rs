//! The node of a target: admits, claims, forwards and records requests.

mod body;
mod once;
mod run_time;

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use crank_engine::limit::Capacity;
use crank_engine::{Moment, account, drain::DrainProgress, retry};
use crank_platform_client::Rows;
use crank_protocol::call::{Header, Load, Refusal, RefusedRequest, RequestHead, Response};
use crank_protocol::config::{Service, Snapshot};
use crank_protocol::member::Stage;
use crank_protocol::{HttpDialect, Millis, Name, RequestRate};
use crank_server::Announcement;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::admission::{AdmissionController, AdmissionRequest, Permit};
use crate::clock::Clock;

use body::{BufferedResponse, buffer_body, hold_permit};

pub use once::MAX_RECORDED_BODY_BYTES;

/// The drain grace of a backend server whose service is not in the configuration.
const DEFAULT_DRAIN_GRACE: Millis = Millis(10_000);

/// Forwards requests to the backend server beside the node.
pub trait Forwarder: Send + Sync + 'static {
    /// Forwards a request to the backend server at an address; dropping the future cancels it.
    ///
    /// # Errors
    /// Returns [`Refusal::NotSent`] only if the backend server has certainly received nothing of
    /// the request, otherwise [`Refusal::Lost`] or [`Refusal::TimedOut`].
    fn forward(
        &self,
        address: SocketAddr,
        head: RequestHead,
        body: Bytes,
    ) -> impl Future<Output = Result<Response, Refusal>> + Send;
}

impl Forwarder for crank_server::Forwarder {
    async fn forward(
        &self,
        address: SocketAddr,
        head: RequestHead,
        body: Bytes,
    ) -> Result<Response, Refusal> {
        self.send_request(address, &head, body, head.time_left)
            .await
    }
}

/// The dependencies of a [`Target`].
pub struct Dependencies<P, F> {
    /// The clock of the process.
    pub clock: Clock,
    /// The configuration in force: `crank_mesh::Handle::config`.
    pub config: watch::Receiver<Option<Arc<Snapshot>>>,
    /// What the backend server last announced: `crank_server::AnnouncementListener::watch`.
    pub announcement: watch::Receiver<Option<Announcement>>,
    /// The rate of requests that the backend server states as its limit, if it states one:
    /// `crank_server::HeartbeatTracker::watch_rate`.
    pub stated_rate: watch::Receiver<Option<RequestRate>>,
    /// The name of the owner, from the node's settings.
    pub account: Name,
    /// The client of the table service, which holds the claims of requests that may run only once.
    pub platform: P,
    /// The header names and conventions of the backend server.
    pub dialect: Arc<HttpDialect>,
    /// Forwards requests to the backend server.
    pub forwarder: F,
}

/// Runs requests on the backend server beside the node; clones share their state.
///
/// A request is admitted first, then claimed if it may run only once, then run. A refusal before
/// the run means that the request has certainly not run; a later one states what is known.
pub struct Target<P, F> {
    shared: Arc<Shared<P, F>>,
}

impl<P, F> Clone for Target<P, F> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

struct Shared<P, F> {
    dependencies: Dependencies<P, F>,
    admission: AdmissionController,
    refresh_lock: Mutex<()>,
    unsettled_claims: Arc<()>,
}

impl<P: Rows, F: Forwarder> crank_mesh::call::RequestHandler for Target<P, F> {
    async fn handle(&self, head: RequestHead, body: Bytes) -> Result<Response, RefusedRequest> {
        Self::run(self, head, body).await
    }
}

impl<P: Rows, F: Forwarder> Target<P, F> {
    /// Creates a target that admits nothing until the backend server has announced that it is
    /// ready.
    ///
    /// Spawn [`Target::track_changes`] once, so that announcements take effect between requests
    /// too.
    ///
    /// ```
    /// use crank_node::target::{Forwarder, Dependencies, Target};
    /// use crank_platform_client::Rows;
    /// fn start<P: Rows, F: Forwarder>(dependencies: Dependencies<P, F>) -> Target<P, F> {
    ///     let target = Target::new(dependencies);
    ///     tokio::spawn(target.clone().track_changes());
    ///     target
    /// }
    /// ```
    #[must_use]
    pub fn new(dependencies: Dependencies<P, F>) -> Self {
        let admission =
            AdmissionController::new(dependencies.clock, Capacity { slots: 0, queue: 0 });
        let target = Self {
            shared: Arc::new(Shared {
                dependencies,
                admission,
                refresh_lock: Mutex::new(()),
                unsettled_claims: Arc::new(()),
            }),
        };
        target.refresh();
        target
    }

    /// Applies announcements, stated limits and configuration changes to the admission controller
    /// until all channels close.
    ///
    /// ```
    /// # use crank_node::target::{Forwarder, Target};
    /// # use crank_platform_client::Rows;
    /// fn spawn<P: Rows, F: Forwarder>(target: &Target<P, F>) {
    ///     tokio::spawn(target.clone().track_changes());
    /// }
    /// ```
    pub async fn track_changes(self) {
        let mut config = self.shared.dependencies.config.clone();
        let mut announced = self.shared.dependencies.announcement.clone();
        let mut stated_rate = self.shared.dependencies.stated_rate.clone();
        loop {
            self.refresh();
            tokio::select! {
                Ok(()) = config.changed() => {}
                Ok(()) = stated_rate.changed() => {}
                Ok(()) = announced.changed() => {}
                else => return,
            }
        }
    }

    /// Applies the latest announcement and configuration to the admission controller. Runs one at a
    /// time, so that an older announcement never overwrites a newer one.
    fn refresh(&self) -> Option<Announcement> {
        let _guard = self.shared.refresh_lock.lock();
        let stated_rate = *self.shared.dependencies.stated_rate.borrow();
        self.shared.admission.set_rate(stated_rate);
        let announced = self.shared.dependencies.announcement.borrow().clone();
        let Some(announced) = announced else {
            self.shared
                .admission
                .set_stage(Stage::Gone, DEFAULT_DRAIN_GRACE);
            return None;
        };
        let endpoint = &announced.endpoint;
        let service = self.service(&endpoint.service);
        let grace = service
            .as_ref()
            .map_or(DEFAULT_DRAIN_GRACE, |service| service.drain_grace);
        self.shared.admission.set_stage(endpoint.stage, grace);
        if let Some(service) = service {
            self.shared.admission.resize(Capacity {
                slots: endpoint.slots.min(service.slots),
                queue: service.queue,
            });
        }
        Some(announced)
    }

    /// Returns the request ID as the caller wrote it, or as the entry generated it.
    fn request_label(&self, head: &RequestHead) -> Arc<str> {
        let name = &self.shared.dependencies.dialect.request_id_header;
        let mut headers = head.headers.iter();
        match headers.find(|header| header.name.eq_ignore_ascii_case(name)) {
            Some(header) => Arc::from(String::from_utf8_lossy(&header.value)),
            None => Arc::from(format!("{:032x}", head.request_id)),
        }
    }

    /// Adds the header that names the expected server: another server at the same address refuses
    /// it.
    fn add_expected_instance(&self, head: &mut RequestHead, announced: &Announcement) {
        let name = &self.shared.dependencies.dialect.expected_instance_header;
        if let (Some(name), Some(server)) = (name, &announced.server_id) {
            head.headers.push(Header {
                name: name.clone(),
                value: server.as_bytes().to_vec(),
            });
        }
    }

    fn service(&self, name: &Name) -> Option<Service> {
        let config = self.shared.dependencies.config.borrow();
        config.as_ref()?.config.services.get(name).cloned()
    }

    /// Runs a request.
    ///
    /// Dropping the future cancels the request, unless it may run only once and has been claimed:
    /// then it goes on, so that its outcome is recorded.
    ///
    /// # Errors
    /// Returns why there is no response, what is certain about the request, and how busy the
    /// backend server is.
    ///
    /// ```
    /// # use crank_node::target::{Forwarder, Target};
    /// # use crank_platform_client::Rows;
    /// # use crank_protocol::call::{RequestHead, Outcome};
    /// async fn ran<P: Rows, F: Forwarder>(target: &Target<P, F>, head: RequestHead) -> bool {
    ///     match target.run(head, "spoons".into()).await {
    ///         Ok(_) => true,
    ///         Err(refused) => refused.outcome != Outcome::NotRun,
    ///     }
    /// }
    /// ```
    pub async fn run(&self, head: RequestHead, body: Bytes) -> Result<Response, RefusedRequest> {
        let deadline = self.now().after(head.time_left);
        let deadline = self.shared.admission.latest_end(deadline);
        let permit = self.admit(&head, deadline).await?;
        self.check_key(&head)?;
        match head.idempotency_key.clone() {
            Some(key) => self.run_once(key, head, body, permit, deadline).await,
            None => self.forward(head, body, permit, deadline).await,
        }
    }

    async fn admit(&self, head: &RequestHead, deadline: Moment) -> Result<Permit, RefusedRequest> {
        let is_served = self
            .refresh()
            .is_some_and(|announced| announced.endpoint.service == head.service);
        if !is_served {
            return Err(self.refused(Refusal::Leaving));
        }
        let admission = &self.shared.admission;
        let now = self.now();
        let latency_deadline = head
            .latency_target
            .map_or(deadline, |target| now.after(target));
        let wait_until = deadline.min(latency_deadline);
        let request = AdmissionRequest {
            importance: head.importance,
            deadline: wait_until,
            depth: head.depth,
            expected_run_time: head.expected_run_time,
            account: head.account.clone(),
        };
        let admitted = if head.may_queue {
            admission.admit(request).await
        } else {
            admission.admit_without_wait(request)
        };
        admitted.map_err(|refusal| match refusal {
            // Another target may have a free slot sooner, or the caller may retry.
            Refusal::TooLate if self.now() < deadline => self.refused(admission.overload_refusal()),
            refusal => self.refused(refusal),
        })
    }

    /// Refuses a request whose key was taken back while it was on its way or waited for a slot.
    fn check_key(&self, head: &RequestHead) -> Result<(), RefusedRequest> {
        let (Some(account), Some(tag)) = (&head.account, head.key_tag) else {
            return Ok(());
        };
        let snapshot = self.shared.dependencies.config.borrow().clone();
        let newer = snapshot.filter(|snapshot| snapshot.stamp.version > head.version);
        let is_known =
            newer.is_none_or(|newer| account::has_key(&newer.config.clients, account, tag));
        if is_known {
            return Ok(());
        }
        Err(self.refused(Refusal::Unauthorized))
    }

    async fn forward(
        &self,
        mut head: RequestHead,
        body: Bytes,
        permit: Permit,
        deadline: Moment,
    ) -> Result<Response, RefusedRequest> {
        let clock = self.shared.dependencies.clock;
        head.time_left = deadline.since(clock.now());
        let Some(announced) = self.shared.dependencies.announcement.borrow().clone() else {
            drop(permit);
            return Err(self.refused(Refusal::Leaving));
        };
        self.add_expected_instance(&mut head, &announced);
        let label = self.request_label(&head);
        let forwarder = &self.shared.dependencies.forwarder;
        let expected_run_time = head.expected_run_time;
        let started_at = clock.now();
        let forwarded = async {
            let response = forwarder.forward(announced.address, head, body).await?;
            buffer_body(response).await
        };
        let result = tokio::time::timeout_at(clock.to_instant(deadline), forwarded).await;
        match result.unwrap_or(Err(Refusal::TimedOut)) {
            Ok(BufferedResponse::Complete(mut response)) => {
                drop(permit);
                self.record_run(&response, expected_run_time, started_at);
                response.head.load = self.load();
                Ok(response)
            }
            Ok(BufferedResponse::Partial(mut response)) => {
                response.head.load = self.load();
                response.body = hold_permit(response.body, permit, clock, deadline);
                Ok(response)
            }
            Err(refusal) => {
                drop(permit);
                let reached = !matches!(refusal, Refusal::NotSent | Refusal::BadRequest { .. });
                log::info!(
                    request = *label,
                    server:? = announced.server_id,
                    refusal:? = refusal,
                    reached = reached;
                    "backend server gave no answer"
                );
                let refused = self.refused(refusal);
                Err(RefusedRequest { reached, ..refused })
            }
        }
    }

    /// Starts to drain the node: refuses new work and finishes what is in flight.
    ///
    /// Requests from inside the mesh are still accepted for
    /// [`crank_engine::drain::INTERNAL_CALL_GRACE`].
    ///
    /// ```
    /// # use crank_node::target::{Forwarder, Target};
    /// # use crank_platform_client::Rows;
    /// # use crank_protocol::Millis;
    /// fn on_sigterm<P: Rows, F: Forwarder>(target: &Target<P, F>) {
    ///     target.start_drain(Millis(30_000));
    /// }
    /// ```
    pub fn start_drain(&self, grace: Millis) {
        self.shared.admission.start_drain(grace);
    }

    /// Announces that the node ends after `grace`: a request that is taken from now on gets no more
    /// time than that.
    ///
    /// ```
    /// # use crank_node::target::{Forwarder, Target};
    /// # use crank_platform_client::Rows;
    /// # use crank_protocol::Millis;
    /// fn on_sigterm<P: Rows, F: Forwarder>(target: &Target<P, F>) {
    ///     target.announce_end(Millis(5_000));
    /// }
    /// ```
    pub fn announce_end(&self, grace: Millis) {
        self.shared.admission.announce_end(grace);
    }

    /// Returns the progress of the drain.
    ///
    /// ```
    /// # use crank_engine::drain::DrainProgress;
    /// # use crank_node::target::{Forwarder, Target};
    /// # use crank_platform_client::Rows;
    /// fn is_drained<P: Rows, F: Forwarder>(target: &Target<P, F>) -> bool {
    ///     target.progress() == DrainProgress::Drained
    /// }
    /// ```
    #[must_use]
    pub fn progress(&self) -> DrainProgress {
        self.shared.admission.progress()
    }

    /// Returns the running and waiting requests and the slots of the backend server.
    ///
    /// ```
    /// # use crank_node::target::{Forwarder, Target};
    /// # use crank_platform_client::Rows;
    /// fn is_idle<P: Rows, F: Forwarder>(target: &Target<P, F>) -> bool {
    ///     target.load().running == 0
    /// }
    /// ```
    #[must_use]
    pub fn load(&self) -> Load {
        self.shared.admission.load()
    }

    pub(crate) fn stated_rate(&self) -> watch::Receiver<Option<RequestRate>> {
        self.shared.dependencies.stated_rate.clone()
    }

    pub(crate) fn admission(&self) -> &AdmissionController {
        &self.shared.admission
    }

    fn refused(&self, refusal: Refusal) -> RefusedRequest {
        retry::refused(refusal, Some(self.load()))
    }

    fn now(&self) -> Moment {
        self.shared.dependencies.clock.now()
    }
}
