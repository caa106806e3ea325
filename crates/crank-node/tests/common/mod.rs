//! Fakes of the components around the entry and the target.
#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crank_engine::balance::ChosenTarget;
use crank_engine::{Moment, burn::BurnCounter, retry};
use crank_mesh::View;
use crank_node::clock::Clock;
use crank_node::entry::{self, EntryProxy, Transport};
use crank_node::target::{self, Forwarder, Target};
use crank_platform_client::Platform;
use crank_protocol::call::{
    Header, Load, Refusal, RefusedRequest, Request, RequestHead, Response, ResponseHead,
};
use crank_protocol::config::{
    Config, Importance, Method, Owner, Route, Service, Snapshot, Stamp, Version,
};
use crank_protocol::member::{Endpoint, Member, Place, Stage, State};
use crank_protocol::{Millis, Name, Permille};
use crank_server::Announcement;
use futures::StreamExt;
use parking_lot::Mutex;
use tokio::sync::{Semaphore, watch};

/// A timeout longer than any test takes.
pub const LONG_TIMEOUT: Millis = Millis(60_000);

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub fn service() -> Service {
    Service {
        slots: 2,
        connections: 110,
        queue: 2,
        timeout: LONG_TIMEOUT,
        retry_budget: Permille(200),
        importance: Importance::Normal,
        warm_up: Millis(0),
        drain_grace: LONG_TIMEOUT,
        objective: None,
        health: None,
    }
}

pub fn route(service: &str, idempotent: bool, once: bool) -> Route {
    Route {
        path: Arc::from(format!("/{service}")),
        methods: [Method::Get, Method::Post].into(),
        service: name(service),
        timeout: None,
        idempotent,
        once,
        host: None,
        split: Vec::new(),
        attempts: None,
        importance: None,
        latency: None,
        public: false,
    }
}

/// Creates a configuration in which `lookups` are idempotent and of low importance, `orders` are
/// not idempotent, and `tickets` run only once and are of high importance.
pub fn snapshot() -> Arc<Snapshot> {
    let account = Owner {
        name: name("lenha-viva"),
        notice_ends: None,
    };
    let routes = [
        ("lookups", route("lookups", true, false)),
        ("orders", route("orders", false, false)),
        ("tickets", route("tickets", false, true)),
    ];
    let importance = [Importance::Low, Importance::Normal, Importance::High];
    let services = routes
        .iter()
        .zip(importance)
        .map(|((text, _), importance)| {
            let service = Service {
                importance,
                ..service()
            };
            (name(text), service)
        });
    let config = Config {
        account,
        services: services.collect(),
        routes: routes
            .iter()
            .map(|(text, route)| (name(text), route.clone()))
            .collect(),
        clients: Default::default(),
        limits: Default::default(),
    };
    let stamp = Stamp {
        version: Version(1),
        digest: crank_engine::config::digest(&config),
    };
    Arc::new(Snapshot { stamp, config })
}

pub fn place() -> Place {
    Place {
        region: name("bahia"),
        data_centre: name("bahia-1"),
    }
}

pub fn address() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

fn endpoint(service: &str, stage: Stage) -> Endpoint {
    Endpoint {
        service: name(service),
        stage,
        slots: 2,
        release: None,
    }
}

/// Creates a view with three ready targets for each service.
pub fn view() -> Arc<View> {
    let services = ["lookups", "orders", "tickets"];
    let members = services.iter().flat_map(|service| {
        (1..=3).map(move |number| Member {
            id: name(&format!("{service}-{number}")),
            place: place(),
            address: address(),
            incarnation: 1,
            link: 0,
            state: State::Alive,
            endpoint: Some(endpoint(service, Stage::Ready)),
        })
    });
    Arc::new(View::new(name("entry"), members, Default::default()))
}

pub fn request(path: &str) -> Request {
    Request {
        method: Method::Post,
        host: Arc::from(""),
        path: Arc::from(path),
        headers: Vec::new(),
        body: Bytes::from_static(b"12 t"),
    }
}

pub fn with_header(mut request: Request, name: &str, value: &str) -> Request {
    request.headers.push(Header {
        name: Arc::from(name),
        value: value.as_bytes().to_vec(),
    });
    request
}

pub fn answer(text: &'static str) -> Response {
    Response {
        head: ResponseHead {
            status: 200,
            headers: Vec::new(),
            length: Some(text.len() as u64),
            load: Load::default(),
        },
        body: Box::pin(futures::stream::iter([Ok(Bytes::from_static(
            text.as_bytes(),
        ))])),
    }
}

pub async fn body_text(answer: Response) -> Result<String, Refusal> {
    let mut body = answer.body;
    let mut read = Vec::new();
    while let Some(data) = body.next().await {
        read.extend_from_slice(&data?);
    }
    Ok(String::from_utf8(read).unwrap())
}

/// A transport that refuses attempts in the given order, then answers; attempts of the hanging
/// service never finish.
#[derive(Clone, Default)]
pub struct FakeTransport {
    pub refusals: Arc<Mutex<Vec<Refusal>>>,
    pub hanging: Option<Name>,
    pub sent: Arc<Mutex<Vec<Name>>>,
    /// Whether each attempt was allowed to queue for a slot.
    pub may_queue: Arc<Mutex<Vec<bool>>>,
}

impl FakeTransport {
    pub fn refusing(refusals: &[Refusal]) -> Self {
        let refusals = refusals.iter().rev().cloned().collect();
        Self {
            refusals: Arc::new(Mutex::new(refusals)),
            ..Self::default()
        }
    }

    pub fn sent(&self) -> usize {
        self.sent.lock().len()
    }
}

impl Transport for FakeTransport {
    async fn call(
        &self,
        target: &ChosenTarget,
        head: RequestHead,
        _body: Bytes,
    ) -> Result<Response, RefusedRequest> {
        self.sent.lock().push(target.id.clone());
        self.may_queue.lock().push(head.may_queue);
        if self.hanging.as_ref() == Some(&head.service) {
            std::future::pending::<()>().await;
        }
        let refusal = self.refusals.lock().pop();
        match refusal {
            Some(refusal) => Err(retry::refused(refusal, None)),
            None => Ok(answer("whole")),
        }
    }
}

pub fn entry(transport: FakeTransport) -> EntryProxy<FakeTransport> {
    EntryProxy::new(dependencies(transport))
}

pub fn dependencies(transport: FakeTransport) -> entry::Dependencies<FakeTransport> {
    entry::Dependencies {
        clock: Clock::new(),
        node: name("entry"),
        place: place(),
        config: watch::Sender::new(Some(snapshot())).subscribe(),
        view: watch::Sender::new(view()).subscribe(),
        ready: watch::Sender::new(true).subscribe(),
        transport,
        burn: Arc::new(Mutex::new(BurnCounter::new(Moment(0)))),
        conventions: entry::Conventions::default(),
    }
}

/// A backend server that counts its runs by request and answers while `answers` has permits.
#[derive(Clone)]
pub struct FakeServer {
    pub runs: Arc<Mutex<BTreeMap<u128, u32>>>,
    pub answers: Arc<Semaphore>,
    pub refusal: Arc<Mutex<Option<Refusal>>>,
    /// The status of its answers.
    pub status: Arc<Mutex<u16>>,
}

impl FakeServer {
    pub fn new() -> Self {
        Self {
            runs: Arc::default(),
            answers: Arc::new(Semaphore::new(Semaphore::MAX_PERMITS)),
            refusal: Arc::default(),
            status: Arc::new(Mutex::new(200)),
        }
    }

    /// Creates a server that does not answer until `answers` gets permits.
    pub fn blocked() -> Self {
        Self {
            answers: Arc::new(Semaphore::new(0)),
            ..Self::new()
        }
    }

    pub fn runs(&self) -> u32 {
        self.runs.lock().values().sum()
    }
}

impl Forwarder for FakeServer {
    async fn forward(
        &self,
        _address: SocketAddr,
        head: RequestHead,
        _body: Bytes,
    ) -> Result<Response, Refusal> {
        if let Some(refusal) = self.refusal.lock().clone() {
            return Err(refusal);
        }
        *self.runs.lock().entry(head.request_id).or_default() += 1;
        self.answers.acquire().await.unwrap().forget();
        let mut response = answer("confirmed");
        response.head.status = *self.status.lock();
        Ok(response)
    }
}

pub struct TargetNode<P> {
    pub target: Target<P, FakeServer>,
    pub announced: watch::Sender<Option<Announcement>>,
    pub config: watch::Sender<Option<Arc<Snapshot>>>,
}

/// Creates a target's node beside a backend server of a service.
pub fn target_node<P: Platform>(service: &str, platform: P, server: FakeServer) -> TargetNode<P> {
    let announced = watch::Sender::new(Some(announcement(service, Stage::Ready)));
    let config = watch::Sender::new(Some(snapshot()));
    let target = Target::new(target::Dependencies {
        clock: Clock::new(),
        config: config.subscribe(),
        announcement: announced.subscribe(),
        stated_rate: watch::Sender::new(None).subscribe(),
        account: name("lenha-viva"),
        platform,
        dialect: Arc::default(),
        forwarder: server,
    });
    TargetNode {
        target,
        announced,
        config,
    }
}

pub fn announcement(service: &str, stage: Stage) -> Announcement {
    Announcement {
        endpoint: endpoint(service, stage),
        address: address(),
        server_id: None,
    }
}

pub fn head(service: &str, request: u128, idempotency_key: Option<&str>) -> RequestHead {
    RequestHead {
        request_id: request,
        service: name(service),
        method: Method::Post,
        path: Arc::from(format!("/{service}")),
        headers: Vec::new(),
        time_left: LONG_TIMEOUT,
        latency_target: None,
        may_queue: true,
        expected_run_time: None,
        expected_response_bytes: None,
        importance: Importance::Normal,
        idempotent: false,
        idempotency_key: idempotency_key.map(Arc::from),
        depth: 0,
        version: Version(1),
        account: None,
        key_tag: None,
    }
}

/// Waits until a condition holds.
pub async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
