//! The target's node: admit, claim, forward, record.

mod once;

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use crank_engine::limit::Capacity;
use crank_engine::{Moment, drain::DrainProgress, retry};
use crank_platform_client::Rows;
use crank_protocol::call::{Body, Header, Load, Refusal, RefusedRequest, RequestHead, Response};
use crank_protocol::config::{Service, Snapshot};
use crank_protocol::member::Stage;
use crank_protocol::{HttpDialect, Millis, Name};
use crank_server::Announcement;
use futures::StreamExt;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::admission::{AdmissionController, AdmissionRequest, Permit};
use crate::clock::Clock;

pub use once::MAX_RECORDED_BODY_BYTES;

/// The grace of a backend server whose service the configuration does not know.
const DEFAULT_GRACE: Millis = Millis(10_000);
const MAX_GATHERED_BODY_BYTES: usize = 64 * 1_024;

/// The edge to the backend server beside the node.
pub trait Forwarder: Send + Sync + 'static {
    /// Gives a request to the backend server at an address; dropping the future cancels it.
    ///
    /// # Errors
    /// [`Refusal::NotSent`] only when the backend server has certainly got nothing of it,
    /// otherwise [`Refusal::Lost`] or [`Refusal::TimedOut`].
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
        self.run(address, &head, body, head.time_left).await
    }
}

/// What a target's node is made of.
pub struct Dependencies<P, F> {
    /// The process's clock.
    pub clock: Clock,
    /// The configuration in force: `crank_mesh::Handle::config`.
    pub config: watch::Receiver<Option<Arc<Snapshot>>>,
    /// What the backend server last announced: `crank_server::AnnouncementListener::watch`.
    pub announced: watch::Receiver<Option<Announcement>>,
    /// The client account, from the node's settings.
    pub account: Name,
    /// Where requests that may run only once are claimed.
    pub platform: P,
    /// The header names of the backend server.
    pub dialect: Arc<HttpDialect>,
    /// The way to the backend server.
    pub forwarder: F,
}

/// Runs requests on the backend server beside the node; cloning shares it.
///
/// The order is: admission, then the claim where the request may run only once, then the run. A
/// refusal before the run is certain; one after it says what is known.
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
    gate: AdmissionController,
    refreshing: Mutex<()>,
    unsettled: Arc<()>,
}

impl<P: Rows, F: Forwarder> crank_mesh::call::RequestHandler for Target<P, F> {
    async fn handle(&self, head: RequestHead, body: Bytes) -> Result<Response, RefusedRequest> {
        Self::run(self, head, body).await
    }
}

impl<P: Rows, F: Forwarder> Target<P, F> {
    /// A target that takes nothing until the backend server has announced that it is ready.
    ///
    /// Spawn [`Target::follow`] once, so that announcements take effect between requests too.
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
        let gate = AdmissionController::new(dependencies.clock, Capacity { slots: 0, queue: 0 });
        let target = Self {
            shared: Arc::new(Shared {
                dependencies,
                gate,
                refreshing: Mutex::new(()),
                unsettled: Arc::new(()),
            }),
        };
        target.refresh();
        target
    }

    /// Carries announcements and changes of configuration to the gate, until both have no sender.
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
        let mut announced = self.shared.dependencies.announced.clone();
        loop {
            self.refresh();
            tokio::select! {
                Ok(()) = config.changed() => {}
                Ok(()) = announced.changed() => {}
                else => return,
            }
        }
    }

    /// Brings the gate up to what was announced and configured last; one at a time, so that an
    /// older announcement never comes after a newer one.
    fn refresh(&self) -> Option<Announcement> {
        let _turn = self.shared.refreshing.lock();
        let announced = self.shared.dependencies.announced.borrow().clone();
        let Some(announced) = announced else {
            self.shared.gate.announce(Stage::Gone, DEFAULT_GRACE);
            return None;
        };
        let endpoint = &announced.endpoint;
        let service = self.service(&endpoint.service);
        let grace = service
            .as_ref()
            .map_or(DEFAULT_GRACE, |service| service.drain_grace);
        self.shared.gate.announce(endpoint.stage, grace);
        if let Some(service) = service {
            self.shared.gate.resize(Capacity {
                slots: endpoint.slots.min(service.slots),
                queue: service.queue,
            });
        }
        Some(announced)
    }

    /// The request's id as its caller wrote it, or as the entry drew it.
    fn label(&self, head: &RequestHead) -> Arc<str> {
        let name = &self.shared.dependencies.dialect.request_id_header;
        let mut headers = head.headers.iter();
        match headers.find(|header| header.name.eq_ignore_ascii_case(name)) {
            Some(header) => Arc::from(String::from_utf8_lossy(&header.value)),
            None => Arc::from(format!("{:032x}", head.request_id)),
        }
    }

    /// Marks a request with the server that it is for: another one at the address refuses it.
    fn name_server(&self, head: &mut RequestHead, announced: &Announcement) {
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
    /// Dropping the future cancels the request, unless it is one that may run only once and has
    /// its claim: that one goes on, so that its outcome is recorded.
    ///
    /// # Errors
    /// Why it got no answer, what is certain about it, and how busy the backend server is.
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
        let pass = self.admit(&head, deadline).await?;
        match head.idempotency_key.clone() {
            Some(key) => self.run_once(key, head, body, pass, deadline).await,
            None => self.forward(head, body, pass, deadline).await,
        }
    }

    async fn admit(&self, head: &RequestHead, deadline: Moment) -> Result<Permit, RefusedRequest> {
        let serves = self
            .refresh()
            .is_some_and(|announced| announced.endpoint.service == head.service);
        if !serves {
            return Err(self.refused(Refusal::Leaving));
        }
        let gate = &self.shared.gate;
        let now = self.now();
        let good_until = head.latency_target.map_or(deadline, |goal| now.after(goal));
        let latest = deadline.min(good_until);
        let bid = AdmissionRequest {
            importance: head.importance,
            deadline: latest,
            depth: head.depth,
            run: head.expected_run_time,
        };
        let pass = if head.may_queue {
            gate.enter(bid).await
        } else {
            gate.enter_free(bid)
        };
        pass.map_err(|refusal| match refusal {
            // Another target may have a slot sooner, or the caller comes back.
            Refusal::TooLate if self.now() < deadline => self.refused(gate.overloaded()),
            refusal => self.refused(refusal),
        })
    }

    async fn forward(
        &self,
        mut head: RequestHead,
        body: Bytes,
        pass: Permit,
        deadline: Moment,
    ) -> Result<Response, RefusedRequest> {
        let clock = self.shared.dependencies.clock;
        head.time_left = deadline.since(clock.now());
        let Some(announced) = self.shared.dependencies.announced.borrow().clone() else {
            drop(pass);
            return Err(self.refused(Refusal::Leaving));
        };
        self.name_server(&mut head, &announced);
        let label = self.label(&head);
        let forwarder = &self.shared.dependencies.forwarder;
        let forwarded = async {
            let answer = forwarder.forward(announced.address, head, body).await?;
            gathered(answer).await
        };
        let result = tokio::time::timeout_at(clock.instant(deadline), forwarded).await;
        match result.unwrap_or(Err(Refusal::TimedOut)) {
            Ok(Gathered::Whole(mut answer)) => {
                drop(pass);
                answer.head.load = self.load();
                Ok(answer)
            }
            Ok(Gathered::Large(mut answer)) => {
                answer.head.load = self.load();
                answer.body = hold(answer.body, pass, clock, deadline);
                Ok(answer)
            }
            Err(refusal) => {
                drop(pass);
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

    /// The node begins to leave: new work is refused, and what is in flight is finished.
    ///
    /// Calls of deeper layers are taken for [`crank_engine::drain::INTERNAL_CALL_GRACE`].
    ///
    /// ```
    /// # use crank_node::target::{Forwarder, Target};
    /// # use crank_platform_client::Rows;
    /// # use crank_protocol::Millis;
    /// fn on_sigterm<P: Rows, F: Forwarder>(target: &Target<P, F>) {
    ///     target.drain(Millis(30_000));
    /// }
    /// ```
    pub fn drain(&self, grace: Millis) {
        self.shared.gate.drain(grace);
    }

    /// How far the leaving has come.
    ///
    /// ```
    /// # use crank_engine::drain::DrainProgress;
    /// # use crank_node::target::{Forwarder, Target};
    /// # use crank_platform_client::Rows;
    /// fn may_go<P: Rows, F: Forwarder>(target: &Target<P, F>) -> bool {
    ///     target.progress() == DrainProgress::Drained
    /// }
    /// ```
    #[must_use]
    pub fn progress(&self) -> DrainProgress {
        self.shared.gate.progress()
    }

    /// How busy the backend server is.
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
        self.shared.gate.load()
    }

    fn refused(&self, refusal: Refusal) -> RefusedRequest {
        retry::refused(refusal, Some(self.load()))
    }

    fn now(&self) -> Moment {
        self.shared.dependencies.clock.now()
    }
}

/// An answer with as much of its body as is read before any of it is passed on.
enum Gathered {
    Whole(Response),
    Large(Response),
}

/// Reads a small body whole: what breaks off before its caller has got any of it is lost, and may
/// be asked for again where that does no harm.
async fn gathered(mut answer: Response) -> Result<Gathered, Refusal> {
    let mut read = BytesMut::new();
    while read.len() <= MAX_GATHERED_BODY_BYTES {
        match answer.body.next().await {
            Some(Ok(data)) => read.extend_from_slice(&data),
            Some(Err(Refusal::Cut)) => return Err(Refusal::Lost),
            Some(Err(refusal)) => return Err(refusal),
            None => {
                let whole = read.freeze();
                answer.body = Box::pin(futures::stream::once(async move { Ok(whole) }));
                return Ok(Gathered::Whole(answer));
            }
        }
    }
    let first = futures::stream::once(async move { Ok(read.freeze()) });
    answer.body = Box::pin(first.chain(answer.body));
    Ok(Gathered::Large(answer))
}

/// A body that holds its place until it has ended, and is cut at the deadline.
fn hold(body: Body, pass: Permit, clock: Clock, deadline: Moment) -> Body {
    let end = clock.instant(deadline);
    let held = futures::stream::unfold(Some((body, pass)), move |held| async move {
        let (mut body, pass) = held?;
        match tokio::time::timeout_at(end, body.next()).await {
            Ok(Some(Ok(data))) => Some((Ok(data), Some((body, pass)))),
            Ok(Some(Err(refusal))) => Some((Err(refusal), None)),
            Ok(None) => None,
            Err(_) => Some((Err(Refusal::Cut), None)),
        }
    });
    Box::pin(held)
}
